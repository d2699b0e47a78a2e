//! The gate before one target.

mod waiting;

use std::time::Duration;

use fescueway_core::{LoadReport, MonoTime, Refusal, RefusalReason, RequestTerms, ServerLoad};

use crate::{
    GatePlan,
    concurrency_limit::ConcurrencyLimit,
    service_estimate::ServiceEstimate,
    slow_start::SlowStart,
    wait_queue::WaitQueue,
    work_pace::{Disturbance, PACE_LIFE},
};

/// Time between requests that a straggler or a failing target runs although others are better.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest time after which a refused caller is told to come back.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Longest time after which a refused caller is told to come back.
const MOST_RETRY_AFTER: Duration = Duration::from_secs(10);

/// When to come back to a target that drains.
const DRAIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// One offer at one gate.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TicketId(pub u64);

/// What the gate says to an offer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GateResult {
    /// Run it now. The caller of the gate ends it with [`TargetGate::finish`].
    Run,
    /// Hold it: a later [`GateAction`] runs or refuses it.
    Wait,
    /// It did not run and will not run here.
    Refuse(Refusal),
}

/// What the gate wants done with an offer that waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GateAction {
    /// Run it now.
    Run(TicketId),
    /// Refuse it.
    Refuse(TicketId, Refusal),
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The backend server answered.
    Answered,
    /// The backend server answered that it failed.
    Failed,
    /// The backend server went away or could not be reached.
    Lost,
    /// The caller went away.
    Cancelled,
    /// It was given back before any byte was sent.
    Released,
}

/// The gate before one target: it decides what runs now, what waits and what is refused.
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
/// Invariant: never more runs are open than the limit allowed when they began, and the limit is
/// never above the announced slots.
#[derive(Debug)]
pub struct TargetGate {
    /// Settings.
    plan: GatePlan,
    /// What runs and how long that takes.
    service: ServiceEstimate,
    /// How much may run at once.
    limit: ConcurrencyLimit,
    /// The ramp of the cold target.
    ramp: SlowStart,
    /// What waits.
    queue: WaitQueue,
    /// The last tick.
    ticked: MonoTime,
    /// When a straggler or a failing target may be tried next.
    next_trial: MonoTime,
    /// Whether the target is leaving.
    is_draining: bool,
}

impl TargetGate {
    /// A gate before a target that starts cold at `now`.
    #[must_use]
    pub fn new(plan: GatePlan, now: MonoTime) -> Self {
        let capacity = Self::queue_capacity(&plan);
        Self {
            service: ServiceEstimate::new(plan.slots),
            limit: ConcurrencyLimit::new(plan.most_running()),
            ramp: SlowStart::new(now, plan.ramp_time),
            queue: WaitQueue::new(capacity),
            ticked: MonoTime::ZERO,
            next_trial: MonoTime::ZERO,
            is_draining: false,
            plan,
        }
    }

    /// Decides on an offer.
    pub fn offer(&mut self, now: MonoTime, ticket: TicketId, terms: &RequestTerms) -> GateResult {
        if self.is_draining {
            return GateResult::Refuse(Self::draining());
        }
        if self.is_better_elsewhere(now, terms) && !self.take_trial(now) {
            let wait = Duration::from_micros(self.service.straggler_us(now) as u64);
            return GateResult::Refuse(Self::refusal(RefusalReason::BetterElsewhere, wait));
        }
        if self.has_slot(now) && self.service.work_pace().ask_if_old(now) {
            return self.enqueue(now, ticket, terms, Disturbance::default());
        }
        let disturbance = self.service.disturbance(now, terms.work_kind);
        let cost = Duration::from_micros(disturbance.cost_us as u64);
        if cost > terms.wait_limit && terms.wait_limit < terms.time_left {
            return GateResult::Refuse(Self::refusal(RefusalReason::BetterElsewhere, cost));
        }
        // What waits although a slot is free is held for the end of a disturbance.
        if self.has_slot(now) && !disturbance.is_held {
            return self.start(now, ticket, terms);
        }
        self.enqueue(now, ticket, terms, disturbance)
    }

    /// A run ended. Exactly one for each run.
    pub fn finish(&mut self, now: MonoTime, ticket: TicketId, end: RunEnd) -> Vec<GateAction> {
        let Some(ended) = self.service.stop(now, ticket) else {
            return Vec::new();
        };
        match end {
            RunEnd::Answered => self.service.learn(ended, false),
            RunEnd::Failed | RunEnd::Lost => self.service.learn(ended, true),
            RunEnd::Cancelled | RunEnd::Released => {}
        }
        self.limit.learn(self.service.slowdown());
        self.fill(now)
    }

    /// A waiting offer was withdrawn. Unknown tickets are passed over.
    pub fn withdraw(&mut self, now: MonoTime, ticket: TicketId) -> Vec<GateAction> {
        self.queue.remove(ticket);
        self.fill(now)
    }

    /// Time passed: refuses what waits and can no longer finish in time.
    pub fn tick(&mut self, now: MonoTime) -> Vec<GateAction> {
        self.ticked = now;
        self.fill(now)
    }

    /// When [`TargetGate::tick`] is due next, `None` while nothing waits.
    #[must_use]
    pub fn next_wake(&self) -> Option<MonoTime> {
        let deadline = self.queue.next_deadline()?;
        let margin_us = self.start_margin().as_micros() as u64;
        let wake = MonoTime::from_micros(deadline.as_micros().saturating_sub(margin_us));
        let pace = self.service.pace_view();
        let others = [
            self.service.stall_time(),
            pace.told().map(|(_, told)| told + PACE_LIFE),
            pace.patience_end(),
        ];
        let others = others.into_iter().flatten();
        let next = others.filter(|time| *time > self.ticked).min();
        Some(next.map_or(wake, |next| wake.min(next)))
    }

    /// When the backend server should be asked for its load, `None` while nothing waits for that.
    #[must_use]
    pub fn next_question(&self, now: MonoTime) -> Option<MonoTime> {
        if self.queue.len() == 0 || !self.has_slot(now) {
            return None;
        }
        self.service.pace_view().next_question()
    }

    /// From now on takes nothing new, refuses what waits, and lets finish what runs.
    pub fn drain(&mut self, _now: MonoTime) -> Vec<GateAction> {
        self.is_draining = true;
        let mut actions = Vec::with_capacity(self.queue.len());
        while let Some(offer) = self.queue.pop() {
            actions.push(GateAction::Refuse(offer.ticket, Self::draining()));
        }
        actions
    }

    /// Takes work again after a drain.
    pub fn undrain(&mut self, _now: MonoTime) {
        self.is_draining = false;
    }

    /// The backend server reports its load.
    pub fn learn_load(&mut self, now: MonoTime, load: &ServerLoad) -> Vec<GateAction> {
        if let Some(permille) = load.work_permille {
            self.service.set_pace(now, f64::from(permille) / 1_000.0);
        }
        self.fill(now)
    }

    /// From now on uses at most this share of the slots.
    pub fn set_slot_share(&mut self, slot_share: f64) {
        self.plan.slot_share = slot_share;
        self.limit.set_slots(self.plan.most_running());
    }

    /// From now on lets this many requests wait for each slot. What waits already stays, also when
    /// fewer may wait now.
    pub fn set_queue_per_slot(&mut self, queue_per_slot: f64) {
        self.plan.queue_per_slot = queue_per_slot;
    }

    /// Whether nothing runs and nothing waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.service.open_count() == 0 && self.queue.len() == 0
    }

    /// The load to report to entries.
    #[must_use]
    pub fn report(&self, now: MonoTime) -> LoadReport {
        let disturbance = self.service.disturbance(now, 0);
        let wait = self.expected_wait(now, self.queue.len(), disturbance);
        LoadReport {
            in_flight: self.service.open_count(),
            queued: self.queue.len() as u32,
            limit: self.current_limit(now),
            service_time_us: self.service.mean_us(now) as u32,
            wait_us: wait.as_micros() as u32,
            age_us: 0,
            failed_permille: self.service.failed_permille(),
            work_permille: self
                .service
                .pace(now)
                .map_or(0, |pace| (pace * 1_000.0) as u32),
            is_draining: self.is_draining,
        }
    }

    /// The pace of work that the backend server last told, as a multiple of the usual time, and when.
    #[must_use]
    pub fn told_pace(&self) -> Option<(f64, MonoTime)> {
        self.service.told_pace()
    }

    /// Whether the entry knows a better target than this one, which is a straggler or fails most
    /// of what it runs.
    fn is_better_elsewhere(&self, now: MonoTime, terms: &RequestTerms) -> bool {
        if terms.wait_limit >= terms.time_left {
            return false;
        }
        let straggler_us = self.service.straggler_us(now);
        self.service.is_failing() || straggler_us > terms.wait_limit.as_micros() as f64
    }

    /// Whether such a target should run a request all the same, so that the end of the trouble is
    /// seen: one at a time, and not often.
    fn take_trial(&mut self, now: MonoTime) -> bool {
        let is_due = self.service.open_count() == 0 && now >= self.next_trial;
        if is_due {
            self.next_trial = now + TRIAL_INTERVAL;
        }
        is_due
    }

    /// Whether another request may run.
    fn has_slot(&self, now: MonoTime) -> bool {
        self.service.open_count() < self.current_limit(now)
    }

    /// Requests that may run at once now.
    fn current_limit(&self, now: MonoTime) -> u32 {
        self.limit.limit(self.ramp.share(now))
    }

    /// Offers that may wait at once.
    fn queue_capacity(plan: &GatePlan) -> usize {
        (f64::from(plan.slots) * plan.queue_per_slot).ceil() as usize
    }

    /// A refusal by a target that leaves.
    fn draining() -> Refusal {
        Refusal {
            reason: RefusalReason::Draining,
            retry_after: DRAIN_RETRY_AFTER,
        }
    }

    /// A refusal, with the time after which the wait should be over.
    fn refusal(reason: RefusalReason, wait: Duration) -> Refusal {
        Refusal {
            reason,
            retry_after: (wait * 2).clamp(LEAST_RETRY_AFTER, MOST_RETRY_AFTER),
        }
    }
}
