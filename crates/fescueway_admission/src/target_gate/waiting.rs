//! The wait queue of a gate: admission to it, order of starts, and late refusals.

use std::time::Duration;

use fescueway_core::{MonoTime, RefusalReason, RequestTerms};

use super::{GateAction, GateResult, TargetGate, TicketId};
use crate::{service_estimate::ServiceEstimate, wait_queue::QueuedOffer, work_pace::Disturbance};

/// Time needed between the expected start of a waiting offer and its deadline, in mean service
/// times. With less, the offer is refused at once, because it would too often miss the deadline.
const WAIT_MARGIN: f64 = 2.0;

/// As [`WAIT_MARGIN`], for a kind of work whose service times are known: they vary less than those
/// of all requests together.
const KNOWN_WAIT_MARGIN: f64 = 1.25;

/// Time needed before the deadline to start a request at all, as a share of the mean service
/// time.
const START_MARGIN: f64 = 0.5;

/// Offers per slot that may wait although they are expected to miss their objective.
const LATE_PER_SLOT: f64 = 0.3;

impl TargetGate {
    /// Starts an offer in a free slot, unless its deadline is too near.
    pub(super) fn start(
        &mut self,
        now: MonoTime,
        ticket: TicketId,
        terms: &RequestTerms,
    ) -> GateResult {
        let default_us = self.start_margin().as_micros() as f64;
        let known_service_us = self.known_service_us(now, terms);
        let margin_us = known_service_us.map_or(default_us, |kind_us| START_MARGIN * kind_us);
        if (terms.time_left.as_micros() as f64) <= margin_us {
            let refusal = Self::refusal(RefusalReason::DeadlineTooShort, Duration::ZERO);
            return GateResult::Refuse(refusal);
        }
        self.begin_run(now, ticket, terms.work_kind);
        GateResult::Run
    }

    /// Queues an offer, or refuses it if it would wait too long.
    ///
    /// An offer that is expected to miss its objective is queued only while all waiting offers are:
    /// otherwise those that can still meet theirs would overtake it until its deadline.
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
        if wait + self.wait_margin(now, terms) > terms.time_left {
            let reason = self.wait_reason(now, wait, RefusalReason::DeadlineTooShort);
            return self.refuse(reason, wait);
        }
        let is_full = if will_be_late {
            late_count < self.queue.len() || late_count >= self.late_capacity()
        } else {
            self.queue.len() >= Self::queue_capacity(&self.plan)
        };
        if is_full || wait > terms.wait_limit {
            let reason = self.wait_reason(now, wait, RefusalReason::QueueFull);
            return self.refuse(reason, wait);
        }
        self.queue.push(offer);
        GateResult::Wait
    }

    /// Refuses offers that are too late and starts waiting ones in the free slots.
    pub(super) fn fill_slots(&mut self, now: MonoTime) -> Vec<GateAction> {
        self.warmup.update(now);
        let refusal = Self::refusal(RefusalReason::DeadlineTooShort, Duration::ZERO);
        let expired = self.queue.expire(now + self.start_margin());
        let mut actions: Vec<_> = expired
            .map(|offer| GateAction::Refuse(offer.ticket, refusal))
            .collect();
        if self.queue.len() == 0 {
            return actions;
        }
        if self.can_start(now) && self.service.pace_mut().await_report_if_stale(now) {
            return actions;
        }
        self.refuse_better_elsewhere(now, &mut actions);
        while self.can_start(now)
            && let Some(offer) = self.next_offer(now)
        {
            self.begin_run(now, offer.ticket, offer.work_kind);
            actions.push(GateAction::Run(offer.ticket));
        }
        self.refuse_late(now, &mut actions);
        actions
    }

    /// Time before its deadline from which a request is too late to start.
    pub(super) fn start_margin(&self) -> Duration {
        Duration::from_micros((START_MARGIN * self.service.recent_mean_us()) as u64)
    }

    /// Expected wait of an offer with `offers_ahead` others before it, under `disturbance`.
    pub(super) fn expected_wait(
        &self,
        now: MonoTime,
        offers_ahead: usize,
        disturbance: Disturbance,
    ) -> Duration {
        let limit = self.current_limit(now);
        let free = limit.saturating_sub(self.service.running_count());
        let ahead = (offers_ahead as f64 + 1.0 - f64::from(free)).max(0.0);
        let (delay_us, pace) = if disturbance.is_delayed {
            (disturbance.cost_us, 1.0)
        } else {
            (0.0, self.service.current_pace(now).unwrap_or(1.0))
        };
        let queue_us = ahead * self.service.mean_us(now) * pace / f64::from(limit);
        let slot_wait = Duration::from_micros(delay_us.max(queue_us) as u64);
        slot_wait.max(self.pace_wait(now, offers_ahead))
    }

    /// The reason for a refusal after an expected wait of `wait`: the rate limit or the cold time if it
    /// causes that wait, else `reason`.
    fn wait_reason(&self, now: MonoTime, wait: Duration, reason: RefusalReason) -> RefusalReason {
        let ahead = self.queue.len();
        let limit_wait = self.pacer.wait(now, ahead);
        let cold_wait = self.warmup.wait(now, ahead);
        if !self.warmup.has_token(now) && cold_wait >= wait.max(limit_wait) {
            RefusalReason::TargetCold
        } else if !self.pacer.has_token(now) && limit_wait >= wait {
            RefusalReason::RateLimited
        } else {
            reason
        }
    }

    /// Refuses an offer after an expected wait of `wait`.
    fn refuse(&mut self, reason: RefusalReason, wait: Duration) -> GateResult {
        match reason {
            RefusalReason::RateLimited => {
                self.counts.rate_limited += 1;
                self.pacer.record_refusal();
            }
            RefusalReason::TargetCold => {
                self.counts.cold_limited += 1;
                self.warmup.record_refusal();
            }
            _ => {}
        }
        GateResult::Refuse(Self::refusal(reason, wait))
    }

    /// Refuses waiting offers that their entry can place better, because requests now take longer
    /// here.
    fn refuse_better_elsewhere(&mut self, now: MonoTime, actions: &mut Vec<GateAction>) {
        let service = &self.service;
        let straggler_us = service.straggler_us(now);
        let added_wait = |offer: &QueuedOffer| {
            let disturbance = service.disturbance(now, offer.work_kind);
            Duration::from_micros(straggler_us.max(disturbance.cost_us) as u64)
        };
        let released = self
            .queue
            .release(|offer| offer.wait_limit < added_wait(offer));
        actions.extend(released.map(|offer| {
            let refusal = Self::refusal(RefusalReason::BetterElsewhere, added_wait(&offer));
            GateAction::Refuse(offer.ticket, refusal)
        }));
    }

    /// Refuses offers that will miss their objective while others wait that can still meet theirs.
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

    /// Removes the next offer to start from the queue. Those that can still meet their objective
    /// come first.
    fn next_offer(&mut self, now: MonoTime) -> Option<QueuedOffer> {
        let service = &self.service;
        let can_start = |offer: &QueuedOffer| !service.disturbance(now, offer.work_kind).is_delayed;
        let can_start_in_time =
            |offer: &QueuedOffer| can_start(offer) && !is_late(service, now, offer);
        let timely = self.queue.pop_where(can_start_in_time);
        timely.or_else(|| self.queue.pop_where(can_start))
    }

    /// Time that a waiting offer needs between the expected end of its wait and its deadline.
    fn wait_margin(&self, now: MonoTime, terms: &RequestTerms) -> Duration {
        let margin_us = match self.known_service_us(now, terms) {
            Some(kind_us) => KNOWN_WAIT_MARGIN * kind_us,
            None => WAIT_MARGIN * self.service.expected_run_us(now, terms.work_kind),
        };
        Duration::from_micros(margin_us as u64)
    }

    /// Expected service time of a request in microseconds, `None` if none of its kind ended here.
    fn known_service_us(&self, now: MonoTime, terms: &RequestTerms) -> Option<f64> {
        let is_known = self.service.has_kind(terms.work_kind);
        is_known.then(|| self.service.expected_run_us(now, terms.work_kind))
    }

    /// Number of offers that may wait although they are expected to miss their objective.
    fn late_capacity(&self) -> usize {
        (f64::from(self.plan.slots) * LATE_PER_SLOT).ceil() as usize
    }
}

/// Whether an offer is expected to miss its objective if it starts now.
fn is_late(service: &ServiceEstimate, now: MonoTime, offer: &QueuedOffer) -> bool {
    will_be_late(service, now, offer, Duration::ZERO)
}

/// Whether an offer is expected to miss its objective if it starts after `wait`.
fn will_be_late(
    service: &ServiceEstimate,
    now: MonoTime,
    offer: &QueuedOffer,
    wait: Duration,
) -> bool {
    let run_time = Duration::from_micros(service.expected_run_us(now, offer.work_kind) as u64);
    offer
        .objective_at
        .is_some_and(|objective_at| now + wait + run_time > objective_at)
}
