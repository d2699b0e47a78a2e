//! Fleet of nodes on a dedicated thread.

use std::{net::SocketAddr, sync::mpsc, thread, time::Duration};

use fescueway_core::{DomainName, SiteName};
use fescueway_membership::TrafficCounts;
use fescuewayd::{Daemon, DaemonSettings, StatusBoard};
use tokio::{runtime::Builder, sync::mpsc as async_mpsc, time::sleep};

use crate::ThreadUsage;

/// Number of failure domains.
const DOMAINS: usize = 3;

/// Pause between two starts, so that the nodes do not all contact the first one at once.
const START_PAUSE: Duration = Duration::from_millis(20);

/// Fleet of nodes on a dedicated thread. Dropping it stops the nodes.
#[derive(Debug)]
pub struct FleetThread {
    /// Status board of each node.
    boards: Vec<StatusBoard>,
    /// Peer address of each node.
    peers: Vec<SocketAddr>,
    /// Requests the thread's usage. The thread ends when this is dropped.
    usage_requests: Option<async_mpsc::UnboundedSender<mpsc::Sender<ThreadUsage>>>,
    /// Handle of the thread.
    thread: Option<thread::JoinHandle<()>>,
}

/// Counters of all nodes together since their start.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetSample {
    /// Resource usage of their thread.
    pub usage: ThreadUsage,
    /// Membership traffic sent and received.
    pub traffic: TrafficCounts,
}

impl FleetThread {
    /// Starts `nodes` nodes that join through the first one and use the store at `store`.
    ///
    /// # Panics
    ///
    /// Panics if loopback has no free port.
    #[must_use]
    pub fn start(nodes: usize, store: SocketAddr) -> Self {
        let (usage_requests, requests) = async_mpsc::unbounded_channel();
        let (sender, started) = mpsc::channel();
        let thread = thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            let running = run(nodes, store, sender, requests);
            runtime.expect("a runtime").block_on(running);
        });
        let (boards, peers) = started.iter().take(nodes).unzip();
        Self {
            boards,
            peers,
            usage_requests: Some(usage_requests),
            thread: Some(thread),
        }
    }

    /// Returns the peer addresses of the nodes.
    #[must_use]
    pub fn peers(&self) -> &[SocketAddr] {
        &self.peers
    }

    /// Returns whether every node knows all others.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        let others = self.boards.len() - 1;
        let mut boards = self.boards.iter();
        boards.all(|board| board.facts().peers as usize == others)
    }

    /// Returns whether every node has `revision` in force.
    #[must_use]
    pub fn has_in_force(&self, revision: u64) -> bool {
        let mut boards = self.boards.iter();
        boards.all(|board| board.facts().in_force >= revision)
    }

    /// Returns the counters of all nodes.
    ///
    /// # Panics
    ///
    /// Panics if the thread has ended.
    #[must_use]
    pub fn sample(&self) -> FleetSample {
        let (sender, receiver) = mpsc::channel();
        if let Some(usage_requests) = &self.usage_requests {
            usage_requests.send(sender).expect("the nodes run");
        }
        let mut sample = FleetSample {
            usage: receiver.recv().expect("the nodes run"),
            ..FleetSample::default()
        };
        for board in &self.boards {
            let traffic = board.facts().traffic;
            sample.traffic.sent += traffic.sent;
            sample.traffic.sent_bytes += traffic.sent_bytes;
            sample.traffic.received += traffic.received;
            sample.traffic.received_bytes += traffic.received_bytes;
        }
        sample
    }
}

impl Drop for FleetThread {
    fn drop(&mut self) {
        self.usage_requests = None;
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been reported already.
            let _ = thread.join();
        }
    }
}

/// Runs the nodes and answers usage requests.
async fn run(
    nodes: usize,
    store: SocketAddr,
    started: mpsc::Sender<(StatusBoard, SocketAddr)>,
    mut requests: async_mpsc::UnboundedReceiver<mpsc::Sender<ThreadUsage>>,
) {
    let mut daemons: Vec<Daemon> = Vec::with_capacity(nodes);
    for index in 0..nodes {
        let domain = DomainName::new(format!("domain-{}", index % DOMAINS));
        let mut settings = DaemonSettings::on_loopback(SiteName::from("site"), domain);
        let first = daemons.first().map(|daemon| daemon.addresses().peers);
        settings.seed_peers.extend(first);
        settings.store = vec![store];
        let daemon = Daemon::start(settings).await.expect("loopback has ports");
        let node = (daemon.board().clone(), daemon.addresses().peers);
        started.send(node).expect("the starter waits");
        daemons.push(daemon);
        sleep(START_PAUSE).await;
    }
    while let Some(reply_to) = requests.recv().await {
        // The requester may have stopped waiting.
        let _ = reply_to.send(ThreadUsage::now());
    }
    daemons.into_iter().for_each(Daemon::kill);
}
