//! Failure detection: direct pings, and indirect pings before a suspicion.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use fescueway_core::{MonoTime, NodeId};
use rand_core::Rng;

use crate::{
    DownCause, MemberList, MemberStatus, MessageBody, PING_PERIOD, member_list::EventContext,
    probe_order::random_below,
};

/// Time without an ack after which a member is pinged again and others are asked to ping it.
const ACK_TIMEOUT: Duration = Duration::from_millis(250);

/// Time without an ack after which a member is suspected.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Times that a ping is repeated.
const MAX_RETRIES: u8 = 3;

/// Members asked for an indirect ping in each retry.
const RELAYS_PER_RETRY: usize = 3;

/// Pings in flight on behalf of other members.
const MAX_RELAYED: usize = 64;

/// A member that is down is pinged in one of this many periods on average, to detect that it is
/// alive.
const PERIODS_PER_DOWN_PING: usize = 8;

/// A seed is pinged in one of this many periods on average, to find a fleet that was partitioned
/// for long.
const PERIODS_PER_SEED_PING: usize = 60;

/// The pings in flight, including those made for other members.
#[derive(Clone, Debug)]
pub struct PeerProbe {
    next_sequence: u32,
    /// At most one for each ping period within [`PROBE_TIMEOUT`].
    pending: Vec<PendingPing>,
    relayed: BTreeMap<u32, RelayedPing>,
}

#[derive(Clone, Debug)]
struct PendingPing {
    node: NodeId,
    sequence: u32,
    /// When the ping is repeated; `NEVER` once no retry is left.
    retry_at: MonoTime,
    retries_left: u8,
    /// When the member is suspected.
    ends_at: MonoTime,
}

impl PendingPing {
    /// Counts a retry and schedules the next one. Returns the member and the sequence.
    fn retry(&mut self, now: MonoTime) -> (NodeId, u32) {
        self.retries_left -= 1;
        self.retry_at = if self.retries_left > 0 {
            now + ACK_TIMEOUT
        } else {
            MonoTime::NEVER
        };
        (self.node, self.sequence)
    }
}

#[derive(Clone, Debug)]
struct RelayedPing {
    origin: SocketAddr,
    origin_sequence: u32,
    expires_at: MonoTime,
}

impl PeerProbe {
    pub fn new(random: &mut impl Rng) -> Self {
        Self {
            next_sequence: random.next_u32(),
            pending: Vec::new(),
            relayed: BTreeMap::new(),
        }
    }

    pub fn next_wake(&self) -> MonoTime {
        let retries = self.pending.iter().map(|ping| ping.retry_at);
        retries.min().unwrap_or(MonoTime::NEVER)
    }

    /// Drops all pings in flight.
    pub fn clear(&mut self) {
        self.pending.clear();
        self.relayed.clear();
    }

    /// Whether a member has not answered a ping and its first repetition in time.
    pub fn has_unanswered(&self) -> bool {
        let mut pending = self.pending.iter();
        pending.any(|ping| ping.retries_left + 2 <= MAX_RETRIES)
    }

    pub(crate) fn take_sequence(&mut self) -> u32 {
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.next_sequence
    }
}

impl MemberList {
    /// Suspects the members whose probe timed out and starts the next probe.
    pub(crate) fn start_probe(&mut self, context: &mut EventContext<'_, impl Rng>) {
        let now = context.now;
        let is_timed_out = |ping: &mut PendingPing| ping.ends_at <= now;
        let timed_out: Vec<_> = self.probe.pending.extract_if(.., is_timed_out).collect();
        for ping in timed_out {
            self.suspect(context, ping.node);
        }
        self.probe.relayed.retain(|_, ping| ping.expires_at > now);
        let own = self.settings.node;
        let table = &self.table;
        let is_live = |node| {
            let state = table.get(node);
            node != own && state.is_some_and(crate::MemberState::is_reachable)
        };
        let Some(node) = self.probe_order.next_member(context.random, is_live) else {
            return;
        };
        let sequence = self.probe.take_sequence();
        self.probe.pending.push(PendingPing {
            node,
            sequence,
            retry_at: now + ACK_TIMEOUT,
            retries_left: MAX_RETRIES,
            ends_at: now + PROBE_TIMEOUT,
        });
        self.send_to_node(context, node, MessageBody::Ping { sequence });
    }

    /// Occasionally pings a member that is down, or a seed.
    pub(crate) fn ping_down_or_seed(&mut self, context: &mut EventContext<'_, impl Rng>) {
        let sequence = self.probe.take_sequence();
        if random_below(context.random, PERIODS_PER_DOWN_PING) == 0 {
            let index = context.random.next_u64();
            if let Some(node) = self.table.down_near(index) {
                self.send_to_node(context, node, MessageBody::Ping { sequence });
            }
        }
        if random_below(context.random, PERIODS_PER_SEED_PING) == 0 {
            self.ping_seed(context);
        }
    }

    /// Seeds that are not live members.
    fn unknown_seeds(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let own = self.settings.gossip_address;
        let seeds = self.settings.seeds.iter().copied();
        seeds.filter(move |seed| *seed != own && self.table.at_address(*seed).is_none())
    }

    /// Whether any seed is not a live member.
    pub(crate) fn has_unknown_seed(&self) -> bool {
        self.unknown_seeds().next().is_some()
    }

    /// Pings a random seed that is not a live member.
    pub(crate) fn ping_seed(&mut self, context: &mut EventContext<'_, impl Rng>) {
        let unknown: Vec<_> = self.unknown_seeds().collect();
        if unknown.is_empty() {
            return;
        }
        let seed = unknown[random_below(context.random, unknown.len())];
        let sequence = self.probe.take_sequence();
        self.send(context, seed, None, MessageBody::Ping { sequence });
    }

    /// Repeats the pings that got no ack in time and requests indirect ones.
    pub(crate) fn continue_probe(&mut self, context: &mut EventContext<'_, impl Rng>) {
        let now = context.now;
        let pending = self.probe.pending.iter_mut();
        let due = pending.filter(|ping| ping.retry_at <= now);
        let due: Vec<_> = due.map(|ping| ping.retry(now)).collect();
        for (node, sequence) in due {
            self.send_to_node(context, node, MessageBody::Ping { sequence });
            for _relay in 0..RELAYS_PER_RETRY {
                if let Some(relay) = self.pick_relay(context, node) {
                    self.send_to_node(context, relay, MessageBody::PingRequest { sequence, node });
                }
            }
        }
    }

    /// Pings a suspected member. The ping carries the suspicion, and the member answers with a
    /// refutation.
    pub(crate) fn ping_suspect(&mut self, context: &mut EventContext<'_, impl Rng>, node: NodeId) {
        let sequence = self.probe.take_sequence();
        self.send_to_node(context, node, MessageBody::Ping { sequence });
    }

    pub(crate) fn on_ping(
        &mut self,
        context: &mut EventContext<'_, impl Rng>,
        address: SocketAddr,
        sender: NodeId,
        sequence: u32,
    ) {
        let node = self.settings.node;
        self.send(
            context,
            address,
            Some(sender),
            MessageBody::Ack { sequence, node },
        );
    }

    pub(crate) fn on_ping_request(
        &mut self,
        context: &mut EventContext<'_, impl Rng>,
        origin: SocketAddr,
        origin_sequence: u32,
        node: NodeId,
    ) {
        if self.probe.relayed.len() >= MAX_RELAYED {
            return;
        }
        let sequence = self.probe.take_sequence();
        let expires_at = context.now + PING_PERIOD;
        let relayed = RelayedPing {
            origin,
            origin_sequence,
            expires_at,
        };
        self.probe.relayed.insert(sequence, relayed);
        self.send_to_node(context, node, MessageBody::Ping { sequence });
    }

    pub(crate) fn on_ack(
        &mut self,
        context: &mut EventContext<'_, impl Rng>,
        sequence: u32,
        node: NodeId,
    ) {
        if let Some(relayed) = self.probe.relayed.remove(&sequence) {
            let body = MessageBody::Ack {
                sequence: relayed.origin_sequence,
                node,
            };
            self.send(context, relayed.origin, None, body);
            return;
        }
        if self.record_delivery.on_ack(sequence) {
            return;
        }
        let mut pending = self.probe.pending.iter();
        let Some(index) = pending.position(|ping| ping.sequence == sequence) else {
            return;
        };
        let ping = self.probe.pending.swap_remove(index);
        if ping.node != node {
            self.declare(context, ping.node, MemberStatus::Down, DownCause::Replaced);
        }
    }

    fn suspect(&mut self, context: &mut EventContext<'_, impl Rng>, node: NodeId) {
        let state = self.table.get(node);
        if state.is_some_and(|state| state.status == MemberStatus::Alive) {
            self.counts.suspicions += 1;
            self.declare(context, node, MemberStatus::Suspect, DownCause::Silent);
        }
        // The datagram carries the suspicion, so that the member can refute it.
        self.send_to_node(context, node, MessageBody::Gossip);
    }

    /// Picks a member for an indirect ping of `node`, preferably from a failure domain other than
    /// this node's and `node`'s.
    fn pick_relay(&self, context: &mut EventContext<'_, impl Rng>, node: NodeId) -> Option<NodeId> {
        let own = self.settings.node;
        let domain_of = |node| {
            let state = self.table.get(node)?;
            state.record.as_ref().map(|record| &record.domain)
        };
        let target_domain = domain_of(node);
        let is_candidate = |relay: NodeId| {
            let state = self.table.get(relay);
            let is_alive = state.is_some_and(|state| state.status == MemberStatus::Alive);
            is_alive && relay != own && relay != node
        };
        let is_in_third_domain = |relay: NodeId| {
            let domain = domain_of(relay);
            let is_in_third_domain =
                domain != Some(&self.settings.domain) && domain != target_domain;
            is_candidate(relay) && is_in_third_domain
        };
        let in_third_domain = self.probe_order.pick(context.random, is_in_third_domain);
        in_third_domain.or_else(|| self.probe_order.pick(context.random, is_candidate))
    }
}
