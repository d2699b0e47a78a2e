//! What one entry knows of one target.

use fescueway_core::{LoadReport, MonoTime, NodeId, RefusalReason, TargetRecord, TargetState};

use crate::{
    EjectionChange,
    pool_view::{PoolView, report_pace},
    target_phase::{PhaseEvent, TargetPhase},
};

/// Weight of a new report in the target's mean load.
const MEAN_WEIGHT: f64 = 0.3;

/// Weight of one answer in the entry's own share of failures.
const FAILURE_WEIGHT: f64 = 0.2;

/// Share of failures, in 1/1000, at which a host's report ejects its target.
const FAILING_PERMILLE: u16 = 500;

/// Share of its slots that a cold target is taken to offer before its first report.
const COLD_SHARE: f64 = 0.3;

/// A target is silent when nothing came back for this many usual service times.
const SILENCE_FACTOR: f64 = 4.0;

/// Share of the load's standard deviation that is drawn at random, so that entries with the same
/// view don't all choose the same target, and a target that none has used lately is tried again.
const DRAWN_SHARE: f64 = 0.5;

/// Weight of the load's variance in the expected wait: what isn't drawn.
const VARIANCE_WEIGHT: f64 = 1.0 - DRAWN_SHARE * DRAWN_SHARE;

/// Keeps the share of full targets defined when nothing varies.
const LEAST_SPREAD: f64 = 1e-3;

/// What a refusal counts, in mean service times: the trip to the next place and the extra offer.
const REFUSAL_PRICE: f64 = 0.2;

/// A service time up to this many times the pool's counts as equal: the recent means vary by
/// chance.
const TOLERATED_SLOWNESS: f64 = 1.6;

/// How steeply slowness counts once it is out of tolerance, up to its full amount.
const SLOWNESS_SLOPE: f64 = 3.0;

/// Silence after which a target counts as slow at the latest, in mean service times of the pool.
pub(crate) const SILENCE_LIMIT: f64 = SILENCE_FACTOR * TOLERATED_SLOWNESS;

/// How long it takes to forget most of a target's slowness, in microseconds. Its host refuses,
/// should it last.
const SLOWNESS_MEMORY_US: f64 = 2_000_000.0;

/// How long it takes to forget most of a reported pace of work, in microseconds: as long as
/// neighbours on a VM keep the processor.
const PACE_MEMORY_US: f64 = 300_000.0;

/// What a pick sees besides the targets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PickScene<'router> {
    /// The time.
    pub(crate) now: MonoTime,
    /// The targets taken together.
    pub(crate) pool: &'router PoolView,
    /// What a target of another failure domain costs: the trips there and back beyond those within the own
    /// one, and the bytes that cross, in microseconds.
    pub(crate) far_us: f64,
}

/// What one entry knows of one target.
#[derive(Debug)]
pub(crate) struct TargetView {
    /// The host node.
    pub(crate) node: NodeId,
    /// Whether the target is in the entry's failure domain.
    pub(crate) is_near: bool,
    /// Whether it is known to leave.
    pub(crate) is_draining: bool,
    /// Offers of this entry that are open.
    pub(crate) open: u32,
    /// Since when open offers have brought no answer. A refusal comes from the host and says nothing of
    /// the backend server.
    silent_since: MonoTime,
    /// Requests of other entries running and waiting at the target at `reported_at`.
    others: f64,
    /// When the last report was true.
    reported_at: MonoTime,
    /// Mean of `others` over the recent reports.
    mean_others: f64,
    /// Mean load over the recent reports, this entry's offers included.
    mean_load: f64,
    /// Requests that the host lets run at once.
    limit: f64,
    /// Mean time that a request holds a slot at the usual pace of work, in microseconds; zero when
    /// unknown.
    service_us: f64,
    /// The last reported pace of work: how long it takes as a multiple of the usual time.
    pace: f64,
    /// Recent share of failures among this entry's answers and in the host's report, from 0 to 1.
    failed_share: f64,
    /// Whether its answers are trusted.
    phase: TargetPhase,
    /// Whether the last offer found no way to its host or its backend server.
    is_unreachable: bool,
}

impl TargetView {
    /// A target that nothing is known of but its record.
    pub(crate) fn new(
        now: MonoTime,
        record: &TargetRecord,
        is_near: bool,
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
            is_near,
            is_draining: record.state == TargetState::Draining,
            open: 0,
            silent_since: now,
            others: load,
            reported_at: now,
            mean_others: load,
            mean_load: load,
            limit: slots * share,
            service_us: 0.0,
            pace: pool.pace(),
            failed_share: 0.0,
            phase: TargetPhase::default(),
            is_unreachable: false,
        }
    }

    /// Takes in a changed record of the same target.
    pub(crate) fn set_record(&mut self, record: &TargetRecord, is_near: bool) {
        self.is_near = is_near;
        self.is_draining = record.state == TargetState::Draining;
    }

    /// Counts an offer that is sent now.
    pub(crate) fn offer(&mut self, now: MonoTime) {
        if self.open == 0 {
            self.silent_since = now;
        }
        self.open += 1;
    }

    /// Counts an offer that ended.
    pub(crate) fn end_offer(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Takes in whether an offer was answered well.
    pub(crate) fn learn_answer(&mut self, now: MonoTime, is_failure: bool) {
        self.is_unreachable = false;
        self.silent_since = now;
        let failure = if is_failure { 1.0 } else { 0.0 };
        self.failed_share += (failure - self.failed_share) * FAILURE_WEIGHT;
        self.phase.handle(&PhaseEvent::Answered {
            now,
            is_failure,
            failed_share: self.failed_share,
        });
    }

    /// Takes in why the host refused.
    pub(crate) fn learn_refusal(&mut self, now: MonoTime, reason: RefusalReason) {
        self.is_unreachable = matches!(
            reason,
            RefusalReason::BackendUnreachable | RefusalReason::HostUnreachable
        );
        match reason {
            RefusalReason::Draining => self.is_draining = true,
            RefusalReason::BackendUnreachable | RefusalReason::HostUnreachable => {
                self.phase.handle(&PhaseEvent::Unreachable(now));
            }
            _ => {}
        }
    }

    /// Lets an ejection end.
    pub(crate) fn tick(&mut self, now: MonoTime) {
        self.phase.handle(&PhaseEvent::Tick(now));
    }

    /// Whether an offer may reach it, as far as is known.
    pub(crate) fn is_reachable(&self) -> bool {
        !self.is_unreachable
    }

    /// Whether the target may get work while better ones are there.
    pub(crate) fn is_trusted(&self) -> bool {
        self.phase.is_trusted(self.open)
    }

    /// Lets the view learn something, and tells whether the target is trusted otherwise since.
    pub(crate) fn note_trust(&mut self, learn: impl FnOnce(&mut Self)) -> Option<EjectionChange> {
        let was_ejected = self.phase.is_ejected();
        learn(self);
        match (was_ejected, self.phase.is_ejected()) {
            (false, true) => Some(EjectionChange::Ejected),
            (true, false) => Some(EjectionChange::Restored),
            _ => None,
        }
    }

    /// The last time that is known of this target.
    pub(crate) fn known_since(&self) -> MonoTime {
        self.reported_at
    }

    /// Takes in a load report. The offer that brought it is still counted as open.
    pub(crate) fn learn_report(&mut self, now: MonoTime, report: &LoadReport) {
        let load = f64::from(report.in_flight + report.queued);
        let own = f64::from(self.open.saturating_sub(1));
        self.others = (load - own).max(0.0);
        let sent_us = now.as_micros().saturating_sub(u64::from(report.age_us));
        self.reported_at = MonoTime::from_micros(sent_us);
        self.mean_others += (self.others - self.mean_others) * MEAN_WEIGHT;
        self.mean_load += (load - self.mean_load) * MEAN_WEIGHT;
        self.limit = f64::from(report.limit.max(1));
        self.service_us = f64::from(report.service_time_us);
        self.pace = report_pace(report);
        let failed_share = f64::from(report.failed_permille) / 1_000.0;
        self.failed_share += (failed_share - self.failed_share) * FAILURE_WEIGHT;
        self.is_draining = report.is_draining;
        if report.failed_permille >= FAILING_PERMILLE {
            self.phase.handle(&PhaseEvent::Failing(now));
        }
    }

    /// Expected time from an offer now to its answer beyond the pool's service time, in
    /// microseconds; trips within the own failure domain are left out.
    ///
    /// `noise` is a standard normal variable, by which a part of the load's uncertainty is drawn.
    pub(crate) fn score_us(&self, scene: &PickScene<'_>, noise: f64) -> f64 {
        let trip_us = if self.is_near { 0.0 } else { scene.far_us };
        let service_us = self.service_now_us(scene.now, scene.pool);
        let usual_us = scene.pool.service_us() * scene.pool.pace();
        let slower_us = slower_us(usual_us, service_us);
        trip_us + slower_us + self.wait_us(scene, service_us, noise)
    }

    /// Expected wait for a slot of an offer that arrives now, with the price of a likely refusal,
    /// in microseconds.
    ///
    /// This entry's own share of the load is known. That of the others varies as a Poisson variable
    /// does, the more the older the report. A part of that is drawn, the mean of
    /// max(0, load - limit) is taken over the rest in a smooth form.
    fn wait_us(&self, scene: &PickScene<'_>, service_us: f64, noise: f64) -> f64 {
        let others = self.others_now(scene.now, scene.pool);
        let staleness = 1.0 - self.freshness(scene.now, service_us);
        let variance = others * staleness;
        let drawn = noise * DRAWN_SHARE * variance.sqrt();
        let over = f64::from(self.open) + others + 1.0 - self.limit + drawn;
        let spread = (over * over + VARIANCE_WEIGHT * variance).sqrt();
        let waiting = f64::midpoint(over, spread);
        let full_share = f64::midpoint(1.0, over / spread.max(LEAST_SPREAD));
        waiting * service_us / self.limit + full_share * REFUSAL_PRICE * scene.pool.service_us()
    }

    /// The load of other entries expected now: the last report's, drifting to the mean as it ages.
    /// The mean is half the target's own and half the pool's.
    fn others_now(&self, now: MonoTime, pool: &PoolView) -> f64 {
        let others_share = self.mean_others / self.mean_load.max(1.0);
        let pool_others = pool.load_share() * self.limit * others_share.min(1.0);
        let mean = f64::midpoint(self.mean_others, pool_others);
        let freshness = self.freshness(now, self.service_us.max(pool.service_us()));
        mean + (self.others - mean) * freshness
    }

    /// How much of the last report still holds, from 1 to 0.
    fn freshness(&self, now: MonoTime, service_us: f64) -> f64 {
        decay(elapsed_us(self.reported_at, now), service_us.trunc())
    }

    /// Whether its requests are known to take longer than the pool's, or nothing comes back.
    pub(crate) fn is_slow(&self, now: MonoTime, pool: &PoolView) -> bool {
        self.service_now_us(now, pool) > TOLERATED_SLOWNESS * pool.service_us() * pool.pace()
    }

    /// The pace of work now: what was reported, drifting to the pool's as the report ages.
    fn pace_now(&self, now: MonoTime, pool: &PoolView) -> f64 {
        let memory = decay(elapsed_us(self.reported_at, now), PACE_MEMORY_US);
        pool.pace() + (self.pace - pool.pace()) * memory
    }

    /// Time that a request holds a slot now, in microseconds: what the host reported, the less
    /// told from the pool's the older the report, or longer when the target has been silent.
    fn service_now_us(&self, now: MonoTime, pool: &PoolView) -> f64 {
        let usual_us = pool.service_us();
        let known_us = if self.service_us > 0.0 {
            let memory = decay(elapsed_us(self.reported_at, now), SLOWNESS_MEMORY_US);
            usual_us + (self.service_us - usual_us) * memory
        } else {
            usual_us
        };
        let known_us = known_us * self.pace_now(now, pool);
        if self.open == 0 {
            return known_us;
        }
        let silence_us = elapsed_us(self.silent_since, now);
        known_us + (silence_us - SILENCE_FACTOR * known_us).max(0.0)
    }
}

/// Time from `start` to `end` in microseconds, zero when it is negative.
fn elapsed_us(start: MonoTime, end: MonoTime) -> f64 {
    end.as_micros().saturating_sub(start.as_micros()) as f64
}

/// What is left of a quantity after `age_us` when it falls by e in each `memory_us`.
fn decay(age_us: f64, memory_us: f64) -> f64 {
    (-age_us / memory_us.max(1.0)).exp()
}

/// How much a service time counts against a target whose pool usually has `usual_us`, in
/// microseconds.
fn slower_us(usual_us: f64, service_us: f64) -> f64 {
    let over_us = service_us - TOLERATED_SLOWNESS * usual_us;
    (over_us * SLOWNESS_SLOPE).clamp(0.0, (service_us - usual_us).max(0.0))
}
