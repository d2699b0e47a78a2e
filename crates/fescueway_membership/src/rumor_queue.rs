//! The order in which rumors are piggybacked on datagrams.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fescueway_core::{MonoTime, NodeId};

/// Times that each node sends a rumor. The share of nodes that a rumor misses falls exponentially
/// with this number, whatever the size of the fleet; anti-entropy repairs the rest.
const MAX_SENDS: u32 = 14;

/// Age at which a rumor is no longer sent; by then it has reached nearly all nodes.
const MAX_AGE: Duration = Duration::from_secs(15);

/// Number of sends after which a rumor may no longer use the second half of the budget, which is
/// reserved for fresh rumors.
const FRESH_MAX_SENDS: u32 = 4;

/// Rumors to be sent, those sent least often first.
#[derive(Clone, Debug, Default)]
pub struct RumorQueue {
    order: BTreeSet<QueueEntry>,
    /// The entries of `order` by member.
    entries: BTreeMap<NodeId, QueueEntry>,
    next_arrival: u64,
}

/// An entry of the queue. The derived order is the order of sending.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueueEntry {
    /// Times that the rumor was sent.
    send_count: u32,
    /// Decreases with each arrival, so that of entries sent equally often the newest goes first.
    arrival: u64,
    /// The member that the rumor is about.
    pub node: NodeId,
    /// Whether the rumor includes the member's record.
    pub has_record: bool,
    /// When the rumor was queued.
    queued_at: MonoTime,
}

impl QueueEntry {
    /// Whether the rumor was sent only a few times so far.
    pub const fn is_fresh(&self) -> bool {
        self.send_count < FRESH_MAX_SENDS
    }
}

impl RumorQueue {
    /// Queues a rumor about `node` at the front, in place of an older one.
    pub fn push(&mut self, now: MonoTime, node: NodeId, has_record: bool) {
        let is_record_pending = self.remove(node);
        self.next_arrival += 1;
        let entry = QueueEntry {
            send_count: 0,
            arrival: u64::MAX - self.next_arrival,
            node,
            has_record: has_record || is_record_pending,
            queued_at: now,
        };
        self.insert(entry);
    }

    /// The entries in the order of sending.
    pub fn iter(&self) -> impl Iterator<Item = QueueEntry> + '_ {
        self.order.iter().copied()
    }

    /// Removes rumors that are old enough to be known everywhere.
    pub fn remove_expired(&mut self, now: MonoTime) {
        let is_expired = |entry: &QueueEntry| now.since(entry.queued_at) >= MAX_AGE;
        let expired: Vec<_> = self
            .order
            .iter()
            .filter(|entry| is_expired(entry))
            .copied()
            .collect();
        for entry in expired {
            self.remove(entry.node);
        }
    }

    /// Counts a send of `entry`.
    pub fn on_sent(&mut self, entry: QueueEntry) {
        self.remove(entry.node);
        if entry.send_count + 1 < MAX_SENDS {
            self.insert(QueueEntry {
                send_count: entry.send_count + 1,
                ..entry
            });
        }
    }

    /// Removes the rumor about `node`. Returns whether it included the record.
    pub fn remove(&mut self, node: NodeId) -> bool {
        self.entries.remove(&node).is_some_and(|entry| {
            self.order.remove(&entry);
            entry.has_record
        })
    }

    fn insert(&mut self, entry: QueueEntry) {
        self.order.insert(entry);
        self.entries.insert(entry.node, entry);
    }
}
