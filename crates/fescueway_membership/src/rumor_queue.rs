//! Which news rides on the next datagram.

use std::collections::{BTreeMap, BTreeSet};

use fescueway_core::NodeId;

/// Times that a rumor is sent, for each doubling of the fleet.
const SENDS_PER_DOUBLING: u32 = 3;

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
}

impl RumorQueue {
    /// Puts news of `node` in front, in place of older news of it.
    pub fn push(&mut self, node: NodeId, has_record: bool) {
        let is_record_due = self.remove(node);
        self.next_arrival += 1;
        let place = QueuePlace {
            sent: 0,
            arrival: u64::MAX - self.next_arrival,
            node,
            has_record: has_record || is_record_due,
        };
        self.insert(place);
    }

    /// The places in the order of sending.
    pub fn iter(&self) -> impl Iterator<Item = QueuePlace> + '_ {
        self.order.iter().copied()
    }

    /// Notes that `place` was sent in a fleet of `live_count` members.
    pub fn on_sent(&mut self, place: QueuePlace, live_count: usize) {
        self.remove(place.node);
        let doublings = usize::BITS - live_count.leading_zeros();
        let limit = SENDS_PER_DOUBLING * doublings.max(1);
        if place.sent + 1 < limit {
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
