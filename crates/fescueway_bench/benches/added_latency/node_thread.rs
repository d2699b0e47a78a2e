//! A node on a thread of its own.

use std::{
    net::SocketAddr,
    sync::{Arc, mpsc},
    thread,
};

use fescueway_bench::ThreadUsage;
use fescueway_config::SitePlan;
use fescueway_core::{DomainName, ServiceName, SiteName};
use fescueway_proxy::BackendAnnouncement;
use fescuewayd::{Daemon, DaemonAddresses, DaemonSettings};
use tokio::{runtime::Builder, sync::mpsc as async_mpsc};

use crate::alloc_count::allocations;

/// A node on a thread of its own, for as long as the process lives.
pub struct NodeThread {
    /// Where it listens.
    addresses: DaemonAddresses,
    /// Asks for what it used.
    meter: UseMeter,
}

/// Asks a thread for what it used.
pub struct UseMeter(async_mpsc::UnboundedSender<mpsc::Sender<NodeUse>>);

/// Answers a [`UseMeter`] on the thread that it asks.
pub struct UseAnswers(async_mpsc::UnboundedReceiver<mpsc::Sender<NodeUse>>);

/// What a thread used so far, with its allocations.
#[derive(Clone, Copy, Debug)]
pub struct NodeUse {
    /// What the operating system counts.
    pub thread: ThreadUsage,
    /// Allocations.
    pub allocations: u64,
}

impl UseMeter {
    /// A meter and what answers it.
    pub fn new() -> (Self, UseAnswers) {
        let (questions, receiver) = async_mpsc::unbounded_channel();
        (Self(questions), UseAnswers(receiver))
    }

    /// What the thread used so far.
    pub fn used(&self) -> NodeUse {
        let (sender, receiver) = mpsc::channel();
        self.0.send(sender).expect("the thread runs");
        receiver.recv().expect("the thread answers")
    }
}

impl UseAnswers {
    /// Answers until the meter is gone.
    pub async fn run(mut self) {
        while let Some(question) = self.0.recv().await {
            question
                .send(NodeUse::now())
                .expect("the main thread waits");
        }
    }
}

impl NodeThread {
    /// Starts a node with `plan` that knows the peer `seed` and has a backend server at `backend`.
    pub fn start(
        plan: Arc<SitePlan>,
        seed: Option<SocketAddr>,
        backend: Option<SocketAddr>,
    ) -> Self {
        let (meter, answers) = UseMeter::new();
        let (sender, started) = mpsc::channel();
        let name = if backend.is_some() { "host" } else { "entry" };
        let builder = thread::Builder::new().name(name.to_owned());
        let spawned = builder.spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            let running = run(plan, seed, backend, sender, answers);
            runtime.expect("a runtime").block_on(running);
        });
        spawned.expect("a thread");
        Self {
            addresses: started.recv().expect("the node starts"),
            meter,
        }
    }

    /// Where it takes requests.
    pub fn callers(&self) -> SocketAddr {
        self.addresses.callers
    }

    /// Where it takes streams of other nodes.
    pub fn peers(&self) -> SocketAddr {
        self.addresses.peers
    }

    /// What its thread used so far.
    pub fn used(&self) -> NodeUse {
        self.meter.used()
    }
}

/// Runs the node and answers questions.
async fn run(
    plan: Arc<SitePlan>,
    seed: Option<SocketAddr>,
    backend: Option<SocketAddr>,
    started: mpsc::Sender<DaemonAddresses>,
    answers: UseAnswers,
) {
    let mut settings = DaemonSettings::on_loopback(SiteName::from("site"), DomainName::from("a"));
    settings.plan = Some(plan);
    settings.seed_peers.extend(seed);
    let daemon = Daemon::start(settings).await.expect("loopback has ports");
    if let Some(address) = backend {
        daemon.state().announce(&BackendAnnouncement::new(
            ServiceName::from("windows"),
            address,
            100,
            250,
        ));
    }
    started
        .send(daemon.addresses())
        .expect("the main thread waits");
    answers.run().await;
}

impl NodeUse {
    /// What the current thread used so far.
    pub fn now() -> Self {
        Self {
            thread: ThreadUsage::now(),
            allocations: allocations(),
        }
    }

    /// What was used since `earlier`.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            thread: self.thread.since(earlier.thread),
            allocations: self.allocations - earlier.allocations,
        }
    }
}
