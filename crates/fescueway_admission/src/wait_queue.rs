//! Offers that wait for a slot, the most urgent first.

use std::time::Duration;

use fescueway_core::{MonoTime, Priority, RequestTerms};

use crate::TicketId;

/// A deadline further ahead counts as this far, so that no request starves behind nearer ones.
const DEADLINE_CAP: Duration = Duration::from_secs(1);

/// How much later than it is a normal request's deadline counts.
const NORMAL_HANDICAP: Duration = Duration::from_millis(250);

/// How much later than it is a low-priority request's deadline counts.
const LOW_HANDICAP: Duration = Duration::from_secs(1);

/// One offer that waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedOffer {
    /// The offer.
    pub(crate) ticket: TicketId,
    /// Its place: the lowest goes first.
    rank: MonoTime,
    /// When its caller stops waiting.
    pub(crate) deadline: MonoTime,
    /// Until when an answer is in time; `None` when no objective is set.
    pub(crate) due: Option<MonoTime>,
    /// The longest wait that its entry accepts.
    pub(crate) wait_limit: Duration,
    /// Its kind of work.
    pub(crate) work_kind: u64,
}

/// Offers that wait for a slot, ordered by deadline with a handicap for each priority.
///
/// Invariant: sorted by `rank`, the first last. An offer waits at most [`DEADLINE_CAP`] and
/// [`LOW_HANDICAP`] longer than if the queue were in order of arrival, so none starves.
#[derive(Debug)]
pub(crate) struct WaitQueue {
    /// The offers, the first one to go at the end.
    offers: Vec<QueuedOffer>,
}

impl QueuedOffer {
    /// The place of an offer that arrives at `now`.
    pub(crate) fn new(now: MonoTime, ticket: TicketId, terms: &RequestTerms) -> Self {
        let handicap = match terms.priority {
            Priority::High => Duration::ZERO,
            Priority::Normal => NORMAL_HANDICAP,
            Priority::Low => LOW_HANDICAP,
        };
        Self {
            ticket,
            rank: now + terms.time_left.min(DEADLINE_CAP) + handicap,
            deadline: now + terms.time_left,
            due: terms.objective.map(|left| now + left),
            wait_limit: terms.wait_limit,
            work_kind: terms.work_kind,
        }
    }
}

impl WaitQueue {
    /// An empty queue with room for `capacity` offers.
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            offers: Vec::with_capacity(capacity),
        }
    }

    /// Offers that wait.
    pub(crate) fn len(&self) -> usize {
        self.offers.len()
    }

    /// How many offers that `counts` tells of would go before this one.
    pub(crate) fn count_ahead(
        &self,
        offer: &QueuedOffer,
        counts: impl Fn(&QueuedOffer) -> bool,
    ) -> usize {
        let ahead = &self.offers[self.index_of(offer)..];
        ahead.iter().filter(|other| counts(other)).count()
    }

    /// How many offers `counts` tells of.
    pub(crate) fn count(&self, counts: impl Fn(&QueuedOffer) -> bool) -> usize {
        self.offers.iter().filter(|other| counts(other)).count()
    }

    /// Adds an offer behind those of the same rank.
    pub(crate) fn push(&mut self, offer: QueuedOffer) {
        let index = self.index_of(&offer);
        self.offers.insert(index, offer);
    }

    /// Takes the first offer.
    pub(crate) fn pop(&mut self) -> Option<QueuedOffer> {
        self.offers.pop()
    }

    /// Takes the first offer that may go.
    pub(crate) fn pop_where(
        &mut self,
        may_go: impl Fn(&QueuedOffer) -> bool,
    ) -> Option<QueuedOffer> {
        let index = self.offers.iter().rposition(may_go)?;
        Some(self.offers.remove(index))
    }

    /// Takes out one offer. Whether it was there.
    pub(crate) fn remove(&mut self, ticket: TicketId) -> bool {
        let found = self.offers.iter().position(|offer| offer.ticket == ticket);
        found.map(|index| self.offers.remove(index)).is_some()
    }

    /// Takes out every offer whose deadline is at `limit` or before.
    pub(crate) fn expire(&mut self, limit: MonoTime) -> impl Iterator<Item = QueuedOffer> {
        self.offers
            .extract_if(.., move |offer| offer.deadline <= limit)
    }

    /// Takes out every offer that `is_released` tells of.
    pub(crate) fn release(
        &mut self,
        is_released: impl Fn(&QueuedOffer) -> bool,
    ) -> impl Iterator<Item = QueuedOffer> {
        self.offers.extract_if(.., move |offer| is_released(offer))
    }

    /// The nearest deadline.
    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        self.offers.iter().map(|offer| offer.deadline).min()
    }

    /// Where `offer` belongs: behind all of its rank, so in front of them in the vector.
    fn index_of(&self, offer: &QueuedOffer) -> usize {
        self.offers.partition_point(|other| other.rank > offer.rank)
    }
}
