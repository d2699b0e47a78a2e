//! Sending: news is pushed at once, and rides on whatever else is sent.

use std::{net::SocketAddr, time::Duration};

use fescueway_core::{MonoTime, NodeId};
use rand_core::Rng;

use crate::{
    Datagram, MAX_DATAGRAM_BYTES, MemberAction, MemberList, MemberState, MemberStatus, MessageBody,
    Rumor, datagram_codec::encoded_len, member_list::Step,
};

/// Wait for more news before a push.
const GATHER_TIME: Duration = Duration::from_millis(20);

/// Time between the pushes of one piece of news.
const PUSH_PAUSE: Duration = Duration::from_millis(250);

/// Least time between two pushes.
const PUSH_GAP: Duration = Duration::from_millis(100);

/// Pushes of one piece of news by each node that learns it.
const PUSH_ROUNDS: u8 = 3;

/// Members that one push goes to.
const PUSH_FANOUT: usize = 3;

/// Budget below which news waits for the next ping, in bytes.
const PUSH_RESERVE: usize = 1_000;

/// Budget that is kept for fresh news, in bytes.
const FRESH_RESERVE: usize = 12_000;

/// Bytes of a datagram besides its bincode body, and the longest count of rumors.
const FRAME_BYTES: usize = 20;

/// Rumors that may be too long for what is left before the search for one that fits ends.
const MAX_MISFITS: usize = 8;

/// Pushes of news that are still to be made.
#[derive(Clone, Debug)]
pub struct GossipPush {
    rounds_left: u8,
    next_at: MonoTime,
    /// When the next push may be made at the earliest.
    open_at: MonoTime,
}

impl Default for GossipPush {
    fn default() -> Self {
        Self {
            rounds_left: 0,
            next_at: MonoTime::NEVER,
            open_at: MonoTime::ZERO,
        }
    }
}

impl GossipPush {
    pub fn schedule(&mut self, now: MonoTime) {
        self.rounds_left = PUSH_ROUNDS;
        self.next_at = self.next_at.min(self.open_at.max(now + GATHER_TIME));
    }

    pub const fn next_wake(&self) -> MonoTime {
        self.next_at
    }
}

impl MemberList {
    pub(crate) fn continue_push(&mut self, step: &mut Step<'_, impl Rng>) {
        if self.push.next_at > step.now {
            return;
        }
        self.push.next_at = MonoTime::NEVER;
        self.push.open_at = step.now + PUSH_GAP;
        if self.budget.available(step.now) < PUSH_RESERVE {
            return;
        }
        self.push.rounds_left = self.push.rounds_left.saturating_sub(1);
        if self.push.rounds_left > 0 {
            self.push.next_at = step.now + PUSH_PAUSE;
        }
        for _push in 0..PUSH_FANOUT {
            if let Some(node) = self.pick_live(step) {
                self.send_to_node(step, node, MessageBody::Gossip);
            }
        }
    }

    /// A random live member other than this node.
    pub(crate) fn pick_live(&self, step: &mut Step<'_, impl Rng>) -> Option<NodeId> {
        let is_live = |node| {
            let state = self.table.get(node);
            state.is_some_and(MemberState::is_reachable)
        };
        self.ring.pick(step.random, is_live)
    }

    pub(crate) fn send_to_node(
        &mut self,
        step: &mut Step<'_, impl Rng>,
        node: NodeId,
        body: MessageBody,
    ) {
        let state = self.table.get(node);
        if let Some(record) = state.and_then(|state| state.record.as_ref()) {
            let address = record.gossip_address;
            self.send(step, address, Some(node), body);
        }
    }

    /// Sends a message with as much news as fits into it and into the budget.
    pub(crate) fn send(
        &mut self,
        step: &mut Step<'_, impl Rng>,
        address: SocketAddr,
        node: Option<NodeId>,
        body: MessageBody,
    ) {
        let mut datagram = self.datagram(body);
        let taken = FRAME_BYTES + encoded_len(&datagram);
        let room = MAX_DATAGRAM_BYTES.saturating_sub(taken);
        let available = self.budget.available(step.now);
        let is_plenty = available >= FRESH_RESERVE;
        datagram.rumors = self.pick_rumors(node, room.min(available), is_plenty);
        self.send_datagram(step, address, &datagram);
    }

    /// Sends a message with these rumors, charged to the budget.
    pub(crate) fn send_datagram(
        &mut self,
        step: &mut Step<'_, impl Rng>,
        address: SocketAddr,
        datagram: &Datagram,
    ) {
        let Some(length) = self.send_outside_budget(step, address, datagram) else {
            return;
        };
        let rumor_bytes: usize = datagram.rumors.iter().map(encoded_len).sum();
        match datagram.body {
            MessageBody::Digests(_)
            | MessageBody::Page { .. }
            | MessageBody::Pull { .. }
            | MessageBody::Stamps { .. }
            | MessageBody::Want(_) => self.repair_budget.charge(length),
            MessageBody::Gossip => self.budget.charge(length),
            MessageBody::Ack { .. }
            | MessageBody::Note(_)
            | MessageBody::Ping { .. }
            | MessageBody::PingRequest { .. } => self.budget.charge(rumor_bytes),
        }
    }

    /// Sends a message that is charged to no budget. Returns its length in bytes.
    pub(crate) fn send_outside_budget(
        &mut self,
        step: &mut Step<'_, impl Rng>,
        address: SocketAddr,
        datagram: &Datagram,
    ) -> Option<usize> {
        let bytes = self.codec.encode(datagram).ok()?;
        let length = bytes.len();
        self.counts.on_sent(length);
        step.actions.push(MemberAction::Send { to: address, bytes });
        Some(length)
    }

    /// A message without rumors.
    pub(crate) fn datagram(&self, body: MessageBody) -> Datagram {
        Datagram {
            from: self.settings.node,
            live_count: self.table.live_count() as u32,
            mark: self.mark,
            body,
            rumors: Vec::new(),
        }
    }

    /// What a stranger needs to answer, or a member to refute what is wrongly held of it.
    fn first_rumor(&self, node: Option<NodeId>) -> Option<Rumor> {
        let receiver = node.and_then(|node| Some((node, self.table.get(node)?)));
        match receiver {
            Some((node, state)) if state.record.is_some() => {
                let is_doubted = state.status != MemberStatus::Alive;
                is_doubted.then(|| state.rumor(node, false))
            }
            _ => {
                let own = self.settings.node;
                self.table.get(own).map(|state| state.rumor(own, true))
            }
        }
    }

    /// Rumors for a datagram to `node`: first what is wrongly held of itself, then what was sent least.
    fn pick_rumors(
        &mut self,
        node: Option<NodeId>,
        mut room: usize,
        is_plenty: bool,
    ) -> Vec<Rumor> {
        let mut rumors = Vec::new();
        if let Some(rumor) = self.first_rumor(node) {
            room = room.saturating_sub(encoded_len(&rumor));
            rumors.push(rumor);
        }
        let mut sent = Vec::new();
        let mut misfits = 0;
        let due = self
            .queue
            .iter()
            .take_while(|place| is_plenty || place.is_fresh());
        for place in due {
            let Some(state) = self.table.get(place.node) else {
                continue;
            };
            let rumor = state.rumor(place.node, place.has_record);
            let length = encoded_len(&rumor);
            if length > room {
                misfits += 1;
                if misfits > MAX_MISFITS {
                    break;
                }
                continue;
            }
            room -= length;
            rumors.push(rumor);
            sent.push(place);
        }
        for place in sent {
            self.queue.on_sent(place);
        }
        rumors
    }
}
