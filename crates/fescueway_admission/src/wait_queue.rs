//! Queue of the offers that wait for a slot, ordered by urgency.

use std::time::Duration;

use fescueway_core::{MonoTime, Priority, RequestTerms};

use crate::TicketId;

/// Cap on the time to the deadline in the ranking, so that requests with distant deadlines don't
/// starve.
const DEADLINE_CAP: Duration = Duration::from_secs(1);

/// Time added to the rank of a normal-priority request.
const NORMAL_PENALTY: Duration = Duration::from_millis(250);

/// Time added to the rank of a low-priority request.
const LOW_PENALTY: Duration = Duration::from_secs(1);

/// One offer in the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedOffer {
    /// Identifies the offer.
    pub(crate) ticket: TicketId,
    /// Sort key: the lowest rank starts first.
    rank: MonoTime,
    /// Time at which its caller stops waiting.
    pub(crate) deadline: MonoTime,
    /// Time until which an answer meets the objective; `None` when no objective is set.
    pub(crate) objective_at: Option<MonoTime>,
    /// Longest wait that the entry accepts.
    pub(crate) wait_limit: Duration,
    /// Kind of work, by which service times are estimated.
    pub(crate) work_kind: u64,
}

/// Offers that wait for a slot, ordered by deadline plus a penalty per priority.
///
/// Invariant: sorted by descending `rank`. An offer waits at most [`DEADLINE_CAP`] plus
/// [`LOW_PENALTY`] longer than in a first-in, first-out queue, so none starves.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    /// The offers; the next to start is the last element.
    offers: Vec<QueuedOffer>,
}

impl QueuedOffer {
    /// Creates the queue entry of an offer that arrives at `now`.
    pub(crate) fn new(now: MonoTime, ticket: TicketId, terms: &RequestTerms) -> Self {
        let penalty = match terms.priority {
            Priority::High => Duration::ZERO,
            Priority::Normal => NORMAL_PENALTY,
            Priority::Low => LOW_PENALTY,
        };
        Self {
            ticket,
            rank: now + terms.time_left.min(DEADLINE_CAP) + penalty,
            deadline: now + terms.time_left,
            objective_at: terms.objective.map(|left| now + left),
            wait_limit: terms.wait_limit,
            work_kind: terms.work_kind,
        }
    }
}

impl WaitQueue {
    /// Number of waiting offers.
    pub(crate) fn len(&self) -> usize {
        self.offers.len()
    }

    /// Number of waiting offers that would start before `offer` and for which `is_counted` holds.
    pub(crate) fn count_ahead(
        &self,
        offer: &QueuedOffer,
        is_counted: impl Fn(&QueuedOffer) -> bool,
    ) -> usize {
        let ahead = &self.offers[self.index_of(offer)..];
        ahead.iter().filter(|other| is_counted(other)).count()
    }

    /// Number of waiting offers for which `is_counted` holds.
    pub(crate) fn count(&self, is_counted: impl Fn(&QueuedOffer) -> bool) -> usize {
        self.offers.iter().filter(|other| is_counted(other)).count()
    }

    /// Inserts an offer after those of the same rank.
    pub(crate) fn push(&mut self, offer: QueuedOffer) {
        let index = self.index_of(&offer);
        self.offers.insert(index, offer);
    }

    /// Removes and returns the first offer.
    pub(crate) fn pop(&mut self) -> Option<QueuedOffer> {
        self.offers.pop()
    }

    /// Removes and returns the first offer for which `can_start` holds.
    pub(crate) fn pop_where(
        &mut self,
        can_start: impl Fn(&QueuedOffer) -> bool,
    ) -> Option<QueuedOffer> {
        let index = self.offers.iter().rposition(can_start)?;
        Some(self.offers.remove(index))
    }

    /// Removes an offer. Returns whether it was in the queue.
    pub(crate) fn remove(&mut self, ticket: TicketId) -> bool {
        let found = self.offers.iter().position(|offer| offer.ticket == ticket);
        found.map(|index| self.offers.remove(index)).is_some()
    }

    /// Removes and returns the offers whose deadline is at `limit` or before.
    pub(crate) fn expire(&mut self, limit: MonoTime) -> impl Iterator<Item = QueuedOffer> {
        self.offers
            .extract_if(.., move |offer| offer.deadline <= limit)
    }

    /// Removes and returns the offers for which `is_released` holds.
    pub(crate) fn release(
        &mut self,
        is_released: impl Fn(&QueuedOffer) -> bool,
    ) -> impl Iterator<Item = QueuedOffer> {
        self.offers.extract_if(.., move |offer| is_released(offer))
    }

    /// Earliest deadline of the waiting offers.
    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        self.offers.iter().map(|offer| offer.deadline).min()
    }

    /// Insert position of `offer`: after all of its rank, so at a lower index.
    fn index_of(&self, offer: &QueuedOffer) -> usize {
        self.offers.partition_point(|other| other.rank > offer.rank)
    }
}
