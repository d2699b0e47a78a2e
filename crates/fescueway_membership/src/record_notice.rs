//! Telling some members of this node's record directly, until they acknowledge it.

use std::{collections::BTreeMap, time::Duration};

use fescueway_core::{MonoTime, NodeId};
use rand_core::Rng;

use crate::{MemberList, MessageBody, member_list::Step};

/// Members that are told directly; the others hear it by gossip only.
const MAX_TOLD: usize = 1_024;

/// Datagrams that are sent at once, so that they fit into the socket's buffer.
const TOLD_AT_ONCE: usize = 128;

/// Pause before the next part is sent.
const PART_PAUSE: Duration = Duration::from_millis(10);

/// Time that a member has to acknowledge before it is told again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// Times that a member is told. At 20% loss fewer than one in a million misses all of them.
const TRIES: u8 = 10;

/// Members that have not yet acknowledged this node's record.
#[derive(Clone, Debug)]
pub struct RecordNotice {
    /// By the sequence of the ping that carries the record.
    waiting: BTreeMap<u32, WaitingMember>,
    /// When something is due, `NEVER` when nothing is.
    next_at: MonoTime,
}

#[derive(Clone, Debug)]
struct WaitingMember {
    node: NodeId,
    tries: u8,
    due_at: MonoTime,
}

impl Default for RecordNotice {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            next_at: MonoTime::NEVER,
        }
    }
}

impl RecordNotice {
    pub const fn next_wake(&self) -> MonoTime {
        self.next_at
    }

    pub fn is_done(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Notes an acknowledgement. Returns whether it was one of a notice.
    pub fn on_ack(&mut self, sequence: u32) -> bool {
        self.waiting.remove(&sequence).is_some()
    }

    /// Drops those who were told often enough, and returns the next part of those to tell.
    fn take_due(&mut self, now: MonoTime) -> Vec<(u32, NodeId)> {
        let is_over = |member: &WaitingMember| member.tries >= TRIES && member.due_at <= now;
        self.waiting.retain(|_, member| !is_over(member));
        let due = self.waiting.iter_mut();
        let due = due.filter(|(_, member)| member.due_at <= now);
        let part: Vec<_> = due
            .take(TOLD_AT_ONCE)
            .map(|(sequence, member)| {
                member.tries += 1;
                member.due_at = now + ANSWER_TIMEOUT;
                (*sequence, member.node)
            })
            .collect();
        let next = self.waiting.values().map(|member| member.due_at).min();
        let next = next.unwrap_or(MonoTime::NEVER);
        self.next_at = next.max(now + PART_PAUSE);
        part
    }
}

impl MemberList {
    /// Tells these members of this node's record from now on. Each has a sequence of its own, so
    /// that an acknowledgement of an older record is not taken for one of this.
    pub(crate) fn start_notice(&mut self, step: &mut Step<'_, impl Rng>, nodes: &[NodeId]) {
        let own = self.settings.node;
        self.notice.waiting.clear();
        for node in nodes.iter().filter(|node| **node != own).take(MAX_TOLD) {
            let sequence = self.probe.take_sequence();
            let member = WaitingMember {
                node: *node,
                tries: 0,
                due_at: step.now,
            };
            self.notice.waiting.insert(sequence, member);
        }
        self.notice.next_at = step.now;
        self.continue_notice(step);
    }

    pub(crate) fn continue_notice(&mut self, step: &mut Step<'_, impl Rng>) {
        if self.notice.next_at > step.now {
            return;
        }
        let own = self.settings.node;
        let news = self.table.get(own).map(|state| state.rumor(own, true));
        for (sequence, node) in self.notice.take_due(step.now) {
            let state = self.table.get(node);
            let record = state.and_then(|state| state.record.as_ref());
            let Some(address) = record.map(|record| record.gossip_address) else {
                self.notice.waiting.remove(&sequence);
                continue;
            };
            let mut datagram = self.datagram(MessageBody::Ping { sequence });
            datagram.rumors = news.iter().cloned().collect();
            self.send_outside_budget(step, address, &datagram);
        }
    }
}
