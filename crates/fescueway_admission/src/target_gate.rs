//! Admission gate of one target.

mod draining;
mod evacuation;
mod statements;
mod waiting;
mod warmup;

use std::time::Duration;

use fescueway_core::{LoadReport, MonoTime, Refusal, RefusalReason, RequestTerms, ServerLoad};

use crate::{
    GatePlan,
    concurrency_limit::ConcurrencyLimit,
    notice_tracker::NoticeTracker,
    service_estimate::ServiceEstimate,
    slow_start::SlowStart,
    start_pacer::StartPacer,
    wait_queue::WaitQueue,
    warmup_pacer::WarmupPacer,
    work_pace::{Disturbance, PACE_VALIDITY},
};

/// Interval between trial requests to a straggler or a failing target, which are otherwise refused.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest retry delay given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Longest retry delay given to a refused caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Identifies one offer at one gate.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TicketId(pub u64);

/// Decision of the gate on an offer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GateResult {
    /// Run the request now, and call [`TargetGate::finish`] when it ends.
    Run,
    /// Keep the request waiting until a [`GateAction`] runs or refuses it.
    Wait,
    /// The request did not run and will not run here.
    Refuse(Refusal),
}

/// Action to take on a waiting offer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GateAction {
    /// Run the request now.
    Run(TicketId),
    /// Refuse the request.
    Refuse(TicketId, Refusal),
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The backend server answered.
    Answered,
    /// The backend server answered with a failure.
    Failed,
    /// The connection to the backend server was lost or could not be opened.
    Lost,
    /// The caller cancelled the request or disconnected.
    Cancelled,
    /// The slot was released before any byte was sent.
    Released,
}

/// Decisions that a gate made since its target was announced.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GateCounts {
    /// Requests that the gate started.
    pub starts: u64,
    /// Offers that it refused because the backend server's rate limit was reached.
    pub rate_limited: u64,
    /// Offers that it refused because the warm-up rate of a cold backend server was reached.
    pub cold_limited: u64,
    /// Offers that it refused because the failure domain is evacuated.
    pub evacuated: u64,
}

/// Admission gate of one target: decides which offers run now, which wait and which are refused.
///
/// ```
/// # use std::time::Duration;
/// # use fescueway_admission::{GatePlan, GateResult, RunEnd, TargetGate, TicketId};
/// # use fescueway_core::{MonoTime, RequestTerms};
/// let plan = GatePlan { ramp_time: Duration::ZERO, ..GatePlan::default() };
/// let mut gate = TargetGate::new(plan, MonoTime::ZERO);
/// let terms = RequestTerms::new("windows".into(), Duration::from_millis(300));
/// assert_eq!(gate.offer(MonoTime::ZERO, TicketId(1), &terms), GateResult::Run);
/// let later = MonoTime::from_micros(20_000);
/// assert!(gate.finish(later, TicketId(1), RunEnd::Answered).is_empty());
/// assert!(gate.is_idle());
/// ```
///
/// Invariant: a request only starts while fewer than the current limit are running, and the limit
/// is never above the announced slots.
#[derive(Debug)]
pub struct TargetGate {
    /// Settings of the gate.
    plan: GatePlan,
    /// Running requests and estimated service times.
    service: ServiceEstimate,
    /// Adaptive limit on running requests.
    limit: ConcurrencyLimit,
    /// Slow-start ramp of the target.
    slow_start: SlowStart,
    /// Waiting offers.
    queue: WaitQueue,
    /// Time of the last [`TargetGate::tick`].
    last_tick: MonoTime,
    /// Earliest time of the next trial request while the target is a straggler or failing.
    next_trial: MonoTime,
    /// Whether a drain was requested.
    is_draining: bool,
    /// What the backend server states about itself.
    notices: NoticeTracker,
    /// Spaces the starts as the backend server's rate limit demands.
    pacer: StartPacer,
    /// Spaces the starts while the backend server is cold.
    warmup: WarmupPacer,
    /// Whether the failure domain is evacuated.
    is_evacuated: bool,
    /// Decisions so far.
    counts: GateCounts,
}

impl TargetGate {
    /// Creates the gate of a target that starts at `now`, which begins the slow start.
    #[must_use]
    pub fn new(plan: GatePlan, now: MonoTime) -> Self {
        Self {
            service: ServiceEstimate::new(plan.slots),
            limit: ConcurrencyLimit::new(plan.max_running()),
            slow_start: SlowStart::new(now, plan.ramp_time),
            queue: WaitQueue::default(),
            last_tick: MonoTime::ZERO,
            next_trial: MonoTime::ZERO,
            is_draining: false,
            notices: NoticeTracker::default(),
            pacer: StartPacer::default(),
            warmup: WarmupPacer::new(now, plan.warmup),
            is_evacuated: false,
            counts: GateCounts::default(),
            plan,
        }
    }

    /// Decides on an offer.
    pub fn offer(&mut self, now: MonoTime, ticket: TicketId, terms: &RequestTerms) -> GateResult {
        if self.is_draining() {
            return GateResult::Refuse(Self::draining_refusal());
        }
        if self.is_evacuated {
            self.counts.evacuated += 1;
            return GateResult::Refuse(Self::evacuation_refusal());
        }
        self.warmup.update(now);
        if let Some(objective) = terms.objective {
            self.service.assume_kind(terms.work_kind, objective);
        }
        if self.is_better_elsewhere(now, terms) && !self.take_trial(now) {
            let wait = Duration::from_micros(self.service.straggler_us(now) as u64);
            return GateResult::Refuse(Self::refusal(RefusalReason::BetterElsewhere, wait));
        }
        if self.can_start(now) && self.service.pace_mut().await_report_if_stale(now) {
            return self.enqueue(now, ticket, terms, Disturbance::default());
        }
        let disturbance = self.service.disturbance(now, terms.work_kind);
        let cost = Duration::from_micros(disturbance.cost_us as u64);
        if cost > terms.wait_limit && terms.wait_limit < terms.time_left {
            return GateResult::Refuse(Self::refusal(RefusalReason::BetterElsewhere, cost));
        }
        // An offer that waits although a slot is free is delayed until the end of a disturbance.
        if self.can_start(now) && !disturbance.is_delayed {
            return self.start(now, ticket, terms);
        }
        self.enqueue(now, ticket, terms, disturbance)
    }

    /// Records the end of a run and releases its slot. Call this exactly once for each run.
    pub fn finish(&mut self, now: MonoTime, ticket: TicketId, end: RunEnd) -> Vec<GateAction> {
        let Some(ended) = self.service.stop(now, ticket) else {
            return Vec::new();
        };
        match end {
            RunEnd::Answered => self.service.learn(ended, false),
            RunEnd::Failed => self.service.learn(ended, true),
            RunEnd::Lost => {
                self.service.learn(ended, true);
                // The backend server may have been restarted.
                self.warmup.doubt(now);
            }
            RunEnd::Cancelled | RunEnd::Released => {}
        }
        self.limit.learn(self.service.slowdown());
        self.fill_slots(now)
    }

    /// Removes a waiting offer that was cancelled. Ignores unknown tickets.
    pub fn withdraw(&mut self, now: MonoTime, ticket: TicketId) -> Vec<GateAction> {
        self.queue.remove(ticket);
        self.fill_slots(now)
    }

    /// Advances the time: refuses waiting offers that can no longer finish in time and starts those
    /// that are no longer delayed.
    pub fn tick(&mut self, now: MonoTime) -> Vec<GateAction> {
        self.last_tick = now;
        self.fill_slots(now)
    }

    /// When [`TargetGate::tick`] is due next, `None` while nothing waits.
    #[must_use]
    pub fn next_wake(&self) -> Option<MonoTime> {
        let deadline = self.queue.next_deadline()?;
        let margin_us = self.start_margin().as_micros() as u64;
        let wake = MonoTime::from_micros(deadline.as_micros().saturating_sub(margin_us));
        let pace = self.service.pace_ref();
        let candidates = [
            self.service.next_stall(),
            pace.last_report()
                .map(|(_, reported)| reported + PACE_VALIDITY),
            pace.report_deadline(),
            self.pacer.next_start(),
            self.warmup.next_start(),
            self.warmup.cold_end(),
        ];
        let candidates = candidates.into_iter().flatten();
        let earliest = candidates.filter(|time| *time > self.last_tick).min();
        Some(earliest.map_or(wake, |earliest| wake.min(earliest)))
    }

    /// When to query the backend server for its load, `None` while no offer waits for a report and
    /// no limit may have ended and it is known whether the backend server is cold.
    #[must_use]
    pub fn next_load_query(&self, now: MonoTime) -> Option<MonoTime> {
        let is_awaited = self.queue.len() > 0 && self.can_start(now);
        let pace_query = is_awaited.then(|| self.service.pace_ref().next_load_query());
        let limit_query = self.notices.next_query();
        let warmup_query = self.warmup.next_query(now);
        let queries = pace_query.flatten().into_iter().chain(limit_query);
        queries.chain(warmup_query).min()
    }

    /// Records that a load query begins.
    pub fn begin_load_query(&mut self, now: MonoTime) {
        self.notices.begin_query(now);
        self.warmup.begin_query(now);
    }

    /// Records a load report of the backend server.
    pub fn learn_load(&mut self, now: MonoTime, load: &ServerLoad) -> Vec<GateAction> {
        if let Some(permille) = load.work_permille {
            self.service.record_pace(now, f64::from(permille) / 1_000.0);
        }
        self.fill_slots(now)
    }

    /// Changes the largest share of the slots to use.
    pub fn set_slot_share(&mut self, slot_share: f64) {
        self.plan.slot_share = slot_share;
        self.limit.set_slots(self.plan.max_running());
    }

    /// Changes the length of the wait queue per slot. Offers that wait already are kept, even when
    /// the new queue is shorter.
    pub fn set_queue_per_slot(&mut self, queue_per_slot: f64) {
        self.plan.queue_per_slot = queue_per_slot;
    }

    /// Decisions since the target was announced.
    #[must_use]
    pub fn counts(&self) -> GateCounts {
        self.counts
    }

    /// Whether no request runs or waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.service.running_count() == 0 && self.queue.len() == 0
    }

    /// Load report for the entries.
    #[must_use]
    pub fn report(&self, now: MonoTime) -> LoadReport {
        let disturbance = self.service.disturbance(now, 0);
        let wait = self.expected_wait(now, self.queue.len(), disturbance);
        LoadReport {
            in_flight: self.service.running_count(),
            queued: self.queue.len() as u32,
            limit: self.current_limit(now),
            service_time_us: self.service.mean_us(now) as u32,
            wait_us: wait.as_micros() as u32,
            age_us: 0,
            failed_permille: self.service.failed_permille(),
            work_permille: self
                .service
                .current_pace(now)
                .map_or(0, |pace| (pace * 1_000.0) as u32),
            is_draining: self.is_draining(),
            offer_pause_us: self.offer_pause(now).as_micros() as u32,
            notice: self.notices.notice(),
        }
    }

    /// Pace that the backend server last reported and the time of the report. The pace is the
    /// duration of work as a multiple of its normal duration.
    #[must_use]
    pub fn last_pace(&self) -> Option<(f64, MonoTime)> {
        self.service.last_pace()
    }

    /// Whether the entry has a better target, because this one is a straggler or fails most of its
    /// requests.
    fn is_better_elsewhere(&self, now: MonoTime, terms: &RequestTerms) -> bool {
        if terms.wait_limit >= terms.time_left {
            return false;
        }
        let straggler_us = self.service.straggler_us(now);
        self.service.is_failing() || straggler_us > terms.wait_limit.as_micros() as f64
    }

    /// Whether to run a request on a straggler or failing target as a trial, to detect its
    /// recovery. Trials run one at a time, at most one per [`TRIAL_INTERVAL`].
    fn take_trial(&mut self, now: MonoTime) -> bool {
        let is_due = self.service.running_count() == 0 && now >= self.next_trial;
        if is_due {
            self.next_trial = now + TRIAL_INTERVAL;
        }
        is_due
    }

    /// Starts a request, which then holds a slot.
    fn begin_run(&mut self, now: MonoTime, ticket: TicketId, work_kind: u64) {
        self.counts.starts += 1;
        self.pacer.record_start(now);
        self.warmup.record_start(now);
        self.service.start(now, ticket, work_kind);
    }

    /// Whether another request may start: a slot is free and no rate limit is reached.
    fn can_start(&self, now: MonoTime) -> bool {
        self.has_slot(now) && self.pacer.has_token(now) && self.warmup.has_token(now)
    }

    /// Whether a slot is free.
    fn has_slot(&self, now: MonoTime) -> bool {
        self.service.running_count() < self.current_limit(now)
    }

    /// Current limit on running requests.
    fn current_limit(&self, now: MonoTime) -> u32 {
        self.limit.limit(self.slow_start.share(now))
    }

    /// Number of offers that may wait at once.
    fn queue_capacity(plan: &GatePlan) -> usize {
        (f64::from(plan.slots) * plan.queue_per_slot).ceil() as usize
    }

    /// Refusal with a retry delay of twice the expected wait, from [`MIN_RETRY_AFTER`] to
    /// [`MAX_RETRY_AFTER`].
    fn refusal(reason: RefusalReason, wait: Duration) -> Refusal {
        Refusal {
            reason,
            retry_after: (wait * 2).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }
}
