//! One node's view of the fleet.

use std::{net::SocketAddr, time::Duration};

use fescueway_core::{ConfigMark, MonoTime, NodeId, TargetRecord};
use rand_core::Rng;

use crate::{
    DatagramCodec, DownCause, MemberAction, MemberEvent, MemberSettings, MemberState, MemberStatus,
    MessageBody, Rumor, ServedService, TrafficCounts, byte_budget::ByteBudget,
    fleet_join::FleetJoin, fleet_sync::FleetSync, gossip_push::GossipPush, live_ring::LiveRing,
    member_table::MemberTable, peer_probe::PeerProbe, record_notice::RecordNotice,
    rumor_queue::RumorQueue,
};

/// Time between two pings of one node.
pub const PING_PERIOD: Duration = Duration::from_millis(500);

/// Longest body of a note in bytes.
const MAX_NOTE: usize = 800;

/// One node's view of the fleet, and its part in keeping the others' views.
#[derive(Clone, Debug)]
pub struct MemberList {
    pub(crate) settings: MemberSettings,
    pub(crate) codec: DatagramCodec,
    /// Holds this node too, always alive until it leaves.
    pub(crate) table: MemberTable,
    pub(crate) ring: LiveRing,
    pub(crate) queue: RumorQueue,
    /// For rumors.
    pub(crate) budget: ByteBudget,
    pub(crate) repair_budget: ByteBudget,
    pub(crate) probe: PeerProbe,
    pub(crate) notice: RecordNotice,
    pub(crate) push: GossipPush,
    pub(crate) sync: FleetSync,
    pub(crate) join: FleetJoin,
    pub(crate) counts: TrafficCounts,
    /// What this node has in force.
    pub(crate) mark: ConfigMark,
    /// The highest revision that the owner was told of.
    pub(crate) told_mark: ConfigMark,
    /// Most live members that any other node told of.
    pub(crate) fleet_size: usize,
    next_period: MonoTime,
    pub(crate) last_event: MonoTime,
    /// Until then datagrams are dropped: they waited in the socket during a long pause.
    pub(crate) deaf_until: MonoTime,
    pub(crate) is_leaving: bool,
}

/// One call of [`MemberList::handle`]: its time, its random numbers and its actions.
pub(crate) struct Step<'a, R> {
    pub now: MonoTime,
    pub random: &'a mut R,
    pub actions: Vec<MemberAction>,
}

impl MemberList {
    /// A view that holds this node alone. Its first tick, due at once, joins the fleet.
    #[must_use]
    pub fn new(now: MonoTime, settings: MemberSettings, random: &mut impl Rng) -> Self {
        let mut list = Self {
            codec: DatagramCodec::new(settings.secret.clone()),
            table: MemberTable::new(),
            ring: LiveRing::default(),
            queue: RumorQueue::default(),
            budget: ByteBudget::for_rumors(now),
            repair_budget: ByteBudget::for_repairs(now),
            probe: PeerProbe::new(random),
            notice: RecordNotice::default(),
            push: GossipPush::default(),
            sync: FleetSync::new(now, random),
            join: FleetJoin::new(now),
            counts: TrafficCounts::default(),
            mark: ConfigMark::default(),
            told_mark: ConfigMark::default(),
            fleet_size: 1,
            next_period: now + jittered(PING_PERIOD, random),
            last_event: now,
            deaf_until: now,
            is_leaving: false,
            settings,
        };
        list.announce(now, Vec::new());
        list
    }

    /// Takes in an event and tells what to do.
    pub fn handle(
        &mut self,
        now: MonoTime,
        event: MemberEvent,
        random: &mut impl Rng,
    ) -> Vec<MemberAction> {
        let mut step = Step {
            now,
            random,
            actions: Vec::new(),
        };
        self.note_pause(&mut step);
        match event {
            MemberEvent::Datagram { from, bytes } => self.on_bytes(&mut step, from, &bytes),
            MemberEvent::Tick => self.on_tick(&mut step),
            MemberEvent::LocalTargets(targets) => self.on_local_targets(now, &targets),
            MemberEvent::Seeds(seeds) => self.add_seeds(now, seeds),
            MemberEvent::Mark(mark) => self.on_own_mark(now, mark),
            MemberEvent::Note { to, body } => self.send_note(&mut step, to, body),
            MemberEvent::DeliverRecord(nodes) => self.start_notice(&mut step, &nodes),
            MemberEvent::Leave => self.leave(&mut step),
        }
        step.actions
    }

    /// When the next [`MemberEvent::Tick`] is due.
    #[must_use]
    pub fn next_wake(&self) -> MonoTime {
        if self.is_leaving {
            return self.notice.next_wake();
        }
        let wakes = [
            self.notice.next_wake(),
            self.next_period,
            self.probe.next_wake(),
            self.push.next_wake(),
            self.sync.next_wake(),
            self.join.next_wake(),
            self.table.next_lapse(),
        ];
        wakes.into_iter().min().unwrap_or(MonoTime::NEVER)
    }

    // Queries

    /// Members that live, this node included.
    #[must_use]
    pub const fn live_count(&self) -> usize {
        self.table.live_count()
    }

    /// Every member that is known, those that are gone included.
    pub fn members(&self) -> impl Iterator<Item = (NodeId, &MemberState)> {
        self.table.iter()
    }

    /// What is known of one member.
    #[must_use]
    pub fn member(&self, node: NodeId) -> Option<&MemberState> {
        self.table.get(node)
    }

    /// Counts since the start.
    #[must_use]
    pub const fn counts(&self) -> TrafficCounts {
        self.counts
    }

    /// Whether this node has fetched the view of the fleet, or found that there is none.
    #[must_use]
    pub const fn is_joined(&self) -> bool {
        self.join.is_done()
    }

    /// Whether the members of [`MemberEvent::DeliverRecord`] have acknowledged this node's record, or
    /// were told in vain.
    #[must_use]
    pub fn is_record_delivery_done(&self) -> bool {
        self.notice.is_done()
    }

    /// The live nodes of this node's failure domain, itself included, sorted.
    #[must_use]
    pub fn domain_nodes(&self) -> Vec<NodeId> {
        let is_near = |state: &MemberState| {
            let record = state.record.as_ref().filter(|_record| state.is_reachable());
            record.is_some_and(|record| record.domain == self.settings.domain)
        };
        let near = self.table.iter().filter(|(_, state)| is_near(state));
        near.map(|(node, _)| node).collect()
    }

    /// A random live node of this node's site that was heard to have at least `revision` in force.
    pub fn node_with_revision(
        &self,
        revision: u64,
        random: &mut impl Rng,
    ) -> Option<(NodeId, SocketAddr)> {
        let is_holder = |node: NodeId| {
            let state = self.table.get(node);
            state.is_some_and(|state| {
                let record = state.record.as_ref().filter(|_record| state.is_reachable());
                let is_near = record.is_some_and(|record| record.site == self.settings.site);
                is_near && state.mark.revision >= revision
            })
        };
        let picked = self.ring.pick(random, is_holder);
        let node = picked.or_else(|| {
            let mut nodes = self.table.iter().map(|(node, _)| node);
            nodes.find(|node| *node != self.settings.node && is_holder(*node))
        })?;
        let record = self.table.get(node)?.record.as_ref()?;
        Some((node, record.peer_address))
    }

    // Events

    fn on_tick(&mut self, step: &mut Step<'_, impl Rng>) {
        self.continue_notice(step);
        if self.is_leaving {
            return;
        }
        if self.next_period <= step.now {
            self.next_period = step.now + PING_PERIOD;
            self.on_period(step);
        }
        self.lapse_suspects(step);
        self.continue_probe(step);
        self.continue_join(step);
        self.continue_seeking(step);
        self.continue_sync(step);
        self.continue_push(step);
    }

    fn on_period(&mut self, step: &mut Step<'_, impl Rng>) {
        self.table.forget_old(step.now);
        self.queue.forget_old(step.now);
        self.start_probe(step);
        self.knock(step);
        self.ask_about_suspects(step);
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
            let is_room = self.settings.seeds.len() < MAX_SEEDS;
            if is_room && !self.settings.seeds.contains(&seed) {
                self.settings.seeds.push(seed);
                self.join.hasten(now);
            }
        }
    }

    fn on_own_mark(&mut self, now: MonoTime, mark: ConfigMark) {
        if mark.revision > self.mark.revision {
            self.mark = mark;
            self.told_mark = self.told_mark.max(mark);
            self.push.schedule(now);
        }
    }

    fn send_note(&mut self, step: &mut Step<'_, impl Rng>, to: NodeId, body: Vec<u8>) {
        if body.len() <= MAX_NOTE {
            self.send_to_node(step, to, MessageBody::Note(body));
        }
    }

    fn leave(&mut self, step: &mut Step<'_, impl Rng>) {
        const TOLD: usize = 8;
        let own = self.settings.node;
        let Some(state) = self.table.get(own) else {
            return;
        };
        self.is_leaving = true;
        let rumor = Rumor {
            status: MemberStatus::Left,
            ..state.rumor(own, false)
        };
        self.table.apply(step.now, &rumor);
        self.queue.push(step.now, own, false);
        for _told in 0..TOLD {
            if let Some(node) = self.pick_live(step) {
                self.send_to_node(step, node, MessageBody::Gossip);
            }
        }
    }

    // Time

    fn lapse_suspects(&mut self, step: &mut Step<'_, impl Rng>) {
        for node in self.table.lapsed_suspects(step.now) {
            self.declare(step, node, MemberStatus::Down, DownCause::Silent);
        }
    }
}

/// A duration drawn from half of `duration` to all of it.
pub fn jittered(duration: Duration, random: &mut impl Rng) -> Duration {
    let share = f64::from(random.next_u32()) / f64::from(u32::MAX);
    duration.mul_f64(0.5 + share / 2.0)
}
