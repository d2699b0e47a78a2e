//! A node on a thread of its own.

use std::{
    fs,
    net::SocketAddr,
    ops::{Add, Sub},
    sync::{Arc, mpsc},
    thread,
    time::Duration,
};

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
    questions: async_mpsc::UnboundedSender<mpsc::Sender<ThreadUse>>,
}

/// What a thread used so far.
#[derive(Clone, Copy, Debug)]
pub struct ThreadUse {
    /// Processor time.
    pub processor: Duration,
    /// Allocations.
    pub allocations: u64,
}

impl NodeThread {
    /// Starts a node with `plan` that knows the peer `seed` and has a backend server at `backend`.
    pub fn start(
        plan: Arc<SitePlan>,
        seed: Option<SocketAddr>,
        backend: Option<SocketAddr>,
    ) -> Self {
        let (questions, receiver) = async_mpsc::unbounded_channel();
        let (sender, started) = mpsc::channel();
        let name = if backend.is_some() { "host" } else { "entry" };
        let builder = thread::Builder::new().name(name.to_owned());
        let spawned = builder.spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            let running = run(plan, seed, backend, sender, receiver);
            runtime.expect("a runtime").block_on(running);
        });
        spawned.expect("a thread");
        Self {
            addresses: started.recv().expect("the node starts"),
            questions,
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
    pub fn used(&self) -> ThreadUse {
        let (sender, receiver) = mpsc::channel();
        self.questions.send(sender).expect("the node runs");
        receiver.recv().expect("the node answers")
    }
}

/// Runs the node and answers questions.
async fn run(
    plan: Arc<SitePlan>,
    seed: Option<SocketAddr>,
    backend: Option<SocketAddr>,
    started: mpsc::Sender<DaemonAddresses>,
    mut questions: async_mpsc::UnboundedReceiver<mpsc::Sender<ThreadUse>>,
) {
    let mut settings = DaemonSettings::on_loopback(SiteName::from("site"), DomainName::from("a"));
    settings.plan = Some(plan);
    settings.seed_peers.extend(seed);
    let daemon = Daemon::start(settings).await.expect("loopback has ports");
    if let Some(address) = backend {
        daemon.state().announce(&BackendAnnouncement {
            service: ServiceName::from("windows"),
            address,
            slots: 100,
            connections: 250,
        });
    }
    started
        .send(daemon.addresses())
        .expect("the main thread waits");
    while let Some(question) = questions.recv().await {
        question
            .send(ThreadUse::now())
            .expect("the main thread waits");
    }
}

impl ThreadUse {
    /// What the current thread used so far.
    fn now() -> Self {
        let statistics = fs::read_to_string("/proc/thread-self/schedstat").expect("procfs");
        let nanos = statistics.split_whitespace().next().expect("a figure");
        Self {
            processor: Duration::from_nanos(nanos.parse().expect("a number")),
            allocations: allocations(),
        }
    }
}

impl Add for ThreadUse {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self {
            processor: self.processor + rhs.processor,
            allocations: self.allocations + rhs.allocations,
        }
    }
}

impl Sub for ThreadUse {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        Self {
            processor: self.processor.saturating_sub(rhs.processor),
            allocations: self.allocations.saturating_sub(rhs.allocations),
        }
    }
}
