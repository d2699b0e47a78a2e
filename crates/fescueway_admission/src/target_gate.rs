//! The gate before one target.

use std::time::Duration;

use fescueway_core::{
    LoadReport, MonoTime, Priority, Refusal, RefusalReason, ReportedLoad, RequestTerms,
};

use crate::{
    GatePlan,
    concurrency_limit::ConcurrencyLimit,
    service_estimate::ServiceEstimate,
    slow_start::SlowStart,
    wait_queue::{QueuedOffer, WaitQueue},
    work_pace::{Disturbance, PACE_LIFE},
};

/// An offer that would begin later than this many mean service times before its deadline is
/// refused at once: it would too often end after it.
const QUEUE_MARGIN: f64 = 2.0;

/// The same for a kind of request whose own service times are known: they vary less than those of all
/// requests together.
const KNOWN_QUEUE_MARGIN: f64 = 1.25;

/// An offer that could begin at once is refused when its deadline is nearer than this share of
/// the mean service time.
const START_MARGIN: f64 = 0.5;

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
        let disturbance = self.service.disturbance(now, terms.work_kind);
        let cost = Duration::from_micros(disturbance.cost_us as u64);
        if cost > terms.wait_limit && terms.wait_limit < terms.time_left {
            return GateResult::Refuse(Self::refusal(RefusalReason::BetterElsewhere, cost));
        }
        // What waits although a slot is free is held for the end of a disturbance.
        if self.has_slot(now) && !disturbance.is_held {
            return self.start(now, ticket, terms);
        }
        let offer = QueuedOffer::new(now, ticket, terms);
        let wait_us = self.wait_us(now, self.queue.count_ahead(&offer), disturbance);
        let wait = Duration::from_micros(wait_us as u64);
        if wait_us + self.queue_margin_us(now, terms) > latest_end_us(terms) {
            return GateResult::Refuse(Self::refusal(RefusalReason::DeadlineTooShort, wait));
        }
        let is_full = self.queue.len() >= Self::queue_capacity(&self.plan);
        if is_full || wait > terms.wait_limit {
            return GateResult::Refuse(Self::refusal(RefusalReason::QueueFull, wait));
        }
        self.queue.push(offer);
        GateResult::Wait
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
        let held = self.service.told_pace().map(|(_, told)| told + PACE_LIFE);
        let wake = held
            .filter(|held| *held > self.ticked)
            .map_or(wake, |held| wake.min(held));
        match self.service.stall_time() {
            Some(stall) if stall > self.ticked => Some(wake.min(stall)),
            _ => Some(wake),
        }
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
    pub fn learn_load(&mut self, now: MonoTime, load: &ReportedLoad) -> Vec<GateAction> {
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
        LoadReport {
            in_flight: self.service.open_count(),
            queued: self.queue.len() as u32,
            limit: self.current_limit(now),
            service_time_us: self.service.mean_us(now) as u32,
            wait_us: self.wait_us(now, self.queue.len(), self.service.disturbance(now, 0)) as u32,
            age_us: 0,
            failed_permille: self.service.failed_permille(),
            work_permille: self
                .service
                .pace(now)
                .map_or(0, |pace| (pace * 1_000.0) as u32),
            is_draining: self.is_draining,
        }
    }

    /// Time that an offer which waits needs between the expected end of its wait and its deadline, in
    /// microseconds.
    fn queue_margin_us(&self, now: MonoTime, terms: &RequestTerms) -> f64 {
        match self.known_us(now, terms) {
            Some(own_us) => KNOWN_QUEUE_MARGIN * own_us,
            None => QUEUE_MARGIN * self.service.expected_us(now, terms.work_kind),
        }
    }

    /// Expected time of a request in microseconds, when requests of its kind ended here before.
    fn known_us(&self, now: MonoTime, terms: &RequestTerms) -> Option<f64> {
        let is_known = self.service.knows(terms.work_kind);
        is_known.then(|| self.service.expected_us(now, terms.work_kind))
    }

    /// Gives a free slot to an offer, unless its time is nearly over.
    fn start(&mut self, now: MonoTime, ticket: TicketId, terms: &RequestTerms) -> GateResult {
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

    /// Refuses what is too late and gives free slots to what waits.
    fn fill(&mut self, now: MonoTime) -> Vec<GateAction> {
        let refusal = Self::refusal(RefusalReason::DeadlineTooShort, Duration::ZERO);
        let expired = self.queue.expire(now + self.start_margin());
        let mut actions: Vec<_> = expired
            .map(|offer| GateAction::Refuse(offer.ticket, refusal))
            .collect();
        let straggler_us = self.service.straggler_us(now);
        let service = &self.service;
        let slower = |offer: &QueuedOffer| {
            let disturbance = service.disturbance(now, offer.work_kind);
            Duration::from_micros(straggler_us.max(disturbance.cost_us) as u64)
        };
        let released = self.queue.release(slower);
        actions.extend(released.map(|offer| {
            let refusal = Self::refusal(RefusalReason::BetterElsewhere, slower(&offer));
            GateAction::Refuse(offer.ticket, refusal)
        }));
        while self.has_slot(now)
            && let Some(offer) = self
                .queue
                .pop_where(|offer| !self.service.disturbance(now, offer.work_kind).is_held)
        {
            self.service.start(now, offer.ticket, offer.work_kind);
            actions.push(GateAction::Run(offer.ticket));
        }
        actions
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

    /// Expected wait of an offer with `ahead` others before it that `disturbance` meets, in
    /// microseconds.
    fn wait_us(&self, now: MonoTime, ahead: usize, disturbance: Disturbance) -> f64 {
        let limit = self.current_limit(now);
        let free = limit.saturating_sub(self.service.open_count());
        let ahead = (ahead as f64 + 1.0 - f64::from(free)).max(0.0);
        let pace = if disturbance.is_held {
            1.0
        } else {
            self.service.pace(now).unwrap_or(1.0)
        };
        let held_us = if disturbance.is_held {
            disturbance.cost_us
        } else {
            0.0
        };
        held_us.max(ahead * self.service.mean_us(now) * pace / f64::from(limit))
    }

    /// Time before a deadline at which a request that hasn't begun is too late.
    fn start_margin(&self) -> Duration {
        Duration::from_micros((START_MARGIN * self.service.recent_us()) as u64)
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

/// Until when an offer that waits has to end, in microseconds from now.
///
/// A request of low priority that would miss its objective by waiting is refused at once: served late
/// it would make those behind it late as well. Others wait up to their deadline.
fn latest_end_us(terms: &RequestTerms) -> f64 {
    let objective = terms.objective.filter(|_| terms.priority == Priority::Low);
    let latest = objective.unwrap_or(terms.time_left).min(terms.time_left);
    latest.as_micros() as f64
}
