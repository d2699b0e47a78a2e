//! Reliable delivery of this node's record to selected members: it is sent until they acknowledge
//! it.

use std::{collections::BTreeMap, time::Duration};

use fescueway_core::{MonoTime, NodeId};
use rand_core::Rng;

use crate::{MemberList, MessageBody, member_list::EventContext};

/// Most members that receive the record directly; the others learn it only by gossip.
const MAX_RECIPIENTS: usize = 1_024;

/// Datagrams sent at once, few enough to fit into the socket's buffer.
const BATCH_DATAGRAMS: usize = 128;

/// Time between two batches.
const BATCH_INTERVAL: Duration = Duration::from_millis(10);

/// Time without an ack after which the record is sent again.
const ACK_TIMEOUT: Duration = Duration::from_millis(150);

/// Times that the record is sent to a member. At 20% loss fewer than one in a million members
/// misses all of them.
const MAX_ATTEMPTS: u8 = 10;

/// Members that have not yet acknowledged this node's record.
#[derive(Clone, Debug)]
pub struct RecordDelivery {
    /// Keyed by the sequence of the ping that carries the record.
    pending: BTreeMap<u32, PendingMember>,
    /// When the next batch is due; `NEVER` if nothing is pending.
    next_at: MonoTime,
}

#[derive(Clone, Debug)]
struct PendingMember {
    node: NodeId,
    attempts: u8,
    due_at: MonoTime,
}

impl Default for RecordDelivery {
    fn default() -> Self {
        Self {
            pending: BTreeMap::new(),
            next_at: MonoTime::NEVER,
        }
    }
}

impl RecordDelivery {
    pub const fn next_wake(&self) -> MonoTime {
        self.next_at
    }

    pub fn is_done(&self) -> bool {
        self.pending.is_empty()
    }

    /// Handles an ack. Returns whether it belongs to a record delivery.
    pub fn on_ack(&mut self, sequence: u32) -> bool {
        self.pending.remove(&sequence).is_some()
    }

    /// Drops the members without attempts left and returns the next batch of recipients.
    fn take_due(&mut self, now: MonoTime) -> Vec<(u32, NodeId)> {
        let is_exhausted =
            |member: &PendingMember| member.attempts >= MAX_ATTEMPTS && member.due_at <= now;
        self.pending.retain(|_, member| !is_exhausted(member));
        let due = self.pending.iter_mut();
        let due = due.filter(|(_, member)| member.due_at <= now);
        let batch: Vec<_> = due
            .take(BATCH_DATAGRAMS)
            .map(|(sequence, member)| {
                member.attempts += 1;
                member.due_at = now + ACK_TIMEOUT;
                (*sequence, member.node)
            })
            .collect();
        let next = self.pending.values().map(|member| member.due_at).min();
        let next = next.unwrap_or(MonoTime::NEVER);
        self.next_at = next.max(now + BATCH_INTERVAL);
        batch
    }
}

impl MemberList {
    /// Starts delivering this node's record to these members. Each delivery has a new sequence, so
    /// that an ack of an older record doesn't count for this one.
    pub(crate) fn start_record_delivery(
        &mut self,
        context: &mut EventContext<'_, impl Rng>,
        nodes: &[NodeId],
    ) {
        let own = self.settings.node;
        self.record_delivery.pending.clear();
        for node in nodes
            .iter()
            .filter(|node| **node != own)
            .take(MAX_RECIPIENTS)
        {
            let sequence = self.probe.take_sequence();
            let member = PendingMember {
                node: *node,
                attempts: 0,
                due_at: context.now,
            };
            self.record_delivery.pending.insert(sequence, member);
        }
        self.record_delivery.next_at = context.now;
        self.continue_record_delivery(context);
    }

    pub(crate) fn continue_record_delivery(&mut self, context: &mut EventContext<'_, impl Rng>) {
        if self.record_delivery.next_at > context.now {
            return;
        }
        let own = self.settings.node;
        let own_rumor = self.table.get(own).map(|state| state.rumor(own, true));
        for (sequence, node) in self.record_delivery.take_due(context.now) {
            let state = self.table.get(node);
            let record = state.and_then(|state| state.record.as_ref());
            let Some(address) = record.map(|record| record.gossip_address) else {
                self.record_delivery.pending.remove(&sequence);
                continue;
            };
            let mut datagram = self.datagram(MessageBody::Ping { sequence });
            datagram.rumors = own_rumor.iter().cloned().collect();
            self.send_outside_budget(context, address, &datagram);
        }
    }
}
