//! The membership instance of a node, shared by its tasks.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use fescueway_core::{ConfigMark, MonoTime, NodeId};
use fescueway_membership::{
    FleetKnowledge, FleetSearch, FleetSecret, MemberAction, MemberEvent, MemberList,
    MemberSettings, MemberState, MemberStatus, TrafficCounts, jittered,
};
use fescueway_proxy::ProxyState;
use fescueway_routing::FleetShare;
use fescueway_telemetry::{emit, events::control};
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;
use tokio::{
    net::UdpSocket,
    sync::{Notify, mpsc, watch},
};

use crate::{DaemonSettings, StatusBoard};

/// Capacity of the note queue; further notes are dropped.
const MAX_QUEUED_NOTES: usize = 256;

/// Share of the retry slack that is divided among the entries. The rest covers entries that know
/// only part of the fleet and so take too large a share.
const RETRY_RESERVE_SHARE: f64 = 0.5;

/// Nodes of a failure domain that watch the store for a configuration document. They replace each other
/// only once the failure detection has noticed a loss, so a small domain has no node that depends on
/// the others' watches.
pub const DOCUMENT_WATCHERS_PER_DOMAIN: usize = 8;

/// Nodes of a failure domain whose addresses are published.
const SEEDS_PER_DOMAIN: usize = 2;

/// A note with its sender.
pub type ReceivedNote = (NodeId, Vec<u8>);

/// The membership instance of a node. Cheap to clone.
#[derive(Clone)]
pub struct MemberLink(Arc<LinkState>);

/// State shared by the clones of a [`MemberLink`].
struct LinkState {
    /// The proxy, which receives changes of targets.
    proxy: ProxyState,
    /// The status shown to operators.
    board: StatusBoard,
    /// The socket for datagrams.
    socket: UdpSocket,
    /// The state machine and its random number generator.
    core: Mutex<MemberCore>,
    /// Notifies the timer that the next wake-up may have changed.
    wake_changed: Notify,
    /// The newest known configuration.
    newest_mark: watch::Sender<ConfigMark>,
    /// Queue of notes from other nodes.
    notes: mpsc::Sender<ReceivedNote>,
    /// Retries that all entries together may make for a service beyond their share.
    retry_slack: Option<f64>,
    /// Whether the search for the fleet after the start has ended.
    has_searched: AtomicBool,
    /// What is known of the fleet by asking the store and other nodes.
    search: Mutex<FleetSearch>,
}

/// The state machine and its random number generator.
struct MemberCore {
    /// The membership state machine.
    list: MemberList,
    /// Random number generator, seeded when the node starts.
    random: Pcg64Mcg,
}

impl MemberLink {
    /// Creates a membership instance, and the receiver of its notes. Sends nothing yet.
    pub fn new(
        proxy: ProxyState,
        board: StatusBoard,
        socket: UdpSocket,
        settings: &DaemonSettings,
    ) -> (Self, mpsc::Receiver<ReceivedNote>) {
        let options = proxy.options();
        let mut random = Pcg64Mcg::new(u128::from(options.seed) << 1 | 1);
        let members = MemberSettings {
            node: options.node,
            gossip_address: options.peer_address,
            peer_address: options.peer_address,
            domain: options.domain.clone(),
            site: options.site.clone(),
            seeds: settings.seed_peers.clone(),
            secret: FleetSecret::new(settings.fleet_secret.as_bytes()),
        };
        let list = MemberList::new(proxy.now(), members, &mut random);
        let (notes, received) = mpsc::channel(MAX_QUEUED_NOTES);
        let link = Self(Arc::new(LinkState {
            proxy,
            board,
            socket,
            core: Mutex::new(MemberCore { list, random }),
            wake_changed: Notify::new(),
            newest_mark: watch::Sender::default(),
            notes,
            retry_slack: settings.retry_slack,
            has_searched: AtomicBool::new(false),
            search: Mutex::default(),
        }));
        (link, received)
    }

    /// Handles an event and executes the resulting actions.
    pub fn handle(&self, event: MemberEvent) {
        let actions = {
            let mut core = self.core();
            let MemberCore { list, random } = &mut *core;
            list.handle(self.0.proxy.now(), event, random)
        };
        for action in actions {
            self.execute(action);
        }
        self.0.wake_changed.notify_one();
    }

    /// Waits for the next datagram.
    pub async fn receive(&self, buffer: &mut [u8]) -> std::io::Result<(usize, SocketAddr)> {
        self.0.socket.recv_from(buffer).await
    }

    /// When the next [`MemberEvent::Tick`] is due.
    pub fn next_wake(&self) -> MonoTime {
        self.core().list.next_wake()
    }

    /// Waits until the next wake-up may have changed.
    pub async fn wake_changed(&self) {
        self.0.wake_changed.notified().await;
    }

    /// Subscribes to the newest known configuration.
    pub fn newest_mark(&self) -> watch::Receiver<ConfigMark> {
        self.0.newest_mark.subscribe()
    }

    /// Whether the node has joined the fleet, or found that there is none.
    pub fn is_joined(&self) -> bool {
        self.core().list.is_joined()
    }

    /// Whether every directly notified entry has acknowledged the record or was given up.
    pub fn is_record_delivery_done(&self) -> bool {
        self.core().list.is_record_delivery_done()
    }

    /// Number of live nodes, this one included.
    pub fn live_count(&self) -> usize {
        self.core().list.live_count()
    }

    /// Whether a node that is considered live does not answer.
    pub fn has_unanswered_ping(&self) -> bool {
        self.core().list.has_unanswered_ping()
    }

    /// Traffic counts since the start.
    pub fn counts(&self) -> TrafficCounts {
        self.core().list.counts()
    }

    /// Publishes the traffic counts on the status board.
    pub fn publish_traffic(&self) {
        let counts = self.counts();
        self.0.board.change(|facts| facts.traffic = counts);
    }

    /// Records that the search for the fleet after the start has ended: the node has joined and
    /// knows the others, or there seem to be none.
    pub fn end_search(&self) {
        self.0.has_searched.store(true, Ordering::Relaxed);
    }

    /// Whether the search for the fleet after the start has ended.
    pub fn has_searched(&self) -> bool {
        self.0.has_searched.load(Ordering::Relaxed)
    }

    /// What is known of the fleet by asking the store and other nodes.
    pub fn search(&self) -> MutexGuard<'_, FleetSearch> {
        self.0.search.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this node knows the fleet that it belongs to.
    pub fn is_fleet_known(&self) -> bool {
        self.search().knowledge() == FleetKnowledge::Known
    }

    /// Peer addresses of `count` other nodes of this node's site, or of all if there are fewer. They are
    /// drawn at random.
    pub fn sample_peers(&self, count: usize) -> Vec<SocketAddr> {
        let own = self.0.proxy.node();
        let mut others = self.site_nodes();
        others.retain(|(node, _, is_suspect)| *node != own && !is_suspect);
        let mut sampled = Vec::new();
        while sampled.len() < count && !others.is_empty() {
            let index = self.core().random.next_u64() % others.len() as u64;
            let (_, address, _) = others.swap_remove(index as usize);
            sampled.push(address);
        }
        sampled
    }

    /// Whether each of these peer addresses is one of a live node that this one knows.
    pub fn are_known(&self, addresses: &[SocketAddr]) -> bool {
        let core = self.core();
        let live = core
            .list
            .members()
            .filter(|(_, state)| state.is_reachable());
        let records = live.filter_map(|(_, state)| state.record.as_ref());
        let known: BTreeSet<_> = records.map(|record| record.peer_address).collect();
        addresses.iter().all(|address| known.contains(address))
    }

    /// The peer address of this node.
    pub fn address(&self) -> SocketAddr {
        self.0.proxy.options().peer_address
    }

    /// A duration drawn from half of `duration` to all of it.
    pub fn jittered(&self, duration: Duration) -> Duration {
        jittered(duration, &mut self.core().random)
    }

    /// Whether this node is one of the few of its failure domain that watch the store. While views of
    /// the membership differ, more nodes may watch; none does before it has searched for the fleet.
    pub fn is_watcher(&self) -> bool {
        self.is_among_first(DOCUMENT_WATCHERS_PER_DOMAIN)
    }

    /// Whether this node is the first watcher of its failure domain.
    pub fn is_first_watcher(&self) -> bool {
        self.is_among_first(1)
    }

    /// Whether this node is one of the few of its failure domain whose addresses are published.
    pub fn is_seed(&self) -> bool {
        self.is_among_first(SEEDS_PER_DOMAIN)
    }

    /// Whether this node has searched for the fleet, and has one of the `count` lowest ids among the
    /// live nodes of its failure domain.
    fn is_among_first(&self, count: usize) -> bool {
        if !self.has_searched() {
            return false;
        }
        let own = self.0.proxy.node();
        let nodes = self.domain_nodes();
        let lower = nodes.iter().filter(|node| **node < own).count();
        lower < count
    }

    /// The live nodes of this node's failure domain, itself included, sorted.
    pub fn domain_nodes(&self) -> Vec<NodeId> {
        self.core().list.domain_nodes()
    }

    /// The live nodes of this node's failure domain with their peer addresses, itself included, sorted.
    pub fn domain_addresses(&self) -> Vec<(NodeId, SocketAddr)> {
        self.core().list.domain_addresses()
    }

    /// The live nodes of this node's site, itself included, with their peer addresses and whether each
    /// is suspected to be down.
    pub fn site_nodes(&self) -> Vec<(NodeId, SocketAddr, bool)> {
        let core = self.core();
        let site = &self.0.proxy.options().site;
        let nodes = core.list.members().filter_map(|(node, state)| {
            let record = state
                .record
                .as_ref()
                .filter(|_record| state.is_reachable())?;
            let is_suspect = state.status == MemberStatus::Suspect;
            (record.site == *site).then_some((node, record.peer_address, is_suspect))
        });
        nodes.collect()
    }

    /// The peer address of a node that has at least `revision` of this site in force.
    pub fn node_with_revision(&self, revision: u64) -> Option<SocketAddr> {
        let mut core = self.core();
        let MemberCore { list, random } = &mut *core;
        list.node_with_revision(revision, random)
            .map(|(_, address)| address)
    }

    /// Executes one action.
    fn execute(&self, action: MemberAction) {
        match action {
            MemberAction::Send { to, bytes } => {
                // A datagram that can't be sent now is dropped; the protocol tolerates loss.
                let _ = self.0.socket.try_send_to(&bytes, to);
            }
            MemberAction::SetTarget { site, target } => {
                self.0.proxy.set_site_target(&site, &target);
            }
            MemberAction::RemoveTarget { node, service } => {
                self.0.proxy.remove_target(node, &service);
            }
            MemberAction::NodeUp(node) => {
                emit(&control::NODE_UP, &[&node]);
                self.update_peer_count();
            }
            MemberAction::NodeDown { node, cause } => {
                emit(&control::NODE_DOWN, &[&node, &cause.as_str()]);
                self.update_peer_count();
            }
            MemberAction::NewerMark { mark, .. } => {
                self.0.newest_mark.send_replace(mark);
            }
            MemberAction::Note { from, body } => {
                // A note that doesn't fit into the queue is dropped; its sender repeats it.
                let _ = self.0.notes.try_send((from, body));
            }
        }
    }

    fn update_peer_count(&self) {
        let live = self.live_count();
        if let Some(slack) = self.0.retry_slack {
            let reserve = RETRY_RESERVE_SHARE * slack / live.max(1) as f64;
            self.0.proxy.routes().set_max_retry_tokens(reserve.max(1.0));
        }
        self.0.proxy.routes().set_fleet_share(self.fleet_share());
        let peers = live.saturating_sub(1) as u32;
        self.0.board.change(|facts| facts.peers = peers);
    }

    /// This node's position among the live nodes of its site. A node whose site isn't known yet counts.
    fn fleet_share(&self) -> FleetShare {
        let options = self.0.proxy.options();
        let core = self.core();
        let is_counted = |state: &MemberState| {
            let record = state.record.as_ref();
            let is_other_site = record.is_some_and(|record| record.site != options.site);
            state.status.is_live() && !is_other_site
        };
        let live = core.list.members().filter(|(_, state)| is_counted(state));
        let (mut rank, mut entries) = (0, 0);
        for (node, _) in live {
            entries += 1;
            rank += u32::from(node < options.node);
        }
        FleetShare { rank, entries }
    }

    /// Locks the state machine.
    fn core(&self) -> MutexGuard<'_, MemberCore> {
        self.0.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl std::fmt::Debug for MemberLink {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("MemberLink").finish_non_exhaustive()
    }
}
