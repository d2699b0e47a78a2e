//! Sending: new rumors are pushed soon after they arrive, and piggybacked on all other messages.

use std::{net::SocketAddr, time::Duration};

use fescueway_core::{MonoTime, NodeId};
use rand_core::Rng;

use crate::{
    Datagram, MAX_DATAGRAM_BYTES, MemberAction, MemberList, MemberState, MemberStatus, MessageBody,
    Rumor, datagram_codec::encoded_len, member_list::EventContext,
};

/// Delay before a push, so that several rumors are sent together.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Time between repeated pushes.
const PUSH_REPEAT_DELAY: Duration = Duration::from_millis(250);

/// Shortest time between two pushes.
const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Number of pushes after a node learned a rumor.
const PUSH_ROUNDS: u8 = 3;

/// Members that receive each push.
const PUSH_FANOUT: usize = 3;

/// Budget below which rumors are not pushed but wait for the next ping, in bytes.
const MIN_PUSH_BUDGET_BYTES: usize = 1_000;

/// Budget reserved for fresh rumors, in bytes.
const FRESH_RESERVE_BYTES: usize = 12_000;

/// Size of a datagram's header and of the longest rumor count, in bytes.
const FRAME_BYTES: usize = 20;

/// Rumors too long for the remaining space that are skipped before the search ends.
const MAX_SKIPPED: usize = 8;

/// Schedule of the pushes.
#[derive(Clone, Debug)]
pub struct GossipPush {
    rounds_left: u8,
    /// Rounds left of those that carry a new mark. They are pushed whatever the budget: without
    /// rumors a datagram is short, and marks are rare.
    mark_rounds_left: u8,
    next_at: MonoTime,
    /// Earliest time of the next push.
    earliest_at: MonoTime,
}

impl Default for GossipPush {
    fn default() -> Self {
        Self {
            rounds_left: 0,
            mark_rounds_left: 0,
            next_at: MonoTime::NEVER,
            earliest_at: MonoTime::ZERO,
        }
    }
}

impl GossipPush {
    pub fn schedule(&mut self, now: MonoTime) {
        self.rounds_left = PUSH_ROUNDS;
        self.next_at = self.next_at.min(self.earliest_at.max(now + BATCH_DELAY));
    }

    /// Schedules the pushes of this node's new mark.
    pub fn schedule_mark(&mut self, now: MonoTime) {
        self.mark_rounds_left = PUSH_ROUNDS;
        self.schedule(now);
    }

    pub const fn next_wake(&self) -> MonoTime {
        self.next_at
    }
}

impl MemberList {
    pub(crate) fn continue_push(&mut self, context: &mut EventContext<'_, impl Rng>) {
        if self.push.next_at > context.now {
            return;
        }
        self.push.next_at = MonoTime::NEVER;
        self.push.earliest_at = context.now + MIN_PUSH_INTERVAL;
        let has_budget = self.gossip_budget.available(context.now) >= MIN_PUSH_BUDGET_BYTES;
        if !has_budget && self.push.mark_rounds_left == 0 {
            return;
        }
        self.push.mark_rounds_left = self.push.mark_rounds_left.saturating_sub(1);
        self.push.rounds_left = self.push.rounds_left.saturating_sub(1);
        if self.push.rounds_left > 0 {
            self.push.next_at = context.now + PUSH_REPEAT_DELAY;
        }
        for _push in 0..PUSH_FANOUT {
            if let Some(node) = self.pick_live(context) {
                self.send_to_node(context, node, MessageBody::Gossip);
            }
        }
    }

    /// A random live member other than this node.
    pub(crate) fn pick_live(&self, context: &mut EventContext<'_, impl Rng>) -> Option<NodeId> {
        let is_live = |node| {
            let state = self.table.get(node);
            state.is_some_and(MemberState::is_reachable)
        };
        self.probe_order.pick(context.random, is_live)
    }

    pub(crate) fn send_to_node(
        &mut self,
        context: &mut EventContext<'_, impl Rng>,
        node: NodeId,
        body: MessageBody,
    ) {
        let state = self.table.get(node);
        if let Some(record) = state.and_then(|state| state.record.as_ref()) {
            let address = record.gossip_address;
            self.send(context, address, Some(node), body);
        }
    }

    /// Sends a message with as many rumors as fit into the datagram and the budget.
    pub(crate) fn send(
        &mut self,
        context: &mut EventContext<'_, impl Rng>,
        address: SocketAddr,
        node: Option<NodeId>,
        body: MessageBody,
    ) {
        let mut datagram = self.datagram(body);
        let used = FRAME_BYTES + encoded_len(&datagram);
        let room = MAX_DATAGRAM_BYTES.saturating_sub(used);
        let available = self.gossip_budget.available(context.now);
        let has_ample_budget = available >= FRESH_RESERVE_BYTES;
        datagram.rumors = self.pick_rumors(node, room.min(available), has_ample_budget);
        self.send_datagram(context, address, &datagram);
    }

    /// Sends a datagram and charges it to the budget of its kind.
    pub(crate) fn send_datagram(
        &mut self,
        context: &mut EventContext<'_, impl Rng>,
        address: SocketAddr,
        datagram: &Datagram,
    ) {
        let Some(length) = self.send_outside_budget(context, address, datagram) else {
            return;
        };
        let rumor_bytes: usize = datagram.rumors.iter().map(encoded_len).sum();
        match datagram.body {
            MessageBody::Digests(_)
            | MessageBody::Page { .. }
            | MessageBody::Pull { .. }
            | MessageBody::Stamps { .. }
            | MessageBody::Want(_) => self.repair_budget.charge(length),
            MessageBody::Gossip => self.gossip_budget.charge(length),
            MessageBody::Ack { .. }
            | MessageBody::Note(_)
            | MessageBody::Ping { .. }
            | MessageBody::PingRequest { .. } => self.gossip_budget.charge(rumor_bytes),
        }
    }

    /// Sends a datagram without charging any budget. Returns its length in bytes.
    pub(crate) fn send_outside_budget(
        &mut self,
        context: &mut EventContext<'_, impl Rng>,
        address: SocketAddr,
        datagram: &Datagram,
    ) -> Option<usize> {
        let bytes = self.codec.encode(datagram).ok()?;
        let length = bytes.len();
        self.counts.on_sent(length);
        context
            .actions
            .push(MemberAction::Send { to: address, bytes });
        Some(length)
    }

    /// A datagram without rumors.
    pub(crate) fn datagram(&self, body: MessageBody) -> Datagram {
        Datagram {
            from: self.settings.node,
            live_count: self.table.live_count() as u32,
            mark: self.mark,
            body,
            rumors: Vec::new(),
        }
    }

    /// The rumor that goes first: this node's record if the receiver or its record is unknown, or
    /// the receiver's own state if it is suspected or down, so that it can refute that.
    fn first_rumor(&self, node: Option<NodeId>) -> Option<Rumor> {
        let receiver = node.and_then(|node| Some((node, self.table.get(node)?)));
        match receiver {
            Some((node, state)) if state.record.is_some() => {
                let is_suspected = state.status != MemberStatus::Alive;
                is_suspected.then(|| state.rumor(node, false))
            }
            _ => {
                let own = self.settings.node;
                self.table.get(own).map(|state| state.rumor(own, true))
            }
        }
    }

    /// Picks rumors for a datagram to `node`: the first rumor, then those sent least often.
    fn pick_rumors(
        &mut self,
        node: Option<NodeId>,
        mut room: usize,
        has_ample_budget: bool,
    ) -> Vec<Rumor> {
        let mut rumors = Vec::new();
        if let Some(rumor) = self.first_rumor(node) {
            room = room.saturating_sub(encoded_len(&rumor));
            rumors.push(rumor);
        }
        let mut sent = Vec::new();
        let mut skipped = 0;
        let due = self
            .queue
            .iter()
            .take_while(|entry| has_ample_budget || entry.is_fresh());
        for entry in due {
            let Some(state) = self.table.get(entry.node) else {
                continue;
            };
            let rumor = state.rumor(entry.node, entry.has_record);
            let length = encoded_len(&rumor);
            if length > room {
                skipped += 1;
                if skipped > MAX_SKIPPED {
                    break;
                }
                continue;
            }
            room -= length;
            rumors.push(rumor);
            sent.push(entry);
        }
        for entry in sent {
            self.queue.on_sent(entry);
        }
        rumors
    }
}
