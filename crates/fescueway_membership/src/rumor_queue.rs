//! Which news rides on the next datagram.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fescueway_core::{MonoTime, NodeId};

/// Times that each node passes a rumor on. The share of nodes that a rumor misses falls with the
/// exponential of it, whatever the size of the fleet; comparing views repairs the rest.
const SENDS: u32 = 14;

/// Age at which a rumor is no longer passed on; by then it has reached nearly all nodes.
const LONGEST_AGE: Duration = Duration::from_secs(15);

/// Sends after which a rumor no longer draws on the last half of the budget, which is kept for
/// fresh news.
const FRESH_SENDS: u32 = 4;

/// News that waits to be passed on; what was sent least goes first.
#[derive(Clone, Debug, Default)]
pub struct RumorQueue {
    order: BTreeSet<QueuePlace>,
    /// Same places as in `order`.
    places: BTreeMap<NodeId, QueuePlace>,
    next_arrival: u64,
}

/// A place in the queue. The derived order is the order of sending.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueuePlace {
    /// Times that it was sent.
    sent: u32,
    /// Counts down, so that the newest of equals goes first.
    arrival: u64,
    /// The member that the news is of.
    pub node: NodeId,
    /// Whether the member's record is part of the news.
    pub has_record: bool,
    /// When it came.
    came_at: MonoTime,
}

impl QueuePlace {
    /// Whether it was sent only a few times yet.
    pub const fn is_fresh(&self) -> bool {
        self.sent < FRESH_SENDS
    }
}

impl RumorQueue {
    /// Puts news of `node` in front, in place of older news of it.
    pub fn push(&mut self, now: MonoTime, node: NodeId, has_record: bool) {
        let is_record_due = self.remove(node);
        self.next_arrival += 1;
        let place = QueuePlace {
            sent: 0,
            arrival: u64::MAX - self.next_arrival,
            node,
            has_record: has_record || is_record_due,
            came_at: now,
        };
        self.insert(place);
    }

    /// The places in the order of sending.
    pub fn iter(&self) -> impl Iterator<Item = QueuePlace> + '_ {
        self.order.iter().copied()
    }

    /// Forgets news that is known by now.
    pub fn forget_old(&mut self, now: MonoTime) {
        let is_old = |place: &QueuePlace| now.since(place.came_at) >= LONGEST_AGE;
        let old: Vec<_> = self
            .order
            .iter()
            .filter(|place| is_old(place))
            .copied()
            .collect();
        for place in old {
            self.remove(place.node);
        }
    }

    /// Notes that `place` was sent.
    pub fn on_sent(&mut self, place: QueuePlace) {
        self.remove(place.node);
        if place.sent + 1 < SENDS {
            self.insert(QueuePlace {
                sent: place.sent + 1,
                ..place
            });
        }
    }

    /// Forgets news of `node`. Returns whether the record was part of it.
    pub fn remove(&mut self, node: NodeId) -> bool {
        self.places.remove(&node).is_some_and(|place| {
            self.order.remove(&place);
            place.has_record
        })
    }

    fn insert(&mut self, place: QueuePlace) {
        self.order.insert(place);
        self.places.insert(place.node, place);
    }
}
