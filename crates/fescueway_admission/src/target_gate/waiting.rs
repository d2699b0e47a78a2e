//! What waits at a gate: who may, who goes first, and who is sent away again.

use std::time::Duration;

use fescueway_core::{MonoTime, RefusalReason, RequestTerms};

use super::{GateAction, GateResult, TargetGate, TicketId};
use crate::{service_estimate::ServiceEstimate, wait_queue::QueuedOffer, work_pace::Disturbance};

/// An offer that would begin later than this many mean service times before its deadline is
/// refused at once: it would too often end after it.
const QUEUE_MARGIN: f64 = 2.0;

/// The same for a kind of request whose own service times are known: they vary less than those of all
/// requests together.
const KNOWN_QUEUE_MARGIN: f64 = 1.25;

/// An offer that could begin at once is refused when its deadline is nearer than this share of
/// the mean service time.
const START_MARGIN: f64 = 0.5;

/// Offers that may wait for each slot although they will miss their objective.
const LATE_PER_SLOT: f64 = 0.3;

impl TargetGate {
    /// Gives a free slot to an offer, unless its time is nearly over.
    pub(super) fn start(
        &mut self,
        now: MonoTime,
        ticket: TicketId,
        terms: &RequestTerms,
    ) -> GateResult {
        let usual_us = self.start_margin().as_micros() as f64;
        let known_us = self.known_us(now, terms);
        let margin_us = known_us.map_or(usual_us, |own_us| START_MARGIN * own_us);
        if (terms.time_left.as_micros() as f64) <= margin_us {
            let refusal = Self::refusal(RefusalReason::DeadlineTooShort, Duration::ZERO);
            return GateResult::Refuse(refusal);
        }
        self.service.start(now, ticket, terms.work_kind);
        GateResult::Run
    }

    /// Lets an offer wait, unless a refusal serves its caller better.
    ///
    /// What will miss its objective waits only while all that waits will: it would be overtaken
    /// until its caller leaves.
    pub(super) fn enqueue(
        &mut self,
        now: MonoTime,
        ticket: TicketId,
        terms: &RequestTerms,
        disturbance: Disturbance,
    ) -> GateResult {
        let offer = QueuedOffer::new(now, ticket, terms);
        let is_late = |other: &QueuedOffer| is_late(&self.service, now, other);
        let late_count = self.queue.count(is_late);
        let ahead = self.queue.count_ahead(&offer, |other| !is_late(other));
        let mut wait = self.expected_wait(now, ahead, disturbance);
        let will_be_late = will_be_late(&self.service, now, &offer, wait);
        if will_be_late {
            let ahead = self.queue.count_ahead(&offer, |_| true);
            wait = self.expected_wait(now, ahead, disturbance);
        }
        if wait + self.queue_margin(now, terms) > terms.time_left {
            return GateResult::Refuse(Self::refusal(RefusalReason::DeadlineTooShort, wait));
        }
        let is_full = if will_be_late {
            late_count < self.queue.len() || late_count >= self.late_capacity()
        } else {
            self.queue.len() >= Self::queue_capacity(&self.plan)
        };
        if is_full || wait > terms.wait_limit {
            return GateResult::Refuse(Self::refusal(RefusalReason::QueueFull, wait));
        }
        self.queue.push(offer);
        GateResult::Wait
    }

    /// Refuses what is too late and gives free slots to what waits.
    pub(super) fn fill(&mut self, now: MonoTime) -> Vec<GateAction> {
        let refusal = Self::refusal(RefusalReason::DeadlineTooShort, Duration::ZERO);
        let expired = self.queue.expire(now + self.start_margin());
        let mut actions: Vec<_> = expired
            .map(|offer| GateAction::Refuse(offer.ticket, refusal))
            .collect();
        if self.queue.len() == 0 {
            return actions;
        }
        if self.has_slot(now) && self.service.work_pace().ask_if_old(now) {
            return actions;
        }
        self.release_slow(now, &mut actions);
        while self.has_slot(now)
            && let Some(offer) = self.next_offer(now)
        {
            self.service.start(now, offer.ticket, offer.work_kind);
            actions.push(GateAction::Run(offer.ticket));
        }
        self.refuse_late(now, &mut actions);
        actions
    }

    /// Time before a deadline at which a request that hasn't begun is too late.
    pub(super) fn start_margin(&self) -> Duration {
        Duration::from_micros((START_MARGIN * self.service.recent_us()) as u64)
    }

    /// Expected wait of an offer with `ahead` others before it that `disturbance` meets.
    pub(super) fn expected_wait(
        &self,
        now: MonoTime,
        ahead: usize,
        disturbance: Disturbance,
    ) -> Duration {
        let limit = self.current_limit(now);
        let free = limit.saturating_sub(self.service.open_count());
        let ahead = (ahead as f64 + 1.0 - f64::from(free)).max(0.0);
        let (held_us, pace) = if disturbance.is_held {
            (disturbance.cost_us, 1.0)
        } else {
            (0.0, self.service.pace(now).unwrap_or(1.0))
        };
        let queue_us = ahead * self.service.mean_us(now) * pace / f64::from(limit);
        Duration::from_micros(held_us.max(queue_us) as u64)
    }

    /// Gives back what its entry can place better, since work takes longer here now.
    fn release_slow(&mut self, now: MonoTime, actions: &mut Vec<GateAction>) {
        let service = &self.service;
        let straggler_us = service.straggler_us(now);
        let slower = |offer: &QueuedOffer| {
            let disturbance = service.disturbance(now, offer.work_kind);
            Duration::from_micros(straggler_us.max(disturbance.cost_us) as u64)
        };
        let released = self.queue.release(|offer| offer.wait_limit < slower(offer));
        actions.extend(released.map(|offer| {
            let refusal = Self::refusal(RefusalReason::BetterElsewhere, slower(&offer));
            GateAction::Refuse(offer.ticket, refusal)
        }));
    }

    /// Refuses what will miss its objective while others wait that can still be in time.
    fn refuse_late(&mut self, now: MonoTime, actions: &mut Vec<GateAction>) {
        let wait = self.expected_wait(now, self.queue.len(), Disturbance::default());
        let is_late = |offer: &QueuedOffer| is_late(&self.service, now, offer);
        if self.queue.count(is_late) == self.queue.len() {
            return;
        }
        let refusal = Self::refusal(RefusalReason::QueueFull, wait);
        let late = self.queue.release(is_late);
        actions.extend(late.map(|offer| GateAction::Refuse(offer.ticket, refusal)));
    }

    /// Takes the offer that begins next out of the queue: what can still be in time goes first.
    fn next_offer(&mut self, now: MonoTime) -> Option<QueuedOffer> {
        let service = &self.service;
        let may_go = |offer: &QueuedOffer| !service.disturbance(now, offer.work_kind).is_held;
        let may_be_timely = |offer: &QueuedOffer| may_go(offer) && !is_late(service, now, offer);
        let timely = self.queue.pop_where(may_be_timely);
        timely.or_else(|| self.queue.pop_where(may_go))
    }

    /// Time that an offer which waits needs between the expected end of its wait and its deadline.
    fn queue_margin(&self, now: MonoTime, terms: &RequestTerms) -> Duration {
        let margin_us = match self.known_us(now, terms) {
            Some(own_us) => KNOWN_QUEUE_MARGIN * own_us,
            None => QUEUE_MARGIN * self.service.expected_us(now, terms.work_kind),
        };
        Duration::from_micros(margin_us as u64)
    }

    /// Expected time of a request in microseconds, when requests of its kind ended here before.
    fn known_us(&self, now: MonoTime, terms: &RequestTerms) -> Option<f64> {
        let is_known = self.service.knows(terms.work_kind);
        is_known.then(|| self.service.expected_us(now, terms.work_kind))
    }

    /// Offers that may wait at once although they will miss their objective.
    fn late_capacity(&self) -> usize {
        (f64::from(self.plan.slots) * LATE_PER_SLOT).ceil() as usize
    }
}

/// Whether an offer would miss its objective if it began now.
fn is_late(service: &ServiceEstimate, now: MonoTime, offer: &QueuedOffer) -> bool {
    will_be_late(service, now, offer, Duration::ZERO)
}

/// Whether an offer would miss its objective if it began after this wait, by what is known now.
fn will_be_late(
    service: &ServiceEstimate,
    now: MonoTime,
    offer: &QueuedOffer,
    wait: Duration,
) -> bool {
    let run = Duration::from_micros(service.run_us(now, offer.work_kind) as u64);
    offer.due.is_some_and(|due| now + wait + run > due)
}
