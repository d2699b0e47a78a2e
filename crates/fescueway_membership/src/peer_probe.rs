//! Pings, and pings through others before a suspicion.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use fescueway_core::{MonoTime, NodeId};
use rand_core::Rng;

use crate::{
    DownCause, MemberList, MemberStatus, MessageBody, PING_PERIOD, live_ring::pick_below,
    member_list::Step,
};

/// Time that a member has to answer before it is pinged again, and others are asked to ping it.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Time that a member has to answer before it is suspected.
const PROBE_TIME: Duration = Duration::from_secs(1);

/// Times that a member is pinged again.
const RETRIES: u8 = 3;

/// Members that are asked each time to ping one that didn't answer.
const RELAYS: usize = 3;

/// Pings for others that may wait for an answer at once.
const MAX_RELAYED: usize = 64;

/// One in this many periods a member held to be down is pinged, to find out that it lives.
const KNOCK_ONE_IN: usize = 8;

/// One in this many periods a seed is pinged, to find a fleet that was long cut off.
const SEED_ONE_IN: usize = 60;

/// The pings under way, and those made for others.
#[derive(Clone, Debug)]
pub struct PeerProbe {
    next_sequence: u32,
    /// At most one for each period of [`PROBE_TIME`].
    pending: Vec<PendingPing>,
    relayed: BTreeMap<u32, RelayedPing>,
}

#[derive(Clone, Debug)]
struct PendingPing {
    node: NodeId,
    sequence: u32,
    /// When it is sent again, `NEVER` once it was often enough.
    retry_at: MonoTime,
    retries_left: u8,
    /// When the member is suspected.
    ends_at: MonoTime,
}

impl PendingPing {
    /// Notes that it is sent again. Returns the member and the sequence.
    fn retry(&mut self, now: MonoTime) -> (NodeId, u32) {
        self.retries_left -= 1;
        self.retry_at = if self.retries_left > 0 {
            now + ANSWER_TIMEOUT
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

    /// Drops all that waits for an answer.
    pub fn forget(&mut self) {
        self.pending.clear();
        self.relayed.clear();
    }

    pub(crate) fn take_sequence(&mut self) -> u32 {
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.next_sequence
    }
}

impl MemberList {
    /// Suspects those who had no answer in time, and starts the next ping.
    pub(crate) fn start_probe(&mut self, step: &mut Step<'_, impl Rng>) {
        let now = step.now;
        let is_over = |ping: &mut PendingPing| ping.ends_at <= now;
        let silent: Vec<_> = self.probe.pending.extract_if(.., is_over).collect();
        for ping in silent {
            self.suspect(step, ping.node);
        }
        self.probe.relayed.retain(|_, ping| ping.expires_at > now);
        let own = self.settings.node;
        let table = &self.table;
        let is_live = |node| {
            let state = table.get(node);
            node != own && state.is_some_and(crate::MemberState::is_reachable)
        };
        let Some(node) = self.ring.next(step.random, is_live) else {
            return;
        };
        let sequence = self.probe.take_sequence();
        self.probe.pending.push(PendingPing {
            node,
            sequence,
            retry_at: now + ANSWER_TIMEOUT,
            retries_left: RETRIES,
            ends_at: now + PROBE_TIME,
        });
        self.send_to_node(step, node, MessageBody::Ping { sequence });
    }

    /// Now and then pings one that is held to be down, or a seed.
    pub(crate) fn knock(&mut self, step: &mut Step<'_, impl Rng>) {
        let sequence = self.probe.take_sequence();
        if pick_below(step.random, KNOCK_ONE_IN) == 0 {
            let place = step.random.next_u64();
            if let Some(node) = self.table.down_near(place) {
                self.send_to_node(step, node, MessageBody::Ping { sequence });
            }
        }
        if pick_below(step.random, SEED_ONE_IN) == 0 {
            self.ping_seed(step);
        }
    }

    /// Seeds that are no live members.
    fn unknown_seeds(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let own = self.settings.gossip_address;
        let seeds = self.settings.seeds.iter().copied();
        seeds.filter(move |seed| *seed != own && self.table.at_address(*seed).is_none())
    }

    /// Whether there is a seed that is no live member.
    pub(crate) fn has_unknown_seed(&self) -> bool {
        self.unknown_seeds().next().is_some()
    }

    /// Pings a random seed that is no live member.
    pub(crate) fn ping_seed(&mut self, step: &mut Step<'_, impl Rng>) {
        let unknown: Vec<_> = self.unknown_seeds().collect();
        if unknown.is_empty() {
            return;
        }
        let seed = unknown[pick_below(step.random, unknown.len())];
        let sequence = self.probe.take_sequence();
        self.send(step, seed, None, MessageBody::Ping { sequence });
    }

    /// Pings those who did not answer in time again, and asks others to do so.
    pub(crate) fn continue_probe(&mut self, step: &mut Step<'_, impl Rng>) {
        let now = step.now;
        let pending = self.probe.pending.iter_mut();
        let due = pending.filter(|ping| ping.retry_at <= now);
        let due: Vec<_> = due.map(|ping| ping.retry(now)).collect();
        for (node, sequence) in due {
            self.send_to_node(step, node, MessageBody::Ping { sequence });
            for _relay in 0..RELAYS {
                if let Some(relay) = self.pick_relay(step, node) {
                    self.send_to_node(step, relay, MessageBody::PingRequest { sequence, node });
                }
            }
        }
    }

    /// Pings a suspected member, which tells it of the suspicion. It answers with what refutes it.
    pub(crate) fn ask_suspect(&mut self, step: &mut Step<'_, impl Rng>, node: NodeId) {
        let sequence = self.probe.take_sequence();
        self.send_to_node(step, node, MessageBody::Ping { sequence });
    }

    pub(crate) fn on_ping(
        &mut self,
        step: &mut Step<'_, impl Rng>,
        address: SocketAddr,
        sender: NodeId,
        sequence: u32,
    ) {
        let node = self.settings.node;
        self.send(
            step,
            address,
            Some(sender),
            MessageBody::Ack { sequence, node },
        );
    }

    pub(crate) fn on_ping_request(
        &mut self,
        step: &mut Step<'_, impl Rng>,
        origin: SocketAddr,
        origin_sequence: u32,
        node: NodeId,
    ) {
        if self.probe.relayed.len() >= MAX_RELAYED {
            return;
        }
        let sequence = self.probe.take_sequence();
        let expires_at = step.now + PING_PERIOD;
        let relayed = RelayedPing {
            origin,
            origin_sequence,
            expires_at,
        };
        self.probe.relayed.insert(sequence, relayed);
        self.send_to_node(step, node, MessageBody::Ping { sequence });
    }

    pub(crate) fn on_ack(&mut self, step: &mut Step<'_, impl Rng>, sequence: u32, node: NodeId) {
        if let Some(relayed) = self.probe.relayed.remove(&sequence) {
            let body = MessageBody::Ack {
                sequence: relayed.origin_sequence,
                node,
            };
            self.send(step, relayed.origin, None, body);
            return;
        }
        if self.notice.on_ack(sequence) {
            return;
        }
        let mut pending = self.probe.pending.iter();
        let Some(place) = pending.position(|ping| ping.sequence == sequence) else {
            return;
        };
        let ping = self.probe.pending.swap_remove(place);
        if ping.node != node {
            self.declare(step, ping.node, MemberStatus::Down, DownCause::Replaced);
        }
    }

    fn suspect(&mut self, step: &mut Step<'_, impl Rng>, node: NodeId) {
        let state = self.table.get(node);
        if state.is_some_and(|state| state.status == MemberStatus::Alive) {
            self.counts.suspicions += 1;
            self.declare(step, node, MemberStatus::Suspect, DownCause::Silent);
        }
        // It is told itself, so that it can refute.
        self.send_to_node(step, node, MessageBody::Gossip);
    }

    /// A member to ping `node` through, of a third failure domain when one is found.
    fn pick_relay(&self, step: &mut Step<'_, impl Rng>, node: NodeId) -> Option<NodeId> {
        let own = self.settings.node;
        let domain_of = |node| {
            let state = self.table.get(node)?;
            state.record.as_ref().map(|record| &record.domain)
        };
        let silent_domain = domain_of(node);
        let is_other = |relay: NodeId| {
            let state = self.table.get(relay);
            let is_alive = state.is_some_and(|state| state.status == MemberStatus::Alive);
            is_alive && relay != own && relay != node
        };
        let is_third = |relay: NodeId| {
            let domain = domain_of(relay);
            let is_third = domain != Some(&self.settings.domain) && domain != silent_domain;
            is_other(relay) && is_third
        };
        let third = self.ring.pick(step.random, is_third);
        third.or_else(|| self.ring.pick(step.random, is_other))
    }
}
