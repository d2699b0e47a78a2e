//! Many nodes on one thread, which does nothing else.

use std::{net::SocketAddr, sync::mpsc, thread, time::Duration};

use fescueway_core::{DomainName, SiteName};
use fescueway_membership::TrafficCounts;
use fescuewayd::{Daemon, DaemonSettings, StatusBoard};
use tokio::{runtime::Builder, sync::mpsc as async_mpsc, time::sleep};

use crate::ThreadUse;

/// Failure domains of the fleet.
const DOMAINS: usize = 3;

/// Pause between two starts, so that the first node is not asked by all at once.
const START_PAUSE: Duration = Duration::from_millis(20);

/// Many nodes on one thread, which does nothing else. They end with it.
#[derive(Debug)]
pub struct FleetThread {
    /// What each node tells operators.
    boards: Vec<StatusBoard>,
    /// Where each node takes streams of others.
    peers: Vec<SocketAddr>,
    /// Asks for what the thread used. The thread ends when it is dropped.
    questions: Option<async_mpsc::UnboundedSender<mpsc::Sender<ThreadUse>>>,
    /// The thread.
    thread: Option<thread::JoinHandle<()>>,
}

/// What the nodes did so far, all together.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetSample {
    /// What their thread used.
    pub used: ThreadUse,
    /// What their memberships sent and received.
    pub traffic: TrafficCounts,
}

impl FleetThread {
    /// Starts `nodes` that join through the first, with the store at `store`.
    ///
    /// # Panics
    ///
    /// When loopback has no free port.
    #[must_use]
    pub fn start(nodes: usize, store: SocketAddr) -> Self {
        let (questions, asked) = async_mpsc::unbounded_channel();
        let (sender, started) = mpsc::channel();
        let thread = thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            let running = run(nodes, store, sender, asked);
            runtime.expect("a runtime").block_on(running);
        });
        let (boards, peers) = started.iter().take(nodes).unzip();
        Self {
            boards,
            peers,
            questions: Some(questions),
            thread: Some(thread),
        }
    }

    /// Where the nodes take streams of others.
    #[must_use]
    pub fn peers(&self) -> &[SocketAddr] {
        &self.peers
    }

    /// Whether each node knows all others.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        let others = self.boards.len() - 1;
        let mut boards = self.boards.iter();
        boards.all(|board| board.facts().peers as usize == others)
    }

    /// Whether each node has `revision` in force.
    #[must_use]
    pub fn has_in_force(&self, revision: u64) -> bool {
        let mut boards = self.boards.iter();
        boards.all(|board| board.facts().in_force >= revision)
    }

    /// What the nodes did so far.
    ///
    /// # Panics
    ///
    /// When the thread ended.
    #[must_use]
    pub fn sample(&self) -> FleetSample {
        let (sender, receiver) = mpsc::channel();
        if let Some(questions) = &self.questions {
            questions.send(sender).expect("the nodes run");
        }
        let mut sample = FleetSample {
            used: receiver.recv().expect("the nodes run"),
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
        self.questions = None;
        if let Some(thread) = self.thread.take() {
            // A panic there was told where it arose.
            let _ = thread.join();
        }
    }
}

/// Runs the nodes and answers questions.
async fn run(
    nodes: usize,
    store: SocketAddr,
    started: mpsc::Sender<(StatusBoard, SocketAddr)>,
    mut asked: async_mpsc::UnboundedReceiver<mpsc::Sender<ThreadUse>>,
) {
    let mut daemons: Vec<Daemon> = Vec::with_capacity(nodes);
    for index in 0..nodes {
        let domain = DomainName::new(format!("domain-{}", index % DOMAINS));
        let mut settings = DaemonSettings::on_loopback(SiteName::from("site"), domain);
        let first = daemons.first().map(|daemon| daemon.addresses().peers);
        settings.seed_peers.extend(first);
        settings.store = vec![store];
        let daemon = Daemon::start(settings).await.expect("loopback has ports");
        let whole = (daemon.board().clone(), daemon.addresses().peers);
        started.send(whole).expect("the starter waits");
        daemons.push(daemon);
        sleep(START_PAUSE).await;
    }
    while let Some(question) = asked.recv().await {
        // Who no longer waits needs no answer.
        let _ = question.send(ThreadUse::now());
    }
    daemons.into_iter().for_each(Daemon::kill);
}
