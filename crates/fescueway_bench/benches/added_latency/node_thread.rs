//! Node on a dedicated thread.

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

/// Node on a dedicated thread, which runs until the process ends.
pub struct NodeThread {
    /// Addresses on which the node listens.
    addresses: DaemonAddresses,
    /// Requests the usage of the thread.
    meter: UsageMeter,
}

/// Requests the resource usage of another thread.
pub struct UsageMeter(async_mpsc::UnboundedSender<mpsc::Sender<NodeUsage>>);

/// Answers a [`UsageMeter`] on the measured thread.
pub struct UsageResponder(async_mpsc::UnboundedReceiver<mpsc::Sender<NodeUsage>>);

/// Resource usage of a thread since it started, with its allocations.
#[derive(Clone, Copy, Debug)]
pub struct NodeUsage {
    /// Usage counted by the operating system.
    pub thread: ThreadUsage,
    /// Number of allocations.
    pub allocations: u64,
}

impl UsageMeter {
    /// Creates a meter and its responder.
    pub fn new() -> (Self, UsageResponder) {
        let (requests, receiver) = async_mpsc::unbounded_channel();
        (Self(requests), UsageResponder(receiver))
    }

    /// Returns the usage of the thread so far.
    pub fn usage(&self) -> NodeUsage {
        let (sender, receiver) = mpsc::channel();
        self.0.send(sender).expect("the thread runs");
        receiver.recv().expect("the thread answers")
    }
}

impl UsageResponder {
    /// Answers requests until the meter is dropped.
    pub async fn run(mut self) {
        while let Some(reply_to) = self.0.recv().await {
            reply_to
                .send(NodeUsage::now())
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
        let (meter, responder) = UsageMeter::new();
        let (sender, started) = mpsc::channel();
        let name = if backend.is_some() { "host" } else { "entry" };
        let builder = thread::Builder::new().name(name.to_owned());
        let spawned = builder.spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            let running = run(plan, seed, backend, sender, responder);
            runtime.expect("a runtime").block_on(running);
        });
        spawned.expect("a thread");
        Self {
            addresses: started.recv().expect("the node starts"),
            meter,
        }
    }

    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.addresses.callers
    }

    /// Returns the address for other nodes.
    pub fn peers(&self) -> SocketAddr {
        self.addresses.peers
    }

    /// Returns the usage of its thread so far.
    pub fn usage(&self) -> NodeUsage {
        self.meter.usage()
    }
}

/// Runs the node and answers usage requests.
async fn run(
    plan: Arc<SitePlan>,
    seed: Option<SocketAddr>,
    backend: Option<SocketAddr>,
    started: mpsc::Sender<DaemonAddresses>,
    responder: UsageResponder,
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
    responder.run().await;
}

impl NodeUsage {
    /// Returns the usage of the current thread so far.
    pub fn now() -> Self {
        Self {
            thread: ThreadUsage::now(),
            allocations: allocations(),
        }
    }

    /// Returns the usage since `earlier`.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            thread: self.thread.since(earlier.thread),
            allocations: self.allocations - earlier.allocations,
        }
    }
}
