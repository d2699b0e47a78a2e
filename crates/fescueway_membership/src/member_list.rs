//! One node's view of the fleet.

use std::{net::SocketAddr, time::Duration};

use fescueway_core::{ConfigMark, MonoTime, NodeId, TargetRecord};
use rand_core::Rng;

use crate::{
    DatagramCodec, DownCause, MemberAction, MemberEvent, MemberSettings, MemberState, MemberStatus,
    MessageBody, Rumor, ServedService, TrafficCounts, byte_budget::ByteBudget,
    fleet_join::FleetJoin, fleet_sync::FleetSync, gossip_push::GossipPush,
    member_table::MemberTable, peer_probe::PeerProbe, probe_order::ProbeOrder,
    record_delivery::RecordDelivery, rumor_queue::RumorQueue,
};

/// Interval between the pings of one node.
pub const PING_PERIOD: Duration = Duration::from_millis(500);

/// Longest body of a note in bytes.
const MAX_NOTE_BYTES: usize = 800;

/// One node's view of the fleet, with the protocol state that keeps it and the others' views up to
/// date.
#[derive(Clone, Debug)]
pub struct MemberList {
    pub(crate) settings: MemberSettings,
    pub(crate) codec: DatagramCodec,
    /// Contains this node too, always alive until it leaves.
    pub(crate) table: MemberTable,
    pub(crate) probe_order: ProbeOrder,
    pub(crate) queue: RumorQueue,
    /// Limits gossip.
    pub(crate) gossip_budget: ByteBudget,
    pub(crate) repair_budget: ByteBudget,
    pub(crate) probe: PeerProbe,
    pub(crate) record_delivery: RecordDelivery,
    pub(crate) push: GossipPush,
    pub(crate) sync: FleetSync,
    pub(crate) join: FleetJoin,
    pub(crate) counts: TrafficCounts,
    /// The configuration that this node has in force.
    pub(crate) mark: ConfigMark,
    /// The newest configuration reported to the owner or set by it.
    pub(crate) reported_mark: ConfigMark,
    /// The highest live count that any other node has reported.
    pub(crate) fleet_size: usize,
    next_period: MonoTime,
    pub(crate) last_event: MonoTime,
    /// Datagrams received before this time are dropped, since they waited in the socket during a
    /// long pause.
    pub(crate) discard_until: MonoTime,
    pub(crate) is_leaving: bool,
}

/// The context of one call of [`MemberList::handle`]: time, randomness and resulting actions.
pub(crate) struct EventContext<'a, R> {
    pub now: MonoTime,
    pub random: &'a mut R,
    pub actions: Vec<MemberAction>,
}

impl MemberList {
    /// Creates a view that contains only this node. The first tick, due at once, starts the join.
    #[must_use]
    pub fn new(now: MonoTime, settings: MemberSettings, random: &mut impl Rng) -> Self {
        let mut list = Self {
            codec: DatagramCodec::new(settings.secret.clone()),
            table: MemberTable::new(),
            probe_order: ProbeOrder::default(),
            queue: RumorQueue::default(),
            gossip_budget: ByteBudget::for_rumors(now),
            repair_budget: ByteBudget::for_repairs(now),
            probe: PeerProbe::new(random),
            record_delivery: RecordDelivery::default(),
            push: GossipPush::default(),
            sync: FleetSync::new(now, random),
            join: FleetJoin::new(now),
            counts: TrafficCounts::default(),
            mark: ConfigMark::default(),
            reported_mark: ConfigMark::default(),
            fleet_size: 1,
            next_period: now + jittered(PING_PERIOD, random),
            last_event: now,
            discard_until: now,
            is_leaving: false,
            settings,
        };
        list.announce(now, Vec::new());
        list
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(
        &mut self,
        now: MonoTime,
        event: MemberEvent,
        random: &mut impl Rng,
    ) -> Vec<MemberAction> {
        let mut context = EventContext {
            now,
            random,
            actions: Vec::new(),
        };
        self.detect_pause(&mut context);
        match event {
            MemberEvent::Datagram { from, bytes } => self.on_bytes(&mut context, from, &bytes),
            MemberEvent::Tick => self.on_tick(&mut context),
            MemberEvent::LocalTargets(targets) => self.on_local_targets(now, &targets),
            MemberEvent::Seeds(seeds) => self.add_seeds(now, seeds),
            MemberEvent::Mark(mark) => self.on_own_mark(now, mark),
            MemberEvent::Note { to, body } => self.send_note(&mut context, to, body),
            MemberEvent::DeliverRecord(nodes) => self.start_record_delivery(&mut context, &nodes),
            MemberEvent::Leave => self.leave(&mut context),
        }
        context.actions
    }

    /// When the next [`MemberEvent::Tick`] is due.
    #[must_use]
    pub fn next_wake(&self) -> MonoTime {
        if self.is_leaving {
            return self.record_delivery.next_wake();
        }
        let wakes = [
            self.record_delivery.next_wake(),
            self.next_period,
            self.probe.next_wake(),
            self.push.next_wake(),
            self.sync.next_wake(),
            self.join.next_wake(),
            self.table.next_suspicion_expiry(),
        ];
        wakes.into_iter().min().unwrap_or(MonoTime::NEVER)
    }

    // Queries

    /// Number of live members, this node included.
    #[must_use]
    pub const fn live_count(&self) -> usize {
        self.table.live_count()
    }

    /// All known members, including those that are down or have left.
    pub fn members(&self) -> impl Iterator<Item = (NodeId, &MemberState)> {
        self.table.iter()
    }

    /// The known state of one member.
    #[must_use]
    pub fn member(&self, node: NodeId) -> Option<&MemberState> {
        self.table.get(node)
    }

    /// Traffic counts since the start.
    #[must_use]
    pub const fn counts(&self) -> TrafficCounts {
        self.counts
    }

    /// Whether this node has fetched the view of the fleet; false while no other node is known.
    #[must_use]
    pub const fn is_joined(&self) -> bool {
        self.join.is_done()
    }

    /// Whether a member that is considered live has not answered pings for half a second. It is the
    /// earliest sign that nodes were lost, and may be wrong.
    #[must_use]
    pub fn has_unanswered_ping(&self) -> bool {
        self.probe.has_unanswered()
    }

    /// Whether every recipient of [`MemberEvent::DeliverRecord`] has acknowledged this node's
    /// record or has used up all its attempts.
    #[must_use]
    pub fn is_record_delivery_done(&self) -> bool {
        self.record_delivery.is_done()
    }

    /// The live nodes of this node's failure domain, itself included, sorted.
    #[must_use]
    pub fn domain_nodes(&self) -> Vec<NodeId> {
        let is_in_domain = |state: &MemberState| {
            let record = state.record.as_ref().filter(|_record| state.is_reachable());
            record.is_some_and(|record| record.domain == self.settings.domain)
        };
        let in_domain = self.table.iter().filter(|(_, state)| is_in_domain(state));
        in_domain.map(|(node, _)| node).collect()
    }

    /// The live nodes of this node's failure domain with the addresses for streams, itself included,
    /// sorted.
    #[must_use]
    pub fn domain_addresses(&self) -> Vec<(NodeId, SocketAddr)> {
        let nodes = self.domain_nodes().into_iter();
        let address = |node| Some((node, self.table.get(node)?.record.as_ref()?.peer_address));
        nodes.filter_map(address).collect()
    }

    /// A random live node of this node's site that has reported at least `revision` in force.
    pub fn node_with_revision(
        &self,
        revision: u64,
        random: &mut impl Rng,
    ) -> Option<(NodeId, SocketAddr)> {
        let is_holder = |node: NodeId| {
            let state = self.table.get(node);
            state.is_some_and(|state| {
                let record = state.record.as_ref().filter(|_record| state.is_reachable());
                let is_same_site = record.is_some_and(|record| record.site == self.settings.site);
                is_same_site && state.mark.revision >= revision
            })
        };
        let sampled = self.probe_order.pick(random, is_holder);
        let node = sampled.or_else(|| {
            let mut nodes = self.table.iter().map(|(node, _)| node);
            nodes.find(|node| *node != self.settings.node && is_holder(*node))
        })?;
        let record = self.table.get(node)?.record.as_ref()?;
        Some((node, record.peer_address))
    }

    // Events

    fn on_tick(&mut self, context: &mut EventContext<'_, impl Rng>) {
        self.continue_record_delivery(context);
        if self.is_leaving {
            return;
        }
        if self.next_period <= context.now {
            self.next_period = context.now + PING_PERIOD;
            self.on_period(context);
        }
        self.expire_suspects(context);
        self.continue_probe(context);
        self.continue_join(context);
        self.continue_seed_discovery(context);
        self.continue_sync(context);
        self.continue_push(context);
    }

    fn on_period(&mut self, context: &mut EventContext<'_, impl Rng>) {
        self.table.remove_expired(context.now);
        self.queue.remove_expired(context.now);
        self.start_probe(context);
        self.ping_down_or_seed(context);
        self.query_suspects(context);
    }

    fn on_local_targets(&mut self, now: MonoTime, targets: &[TargetRecord]) {
        let services = targets.iter().map(ServedService::from).collect();
        let own = self.table.get(self.settings.node);
        let record = own.and_then(|state| state.record.as_ref());
        if record.is_some_and(|record| record.services != services) {
            self.announce(now, services);
        }
    }

    pub(crate) fn add_seeds(&mut self, now: MonoTime, seeds: Vec<SocketAddr>) {
        const MAX_SEEDS: usize = 256;
        for seed in seeds {
            let has_room = self.settings.seeds.len() < MAX_SEEDS;
            if has_room && !self.settings.seeds.contains(&seed) {
                self.settings.seeds.push(seed);
                self.join.schedule_now(now);
            }
        }
    }

    fn on_own_mark(&mut self, now: MonoTime, mark: ConfigMark) {
        if mark.revision > self.mark.revision {
            self.mark = mark;
            self.reported_mark = self.reported_mark.max(mark);
            self.push.schedule_mark(now);
        }
    }

    fn send_note(&mut self, context: &mut EventContext<'_, impl Rng>, to: NodeId, body: Vec<u8>) {
        if body.len() <= MAX_NOTE_BYTES {
            self.send_to_node(context, to, MessageBody::Note(body));
        }
    }

    fn leave(&mut self, context: &mut EventContext<'_, impl Rng>) {
        const LEAVE_FANOUT: usize = 8;
        let own = self.settings.node;
        let Some(state) = self.table.get(own) else {
            return;
        };
        self.is_leaving = true;
        let rumor = Rumor {
            status: MemberStatus::Left,
            ..state.rumor(own, false)
        };
        self.table.apply(context.now, &rumor);
        self.queue.push(context.now, own, false);
        for _send in 0..LEAVE_FANOUT {
            if let Some(node) = self.pick_live(context) {
                self.send_to_node(context, node, MessageBody::Gossip);
            }
        }
    }

    // Time

    fn expire_suspects(&mut self, context: &mut EventContext<'_, impl Rng>) {
        for node in self.table.expired_suspects(context.now) {
            self.declare(context, node, MemberStatus::Down, DownCause::Silent);
        }
    }
}

/// A duration drawn from half of `duration` to all of it.
pub fn jittered(duration: Duration, random: &mut impl Rng) -> Duration {
    let share = f64::from(random.next_u32()) / f64::from(u32::MAX);
    duration.mul_f64(0.5 + share / 2.0)
}
