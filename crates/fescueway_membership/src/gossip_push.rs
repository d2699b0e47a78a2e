//! Sending: news is pushed at once, and rides on whatever else is sent.

use std::{net::SocketAddr, time::Duration};

use fescueway_core::{MonoTime, NodeId};
use rand_core::Rng;

use crate::{
    Datagram, MAX_DATAGRAM, MemberAction, MemberList, MemberState, MessageBody, Rumor,
    datagram_codec::encoded_len, member_list::Step,
};

/// Wait for more news before a push.
const GATHER_TIME: Duration = Duration::from_millis(20);

/// Time between the pushes of one piece of news.
const PUSH_PAUSE: Duration = Duration::from_millis(250);

/// Pushes of one piece of news by each node that learns it.
const PUSH_ROUNDS: u8 = 2;

/// Members that one push goes to.
const PUSH_FANOUT: usize = 3;

/// Budget below which news waits for the next ping, in bytes.
const PUSH_RESERVE: usize = 1_000;

/// Bytes of a datagram besides its bincode body, and the longest count of rumors.
const FRAME_BYTES: usize = 20;

/// Rumors that may be too long for what is left before the search for one that fits ends.
const MAX_MISFITS: usize = 8;

/// Pushes of news that are still to be made.
#[derive(Clone, Debug)]
pub struct GossipPush {
    rounds_left: u8,
    next_at: MonoTime,
}

impl Default for GossipPush {
    fn default() -> Self {
        Self {
            rounds_left: 0,
            next_at: MonoTime::NEVER,
        }
    }
}

impl GossipPush {
    pub fn schedule(&mut self, now: MonoTime) {
        self.rounds_left = PUSH_ROUNDS;
        self.next_at = self.next_at.min(now + GATHER_TIME);
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
        let room = MAX_DATAGRAM.saturating_sub(taken);
        let room = room.min(self.budget.available(step.now));
        datagram.rumors = self.pick_rumors(node, room);
        self.send_datagram(step, address, &datagram);
    }

    /// Sends a message with these rumors, charged to the budget.
    pub(crate) fn send_datagram(
        &mut self,
        step: &mut Step<'_, impl Rng>,
        address: SocketAddr,
        datagram: &Datagram,
    ) {
        let Ok(bytes) = self.codec.seal(datagram) else {
            return;
        };
        let is_paid = !matches!(
            datagram.body,
            MessageBody::Ping { .. } | MessageBody::Ack { .. }
        );
        let rumor_bytes = datagram.rumors.iter().map(encoded_len).sum();
        self.budget
            .charge(if is_paid { bytes.len() } else { rumor_bytes });
        self.counts.on_sent(bytes.len());
        step.actions.push(MemberAction::Send { to: address, bytes });
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

    /// Rumors for a datagram to `node`: first what is wrongly held of itself, then what was sent least.
    fn pick_rumors(&mut self, node: Option<NodeId>, mut room: usize) -> Vec<Rumor> {
        let mut rumors = Vec::new();
        let receiver = node.and_then(|node| Some((node, self.table.get(node)?)));
        if let Some((node, state)) = receiver
            && state.status != crate::MemberStatus::Alive
        {
            let rumor = state.rumor(node, false);
            room = room.saturating_sub(encoded_len(&rumor));
            rumors.push(rumor);
        }
        let mut sent = Vec::new();
        let mut misfits = 0;
        for place in self.queue.iter() {
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
        let live_count = self.table.live_count();
        for place in sent {
            self.queue.on_sent(place, live_count);
        }
        rumors
    }
}
