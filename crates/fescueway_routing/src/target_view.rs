//! The state of one target, as one entry sees it.

use std::time::Duration;

use fescueway_core::{LoadReport, MonoTime, NodeId, RefusalReason, TargetRecord, TargetState};

use crate::{
    EjectionChange,
    ejection_state::{EjectionState, StateEvent},
    pool_view::{PoolView, report_pace},
};

/// Weight of one report in the moving averages of the target's load.
const MEAN_WEIGHT: f64 = 0.3;

/// Weight of one answer or report in the moving average of the failure share.
const FAILURE_WEIGHT: f64 = 0.2;

/// Failure share in a host's report, in 1/1000, at which its target is ejected.
const FAILING_PERMILLE: u16 = 500;

/// Share of its slots that a starting target is assumed to offer before its first report.
const COLD_SHARE: f64 = 0.3;

/// A target is considered unresponsive after this many service times without an answer.
const SILENCE_FACTOR: f64 = 4.0;

/// Share of the load's standard deviation that is sampled at random. It keeps entries with the same
/// view from all choosing the same target, and makes them retry targets that have been idle.
const SAMPLED_SHARE: f64 = 0.5;

/// Weight of the load's variance in the expected wait: the part that isn't sampled.
const VARIANCE_WEIGHT: f64 = 1.0 - SAMPLED_SHARE * SAMPLED_SHARE;

/// Avoids a division by zero when the load has no variance.
const MIN_SPREAD: f64 = 1e-3;

/// Cost of a refusal in mean service times: the round trip to the next target and the extra offer.
const REFUSAL_COST: f64 = 0.2;

/// A service time up to this many times the pool's has no penalty: recent means differ by chance.
const SLOWNESS_TOLERANCE: f64 = 1.6;

/// Slope of the penalty for service times above the tolerance, up to the full difference.
const SLOWNESS_SLOPE: f64 = 3.0;

/// Time without an answer after which a target surely counts as slow, in mean service times of the
/// pool.
pub(crate) const SILENCE_LIMIT: f64 = SILENCE_FACTOR * SLOWNESS_TOLERANCE;

/// Time constant by which the estimate of a target's slowness decays, in microseconds. If the
/// slowness lasts, its host refuses offers.
const SLOWNESS_DECAY_US: f64 = 2_000_000.0;

/// Time constant by which a reported pace of work decays, in microseconds: about as long as other
/// tenants of a VM occupy the processor.
const PACE_DECAY_US: f64 = 300_000.0;

/// Pace, as a multiple of the pool's, above which a target counts as disturbed. Paces of undisturbed
/// targets differ by 10% by chance.
const DISTURBED_PACE: f64 = 1.3;

/// Inputs of a pick that are common to all targets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PickContext<'router> {
    /// The current time.
    pub(crate) now: MonoTime,
    /// Aggregate load of the targets.
    pub(crate) pool: &'router PoolView,
    /// Cost of choosing a target of another failure domain, in microseconds: the extra round trip
    /// and the transfer of the bodies.
    pub(crate) cross_domain_us: f64,
}

/// The state of one target, as one entry sees it.
#[derive(Debug)]
pub(crate) struct TargetView {
    /// The host node.
    pub(crate) node: NodeId,
    /// Whether the target is in the entry's failure domain.
    pub(crate) is_same_domain: bool,
    /// Whether the target is known to be draining.
    pub(crate) is_draining: bool,
    /// Until when it gets no offers: [`MonoTime::NEVER`] while its failure domain is evacuated, or a
    /// moment after a host of that domain refused an offer as evacuated.
    excluded_until: MonoTime,
    /// Offers of this entry in flight at the target.
    pub(crate) open_offers: u32,
    /// When this entry last made an offer.
    offered_at: MonoTime,
    /// How long this entry should pause between two offers, by the last report.
    offer_pause: Duration,
    /// Since when the offers in flight have brought no answer. A refusal doesn't reset it: it comes
    /// from the host and says nothing about the backend server.
    silent_since: MonoTime,
    /// Requests of other entries that were running or queued at the target at `reported_at`.
    others_load: f64,
    /// The time to which the last report applies.
    reported_at: MonoTime,
    /// Moving average of `others_load`.
    mean_others_load: f64,
    /// Moving average of the load, including this entry's offers.
    mean_load: f64,
    /// Concurrency limit of the target.
    limit: f64,
    /// Mean time that a request holds a slot at the usual pace of work, in microseconds; zero if
    /// unknown.
    service_us: f64,
    /// The last reported duration of work, as a multiple of its usual duration.
    pace: f64,
    /// Moving average of the failure share, from this entry's answers and the host's reports, from
    /// 0 to 1.
    failed_share: f64,
    /// Whether the target is ejected because of failures.
    ejection: EjectionState,
    /// Whether the last offer could not reach the host or the backend server.
    is_unreachable: bool,
}

impl TargetView {
    /// Creates the state of a target from its record alone.
    pub(crate) fn new(
        now: MonoTime,
        record: &TargetRecord,
        is_same_domain: bool,
        pool: &PoolView,
    ) -> Self {
        let slots = f64::from(record.slots.max(1));
        let share = match record.state {
            TargetState::Starting => COLD_SHARE,
            TargetState::Serving | TargetState::Draining => 1.0,
        };
        let load = pool.load_share() * slots * share;
        Self {
            node: record.node,
            is_same_domain,
            is_draining: record.state == TargetState::Draining,
            excluded_until: MonoTime::ZERO,
            open_offers: 0,
            offered_at: MonoTime::ZERO,
            offer_pause: Duration::ZERO,
            silent_since: now,
            others_load: load,
            reported_at: now,
            mean_others_load: load,
            mean_load: load,
            limit: slots * share,
            service_us: 0.0,
            pace: pool.pace(),
            failed_share: 0.0,
            ejection: EjectionState::default(),
            is_unreachable: false,
        }
    }

    /// Updates the target's record.
    pub(crate) fn set_record(&mut self, record: &TargetRecord, is_same_domain: bool) {
        self.is_same_domain = is_same_domain;
        self.is_draining = record.state == TargetState::Draining;
    }

    /// Whether the failure domain of the target is evacuated.
    pub(crate) fn is_evacuated(&self) -> bool {
        self.excluded_until == MonoTime::NEVER
    }

    /// Begins the evacuation of the target's failure domain.
    pub(crate) fn begin_evacuation(&mut self) {
        self.excluded_until = MonoTime::NEVER;
    }

    /// Ends the evacuation of the target's failure domain, and forgets what was reported before. The
    /// target is assumed to offer as much as one that starts, so that entries with old views don't all
    /// choose it at once.
    pub(crate) fn end_evacuation(&mut self, now: MonoTime, slots: u32, pool: &PoolView) {
        self.excluded_until = MonoTime::ZERO;
        self.limit = f64::from(slots.max(1)) * COLD_SHARE;
        let load = pool.load_share() * self.limit;
        self.others_load = load;
        self.mean_others_load = load;
        self.mean_load = load;
        self.reported_at = now;
    }

    /// Makes no offers to the target until `time` at least.
    pub(crate) fn avoid_until(&mut self, time: MonoTime) {
        self.excluded_until = self.excluded_until.max(time);
    }

    /// Whether the target gets no offers because of an evacuation.
    pub(crate) fn is_excluded(&self, now: MonoTime) -> bool {
        now < self.excluded_until
    }

    /// Counts an offer as in flight.
    pub(crate) fn begin_offer(&mut self, now: MonoTime) {
        if self.open_offers == 0 {
            self.silent_since = now;
        }
        self.open_offers += 1;
        self.offered_at = now;
    }

    /// Counts an offer as ended.
    pub(crate) fn end_offer(&mut self) {
        self.open_offers = self.open_offers.saturating_sub(1);
    }

    /// Records whether an answer was a failure.
    pub(crate) fn observe_answer(&mut self, now: MonoTime, is_failure: bool) {
        self.is_unreachable = false;
        self.silent_since = now;
        let failure = if is_failure { 1.0 } else { 0.0 };
        self.failed_share += (failure - self.failed_share) * FAILURE_WEIGHT;
        self.ejection.handle(&StateEvent::Answered {
            now,
            is_failure,
            failed_share: self.failed_share,
        });
    }

    /// Records why the host refused an offer.
    pub(crate) fn observe_refusal(&mut self, now: MonoTime, reason: RefusalReason) {
        self.is_unreachable = matches!(
            reason,
            RefusalReason::BackendUnreachable | RefusalReason::HostUnreachable
        );
        match reason {
            RefusalReason::Draining => self.is_draining = true,
            RefusalReason::BackendUnreachable | RefusalReason::HostUnreachable => {
                self.ejection.handle(&StateEvent::Unreachable(now));
            }
            _ => {}
        }
    }

    /// Ends the ejection when its time is over.
    pub(crate) fn tick(&mut self, now: MonoTime) {
        self.ejection.handle(&StateEvent::Tick(now));
    }

    /// Whether the last offer reached the target, as far as is known.
    pub(crate) fn is_reachable(&self) -> bool {
        !self.is_unreachable
    }

    /// Whether the target may get requests while others are available.
    pub(crate) fn is_eligible(&self) -> bool {
        self.ejection.is_eligible(self.open_offers)
    }

    /// Applies an update, and returns whether it ejected or restored the target.
    pub(crate) fn track_ejection(
        &mut self,
        observe: impl FnOnce(&mut Self),
    ) -> Option<EjectionChange> {
        let was_ejected = self.ejection.is_ejected();
        observe(self);
        match (was_ejected, self.ejection.is_ejected()) {
            (false, true) => Some(EjectionChange::Ejected),
            (true, false) => Some(EjectionChange::Restored),
            _ => None,
        }
    }

    /// The time to which the last report applies.
    pub(crate) fn reported_at(&self) -> MonoTime {
        self.reported_at
    }

    /// Records a load report. The offer that it came with is still counted as in flight.
    pub(crate) fn observe_report(&mut self, now: MonoTime, report: &LoadReport) {
        let load = f64::from(report.in_flight + report.queued);
        let own = f64::from(self.open_offers.saturating_sub(1));
        self.others_load = (load - own).max(0.0);
        let sent_us = now.as_micros().saturating_sub(u64::from(report.age_us));
        self.reported_at = MonoTime::from_micros(sent_us);
        self.mean_others_load += (self.others_load - self.mean_others_load) * MEAN_WEIGHT;
        self.mean_load += (load - self.mean_load) * MEAN_WEIGHT;
        self.limit = f64::from(report.limit.max(1));
        self.service_us = f64::from(report.service_time_us);
        self.pace = report_pace(report);
        self.offer_pause = Duration::from_micros(report.offer_pause_us.into());
        let failed_share = f64::from(report.failed_permille) / 1_000.0;
        self.failed_share += (failed_share - self.failed_share) * FAILURE_WEIGHT;
        self.is_draining = report.is_draining;
        if report.failed_permille >= FAILING_PERMILLE {
            self.ejection.handle(&StateEvent::Failing(now));
        }
    }

    /// Expected time until an offer made now is answered, minus the pool's service time, in
    /// microseconds. Round trips within the entry's own failure domain are left out.
    ///
    /// `noise` is a standard normal variable that samples part of the load's uncertainty.
    pub(crate) fn score_us(&self, context: &PickContext<'_>, noise: f64) -> f64 {
        let trip_us = if self.is_same_domain {
            0.0
        } else {
            context.cross_domain_us
        };
        let service_us = self.current_service_us(context.now, context.pool);
        let usual_us = context.pool.service_us() * context.pool.pace();
        let slowness_penalty_us = slowness_penalty_us(usual_us, service_us);
        let wait_us = self.wait_us(context, service_us, noise);
        trip_us + slowness_penalty_us + wait_us.max(self.pause_left_us(context.now))
    }

    /// Time until the next offer of this entry that the backend server's rate limit likely allows,
    /// in microseconds.
    fn pause_left_us(&self, now: MonoTime) -> f64 {
        elapsed_us(now, self.offered_at + self.offer_pause)
    }

    /// Expected wait for a slot of an offer that arrives now, plus the cost of a likely refusal, in
    /// microseconds.
    ///
    /// This entry's own part of the load is known. The load of the other entries is modelled as a
    /// Poisson variable whose variance grows with the age of the report. Part of the deviation is
    /// sampled; over the rest, a smooth approximation of the mean of max(0, load - limit) is taken.
    fn wait_us(&self, context: &PickContext<'_>, service_us: f64, noise: f64) -> f64 {
        let others_load = self.expected_others_load(context.now, context.pool);
        let staleness = 1.0 - self.freshness(context.now, service_us);
        let variance = others_load * staleness;
        let sampled = noise * SAMPLED_SHARE * variance.sqrt();
        let excess = f64::from(self.open_offers) + others_load + 1.0 - self.limit + sampled;
        let spread = (excess * excess + VARIANCE_WEIGHT * variance).sqrt();
        let waiting_requests = f64::midpoint(excess, spread);
        let full_share = f64::midpoint(1.0, excess / spread.max(MIN_SPREAD));
        waiting_requests * service_us / self.limit
            + full_share * REFUSAL_COST * context.pool.service_us()
    }

    /// Expected load of other entries now: the last reported one, which decays to the mean as the
    /// report ages. That mean is half the target's own and half the pool's.
    fn expected_others_load(&self, now: MonoTime, pool: &PoolView) -> f64 {
        let others_share = self.mean_others_load / self.mean_load.max(1.0);
        let pool_others_load = pool.load_share() * self.limit * others_share.min(1.0);
        let mean = f64::midpoint(self.mean_others_load, pool_others_load);
        let freshness = self.freshness(now, self.service_us.max(pool.service_us()));
        mean + (self.others_load - mean) * freshness
    }

    /// Weight of the last report, from 1 when new to 0.
    fn freshness(&self, now: MonoTime, service_us: f64) -> f64 {
        decay(elapsed_us(self.reported_at, now), service_us.trunc())
    }

    /// Whether the target's requests take longer than the pool's, or its offers go unanswered.
    pub(crate) fn is_slow(&self, now: MonoTime, pool: &PoolView) -> bool {
        self.current_service_us(now, pool) > SLOWNESS_TOLERANCE * pool.service_us() * pool.pace()
    }

    /// Whether the target reports that its work takes longer than usual, and longer than the pool's.
    pub(crate) fn is_disturbed(&self, now: MonoTime, pool: &PoolView) -> bool {
        self.current_pace(now, pool) > DISTURBED_PACE * pool.pace().max(1.0)
    }

    /// Pace of work now: the reported one, which decays to the pool's as the report ages.
    fn current_pace(&self, now: MonoTime, pool: &PoolView) -> f64 {
        let retained = decay(elapsed_us(self.reported_at, now), PACE_DECAY_US);
        pool.pace() + (self.pace - pool.pace()) * retained
    }

    /// Time that a request holds a slot now, in microseconds: the reported one, which decays to the
    /// pool's as the report ages, or more when the target has been unresponsive.
    fn current_service_us(&self, now: MonoTime, pool: &PoolView) -> f64 {
        let usual_us = pool.service_us();
        let known_us = if self.service_us > 0.0 {
            let retained = decay(elapsed_us(self.reported_at, now), SLOWNESS_DECAY_US);
            usual_us + (self.service_us - usual_us) * retained
        } else {
            usual_us
        };
        let known_us = known_us * self.current_pace(now, pool);
        if self.open_offers == 0 {
            return known_us;
        }
        let silence_us = elapsed_us(self.silent_since, now);
        known_us + (silence_us - SILENCE_FACTOR * known_us).max(0.0)
    }
}

/// Time from `start` to `end` in microseconds, zero if negative.
fn elapsed_us(start: MonoTime, end: MonoTime) -> f64 {
    end.as_micros().saturating_sub(start.as_micros()) as f64
}

/// Share that remains after `age_us` of exponential decay with this time constant.
fn decay(age_us: f64, time_constant_us: f64) -> f64 {
    (-age_us / time_constant_us.max(1.0)).exp()
}

/// Score penalty in microseconds of a target whose service time exceeds the pool's `usual_us`.
fn slowness_penalty_us(usual_us: f64, service_us: f64) -> f64 {
    let over_us = service_us - SLOWNESS_TOLERANCE * usual_us;
    (over_us * SLOWNESS_SLOPE).clamp(0.0, (service_us - usual_us).max(0.0))
}
