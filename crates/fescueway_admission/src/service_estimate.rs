//! Estimates how long a request holds a slot, from finished requests.

use std::{collections::BTreeMap, time::Duration};

use fescueway_core::MonoTime;

use crate::{
    TicketId,
    work_pace::{Disturbance, WorkPace},
};

/// Weight of one finished request in the recent mean.
const RECENT_WEIGHT: f64 = 1.0 / 64.0;

/// Weight of one finished request in the short-term mean.
const SHORT_WEIGHT: f64 = 1.0 / 8.0;

/// When the short-term mean exceeds the recent mean by this factor, it is used instead, so that a
/// sudden slowdown takes effect at once.
const JUMP_FACTOR: f64 = 2.5;

/// Weight of one finished request in the recent share of failures.
const FAILURE_WEIGHT: f64 = 1.0 / 16.0;

/// Weight of one finished request in the long-term mean, which the baseline follows: small enough
/// that random variation doesn't lower the baseline.
const LONG_WEIGHT: f64 = 1.0 / 256.0;

/// Share of failures from which a backend server is considered failing.
const FAILING_SHARE: f64 = 0.5;

/// Rate at which the baseline follows a falling mean, per finished request.
const BASELINE_FALL: f64 = 1.0 / 256.0;

/// Rate at which the baseline follows a rising mean, per finished request.
const BASELINE_RISE: f64 = 1.0 / 20_000.0;

/// Successful requests needed before the baseline is kept apart from the long-term mean.
const MIN_BASELINE_COUNT: u32 = 256;

/// A backend server is stalled when no request has ended for as long as this many of its running
/// requests normally take to end.
const STALL_FACTOR: f64 = 10.0;

/// A target is a straggler when its service time exceeds the baseline by this factor.
const STRAGGLER_FACTOR: f64 = 3.0;

/// Largest number of kinds of work with a service time of their own.
const MAX_KINDS: usize = 32;

/// Weight of one finished request in the mean of its kind of work.
const KIND_WEIGHT: f64 = 1.0 / 16.0;

/// Share of its latency objective that a request of a kind that never ran here is assumed to take:
/// objectives are several times the service time.
const ASSUMED_SHARE: f64 = 0.25;

/// Mean service time of one kind of work.
#[derive(Clone, Copy, Debug, Default)]
struct KindMean {
    /// Recent mean at normal pace, in microseconds; assumed while `count` is zero.
    mean_us: f64,
    /// Number of requests that succeeded.
    count: u32,
    /// Mean without disturbances.
    baseline: BaselineMean,
}

/// Share of a kind of work in the requests that the means are of. It follows the mix of kinds as fast as
/// the means do, so that a mix with longer requests is not taken for a slowdown.
#[derive(Clone, Copy, Debug, Default)]
struct MixShare {
    /// Share in the recent mean, from 0 to 1.
    recent: f64,
    /// Share in the short-term mean, from 0 to 1.
    short: f64,
}

/// Mean service time without disturbances.
#[derive(Clone, Copy, Debug, Default)]
struct BaselineMean {
    /// Long-term mean, in microseconds.
    long_mean_us: f64,
    /// The baseline, in microseconds: follows a lower `long_mean_us` much faster than a higher one.
    baseline_us: f64,
    /// Number of samples, up to [`MIN_BASELINE_COUNT`].
    count: u32,
    /// Share of the kind in the means of all kinds.
    share: MixShare,
}

impl BaselineMean {
    /// Records one sample.
    fn learn(&mut self, service_us: f64) {
        self.count = (self.count + 1).min(MIN_BASELINE_COUNT);
        let weight = LONG_WEIGHT.max(1.0 / f64::from(self.count));
        self.long_mean_us += (service_us - self.long_mean_us) * weight;
        if self.count < MIN_BASELINE_COUNT {
            self.baseline_us = self.long_mean_us;
            return;
        }
        let rate = if self.long_mean_us < self.baseline_us {
            BASELINE_FALL
        } else {
            BASELINE_RISE
        };
        self.baseline_us += (self.long_mean_us - self.baseline_us) * rate;
    }

    /// Adjusts the share after a request, which is of this kind if `is_kind`.
    fn learn_share(&mut self, is_kind: bool, recent_weight: f64) {
        let sample = if is_kind { 1.0 } else { 0.0 };
        self.share.recent += (sample - self.share.recent) * recent_weight;
        self.share.short += (sample - self.share.short) * SHORT_WEIGHT;
    }
}

/// A request that released its slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FinishedRun {
    /// Kind of work.
    kind: u64,
    /// How long it held the slot, scaled to normal pace, in microseconds.
    service_us: f64,
}

/// One request that holds a slot.
#[derive(Clone, Copy, Debug)]
struct ActiveRun {
    /// Kind of work.
    kind: u64,
    /// Pace when it started.
    pace: f64,
    /// Identifies the offer.
    ticket: TicketId,
    /// When it acquired its slot.
    started_at: MonoTime,
}

/// Estimates how long a request holds a slot (its service time), from finished requests.
#[derive(Debug)]
pub(crate) struct ServiceEstimate {
    /// Requests that hold a slot. Preallocated, so that admission doesn't allocate.
    running: Vec<ActiveRun>,
    /// Number of running requests needed to detect a stall: when only a few are left, they are
    /// likely long ones.
    min_stall_runs: usize,
    /// When a request last ended, or started while none was running.
    last_end_at: MonoTime,
    /// Recent mean, in microseconds; zero until the first request succeeded.
    recent_mean_us: f64,
    /// Short-term mean, in microseconds.
    short_mean_us: f64,
    /// Number of requests that succeeded, up to [`MIN_BASELINE_COUNT`].
    count: u32,
    /// Recent share of failures, from 0 to 1.
    failure_share: f64,
    /// Baseline of work of no known kind.
    other_baseline: BaselineMean,
    /// Mean service time of each kind of work.
    kinds: BTreeMap<u64, KindMean>,
    /// Pace: the duration of work as a multiple of its normal duration.
    pace: WorkPace,
}

impl ServiceEstimate {
    /// Creates an estimate without samples, for at most `slots` running requests. No room is reserved for
    /// them: the backend server states the number.
    pub(crate) fn new(slots: u32) -> Self {
        Self {
            running: Vec::new(),
            min_stall_runs: (slots as usize).div_ceil(2),
            last_end_at: MonoTime::ZERO,
            recent_mean_us: 0.0,
            short_mean_us: 0.0,
            other_baseline: BaselineMean::default(),
            count: 0,
            failure_share: 0.0,
            kinds: BTreeMap::new(),
            pace: WorkPace::new(),
        }
    }

    /// Records the pace that the backend server reports.
    pub(crate) fn record_pace(&mut self, now: MonoTime, pace: f64) {
        self.pace.learn(now, pace);
    }

    /// Current pace, `None` when no report is valid.
    pub(crate) fn current_pace(&self, now: MonoTime) -> Option<f64> {
        self.pace.current(now)
    }

    /// Mutable access to the pace.
    pub(crate) fn pace_mut(&mut self) -> &mut WorkPace {
        &mut self.pace
    }

    /// Shared access to the pace.
    pub(crate) fn pace_ref(&self) -> &WorkPace {
        &self.pace
    }

    /// Last reported pace and the time of the report.
    pub(crate) fn last_pace(&self) -> Option<(f64, MonoTime)> {
        self.pace.last_report()
    }

    /// Expected service time of a request of this kind, in microseconds, if it starts now or, where
    /// that ends sooner, after the current disturbance.
    pub(crate) fn expected_run_us(&self, now: MonoTime, kind: u64) -> f64 {
        let normal_us = self.normal_us(now, kind);
        self.pace.expected_run_us(now, normal_us)
    }

    /// Cost of the current disturbance by neighbouring VMs to a request of this kind.
    pub(crate) fn disturbance(&self, now: MonoTime, kind: u64) -> Disturbance {
        self.pace.disturbance(now, self.normal_us(now, kind))
    }

    /// Whether service times of this kind of work are known.
    pub(crate) fn has_kind(&self, kind: u64) -> bool {
        self.kinds.get(&kind).is_some_and(|known| known.count > 0)
    }

    /// Assumes a service time for this kind of work until a request of it has ended here.
    pub(crate) fn assume_kind(&mut self, kind: u64, objective: Duration) {
        if let Some(known) = self.kind_mut(kind)
            && known.count == 0
        {
            let assumed_us = ASSUMED_SHARE * objective.as_micros() as f64;
            known.mean_us = known.mean_us.max(assumed_us);
        }
    }

    /// Expected service time of a request of this kind at normal pace, in microseconds.
    fn normal_us(&self, now: MonoTime, kind: u64) -> f64 {
        let known = self.kinds.get(&kind);
        known.map_or_else(|| self.mean_us(now), |known| known.mean_us)
    }

    /// Number of requests that hold a slot.
    pub(crate) fn running_count(&self) -> u32 {
        self.running.len() as u32
    }

    /// Records that a request acquired a slot.
    pub(crate) fn start(&mut self, now: MonoTime, ticket: TicketId, kind: u64) {
        if self.running.is_empty() {
            self.last_end_at = now;
        }
        self.running.push(ActiveRun {
            kind,
            pace: self.current_pace(now).unwrap_or(1.0),
            ticket,
            started_at: now,
        });
    }

    /// Records that a request released its slot. Returns `None` for an unknown ticket.
    pub(crate) fn stop(&mut self, now: MonoTime, ticket: TicketId) -> Option<FinishedRun> {
        let index = self.running.iter().position(|run| run.ticket == ticket)?;
        let run = self.running.swap_remove(index);
        self.last_end_at = now;
        Some(FinishedRun {
            kind: run.kind,
            service_us: now.since(run.started_at).as_micros() as f64 / run.pace,
        })
    }

    /// Updates the estimates with a completed request. A failure only changes the share of
    /// failures.
    pub(crate) fn learn(&mut self, finished: FinishedRun, is_failure: bool) {
        let failure = if is_failure { 1.0 } else { 0.0 };
        self.failure_share += (failure - self.failure_share) * FAILURE_WEIGHT;
        if is_failure {
            return;
        }
        let service_us = finished.service_us;
        self.learn_kind(finished);
        self.count = (self.count + 1).min(MIN_BASELINE_COUNT);
        let weight = RECENT_WEIGHT.max(1.0 / f64::from(self.count));
        self.recent_mean_us += (service_us - self.recent_mean_us) * weight;
        let has_kind = self.kinds.contains_key(&finished.kind);
        self.other_baseline.learn_share(!has_kind, weight);
        for (kind, known) in &mut self.kinds {
            known.baseline.learn_share(*kind == finished.kind, weight);
        }
        self.short_mean_us += (service_us - self.short_mean_us) * SHORT_WEIGHT;
    }

    /// Updates the mean of a kind of work, and its baseline.
    fn learn_kind(&mut self, finished: FinishedRun) {
        let Some(known) = self.kind_mut(finished.kind) else {
            return self.other_baseline.learn(finished.service_us);
        };
        known.count = known.count.saturating_add(1);
        let weight = KIND_WEIGHT.max(1.0 / f64::from(known.count));
        known.mean_us += (finished.service_us - known.mean_us) * weight;
        known.baseline.learn(finished.service_us);
    }

    /// The mean of a kind of work. `None` for an unnamed kind, and for a new one when there are too
    /// many.
    fn kind_mut(&mut self, kind: u64) -> Option<&mut KindMean> {
        let is_new = !self.kinds.contains_key(&kind);
        if kind == 0 || (is_new && self.kinds.len() >= MAX_KINDS) {
            return None;
        }
        Some(self.kinds.entry(kind).or_default())
    }

    /// Mean service time at normal pace, in microseconds.
    ///
    /// Includes running requests: when none ends for far longer than expected at the pace at which
    /// they began, the mean of the finished ones is out of date.
    pub(crate) fn mean_us(&self, now: MonoTime) -> f64 {
        let since_last_end_us = now.since(self.last_end_at).as_micros() as f64;
        let implied_us = since_last_end_us * self.normal_rate();
        let is_stalled = self.running.len() >= self.min_stall_runs
            && self.recent_mean_us > 0.0
            && implied_us > STALL_FACTOR * self.recent_mean_us;
        let mean_us = if self.has_jumped() {
            self.short_mean_us
        } else {
            self.recent_mean_us
        };
        if is_stalled {
            implied_us.max(mean_us)
        } else {
            mean_us
        }
    }

    /// Whether service times have risen so much that the recent mean is out of date.
    fn has_jumped(&self) -> bool {
        self.short_mean_us > JUMP_FACTOR * self.recent_mean_us
    }

    /// The mean of the baselines of all kinds, weighted by `share`, in microseconds.
    fn baseline_us(&self, share: impl Fn(&MixShare) -> f64) -> f64 {
        let kinds = self.kinds.values().map(|known| &known.baseline);
        let all = kinds.chain([&self.other_baseline]);
        let (sum, shares) = all.fold((0.0, 0.0), |(sum, shares), baseline| {
            let share = share(&baseline.share);
            (sum + share * baseline.baseline_us, shares + share)
        });
        if shares > 0.0 { sum / shares } else { 0.0 }
    }

    /// When the backend server will be considered stalled if no request ends before. `None` while
    /// too few requests run or no service time is known.
    pub(crate) fn next_stall(&self) -> Option<MonoTime> {
        if self.running.len() < self.min_stall_runs || self.recent_mean_us <= 0.0 {
            return None;
        }
        let since_last_end_us = STALL_FACTOR * self.recent_mean_us / self.normal_rate();
        Some(self.last_end_at + Duration::from_micros(since_last_end_us as u64 + 1))
    }

    /// Work that the running requests get done per unit of time, as a multiple of what one gets done
    /// at normal pace.
    fn normal_rate(&self) -> f64 {
        self.running.iter().map(|run| 1.0 / run.pace).sum()
    }

    /// Mean service time above the baseline, in microseconds, if the target is a straggler; zero
    /// otherwise.
    pub(crate) fn straggler_us(&self, now: MonoTime) -> f64 {
        let mean_us = self.mean_us(now);
        let baseline_us = if self.has_jumped() {
            self.baseline_us(|share| share.short)
        } else {
            self.baseline_us(|share| share.recent)
        };
        if mean_us > STRAGGLER_FACTOR * baseline_us {
            mean_us - baseline_us
        } else {
            0.0
        }
    }

    /// Recent mean service time of successful requests, in microseconds.
    pub(crate) fn recent_mean_us(&self) -> f64 {
        self.recent_mean_us
    }

    /// Recent service time as a multiple of the baseline, at least 1.
    pub(crate) fn slowdown(&self) -> f64 {
        let baseline_us = self.baseline_us(|share| share.recent);
        if baseline_us <= 0.0 {
            return 1.0;
        }
        (self.recent_mean_us / baseline_us).max(1.0)
    }

    /// Whether most of the recent requests failed.
    pub(crate) fn is_failing(&self) -> bool {
        self.failure_share >= FAILING_SHARE
    }

    /// Recent share of failed requests, in 1/1000.
    pub(crate) fn failed_permille(&self) -> u16 {
        (self.failure_share * 1_000.0) as u16
    }
}
