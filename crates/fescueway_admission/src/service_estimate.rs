//! How long a request holds a slot, learned from those that did.

use std::{collections::BTreeMap, time::Duration};

use fescueway_core::MonoTime;

use crate::{
    TicketId,
    work_pace::{Disturbance, WorkPace},
};

/// Weight of one finished request in the recent mean.
const RECENT_WEIGHT: f64 = 1.0 / 64.0;

/// Weight of one finished request in the mean of the last few.
const FAST_WEIGHT: f64 = 1.0 / 8.0;

/// How many times the recent mean the mean of the last few has to be to be believed at once.
const JUMP_FACTOR: f64 = 2.5;

/// Weight of one finished request in the recent share of failures.
const FAILURE_WEIGHT: f64 = 1.0 / 16.0;

/// Weight of one finished request in the mean that the baseline follows: long enough that the
/// baseline isn't drawn down by chance.
const LONG_WEIGHT: f64 = 1.0 / 256.0;

/// Share of failures from which a backend server counts as failing.
const FAILING_SHARE: f64 = 0.5;

/// How fast the baseline follows a falling mean, per finished request.
const BASELINE_FALL: f64 = 1.0 / 256.0;

/// How fast the baseline forgets, per finished request, so that it can rise again.
const BASELINE_RISE: f64 = 1.0 / 20_000.0;

/// Requests after which the recent mean can serve as a first baseline.
const BASELINE_COUNT: u32 = 256;

/// A backend server stalls when none of its running requests has ended for as long as this many
/// usually take to.
const STALL_ENDS: f64 = 10.0;

/// How many times the baseline the service time of a straggler is.
const STRAGGLER_FACTOR: f64 = 3.0;

/// Kinds of requests whose service times are told apart at most.
const MAX_KINDS: usize = 32;

/// Weight of one finished request in the mean of its kind.
const KIND_WEIGHT: f64 = 1.0 / 16.0;

/// How long requests of one kind hold a slot.
#[derive(Clone, Copy, Debug, Default)]
struct KindMean {
    /// Recent mean at the usual pace of work, in microseconds.
    mean_us: f64,
    /// Requests that ended well.
    count: u32,
}

/// A request that gave its slot back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedRun {
    /// Its kind.
    kind: u64,
    /// How long it held the slot, at the usual pace of work, in microseconds.
    held_us: f64,
}

/// One request that holds a slot.
#[derive(Clone, Copy, Debug)]
struct OpenRun {
    /// Its kind.
    kind: u64,
    /// The pace of work when it began.
    pace: f64,
    /// The offer.
    ticket: TicketId,
    /// When it got its slot.
    started: MonoTime,
}

/// How long a request holds a slot, learned from those that did.
#[derive(Debug)]
pub(crate) struct ServiceEstimate {
    /// Requests that hold a slot. Its capacity is set once, so that admission allocates nothing.
    open: Vec<OpenRun>,
    /// Requests that have to be open before their silence says anything: with few, those left are
    /// likely long ones.
    stall_count: usize,
    /// When a request last ended, or began with none open.
    ended: MonoTime,
    /// Recent mean, in microseconds; zero until the first request ended.
    recent_us: f64,
    /// Mean over more requests, in microseconds.
    long_us: f64,
    /// The mean on an undisturbed day, in microseconds; never far above `recent_us`.
    baseline_us: f64,
    /// Mean of the last few, in microseconds.
    fast_us: f64,
    /// Requests that ended well, up to [`BASELINE_COUNT`].
    count: u32,
    /// Recent share of failures, from 0 to 1.
    failed_share: f64,
    /// How long each kind of request takes.
    kinds: BTreeMap<u64, KindMean>,
    /// How long work takes as a multiple of the usual time.
    pace: WorkPace,
}

impl ServiceEstimate {
    /// An estimate that has seen nothing, for at most `slots` open runs.
    pub(crate) fn new(slots: u32) -> Self {
        Self {
            open: Vec::with_capacity(slots as usize),
            stall_count: (slots as usize).div_ceil(2),
            ended: MonoTime::ZERO,
            recent_us: 0.0,
            long_us: 0.0,
            baseline_us: 0.0,
            fast_us: 0.0,
            count: 0,
            failed_share: 0.0,
            kinds: BTreeMap::new(),
            pace: WorkPace::new(),
        }
    }

    /// The backend server says how long work takes now, as a multiple of the usual time.
    pub(crate) fn set_pace(&mut self, now: MonoTime, pace: f64) {
        self.pace.learn(now, pace);
    }

    /// How long work takes now as a multiple of the usual time, `None` when that isn't known.
    pub(crate) fn pace(&self, now: MonoTime) -> Option<f64> {
        self.pace.now(now)
    }

    /// How long work takes now.
    pub(crate) fn work_pace(&mut self) -> &mut WorkPace {
        &mut self.pace
    }

    /// How long work takes now.
    pub(crate) fn pace_view(&self) -> &WorkPace {
        &self.pace
    }

    /// The pace that was last told, and when.
    pub(crate) fn last_pace(&self) -> Option<(f64, MonoTime)> {
        self.pace.told()
    }

    /// Expected time of a request of this kind that begins now, in microseconds.
    pub(crate) fn expected_us(&self, now: MonoTime, kind: u64) -> f64 {
        self.usual_us(now, kind) * self.pace(now).unwrap_or(1.0)
    }

    /// Expected time of a request of this kind in microseconds, when it begins as soon as that is best.
    pub(crate) fn run_us(&self, now: MonoTime, kind: u64) -> f64 {
        let usual_us = self.usual_us(now, kind);
        self.pace.run_us(now, usual_us)
    }

    /// What the VM's neighbours cost a request of this kind that would begin now.
    pub(crate) fn disturbance(&self, now: MonoTime, kind: u64) -> Disturbance {
        self.pace.disturbance(now, self.usual_us(now, kind))
    }

    /// Whether requests of this kind ended before.
    pub(crate) fn knows(&self, kind: u64) -> bool {
        self.kinds.contains_key(&kind)
    }

    /// Expected time of a request of this kind at the usual pace of work, in microseconds.
    fn usual_us(&self, now: MonoTime, kind: u64) -> f64 {
        let known = self.kinds.get(&kind);
        known.map_or_else(|| self.mean_us(now), |known| known.mean_us)
    }

    /// Requests that hold a slot.
    pub(crate) fn open_count(&self) -> u32 {
        self.open.len() as u32
    }

    /// A request got a slot.
    pub(crate) fn start(&mut self, now: MonoTime, ticket: TicketId, kind: u64) {
        if self.open.is_empty() {
            self.ended = now;
        }
        self.open.push(OpenRun {
            kind,
            pace: self.pace(now).unwrap_or(1.0),
            ticket,
            started: now,
        });
    }

    /// A request gave its slot back. `None` for an unknown ticket.
    pub(crate) fn stop(&mut self, now: MonoTime, ticket: TicketId) -> Option<EndedRun> {
        let index = self.open.iter().position(|run| run.ticket == ticket)?;
        let run = self.open.swap_remove(index);
        self.ended = now;
        Some(EndedRun {
            kind: run.kind,
            held_us: now.since(run.started).as_micros() as f64 / run.pace,
        })
    }

    /// Learns from a request that ran to its end.
    pub(crate) fn learn(&mut self, ended: EndedRun, is_failure: bool) {
        let failure = if is_failure { 1.0 } else { 0.0 };
        self.failed_share += (failure - self.failed_share) * FAILURE_WEIGHT;
        if is_failure {
            return;
        }
        let held_us = ended.held_us;
        self.learn_kind(ended);
        self.count = (self.count + 1).min(BASELINE_COUNT);
        let weight = RECENT_WEIGHT.max(1.0 / f64::from(self.count));
        self.recent_us += (held_us - self.recent_us) * weight;
        let long_weight = LONG_WEIGHT.max(1.0 / f64::from(self.count));
        self.long_us += (held_us - self.long_us) * long_weight;
        self.fast_us += (held_us - self.fast_us) * FAST_WEIGHT;
        self.learn_baseline();
    }

    /// Learns how long a kind takes.
    fn learn_kind(&mut self, ended: EndedRun) {
        let is_new = !self.kinds.contains_key(&ended.kind);
        if ended.kind == 0 || (is_new && self.kinds.len() >= MAX_KINDS) {
            return;
        }
        let known = self.kinds.entry(ended.kind).or_default();
        known.count = known.count.saturating_add(1);
        let weight = KIND_WEIGHT.max(1.0 / f64::from(known.count));
        known.mean_us += (ended.held_us - known.mean_us) * weight;
    }

    /// Follows a falling mean and forgets slowly.
    fn learn_baseline(&mut self) {
        if self.count < BASELINE_COUNT {
            self.baseline_us = self.long_us;
            return;
        }
        let rate = if self.long_us < self.baseline_us {
            BASELINE_FALL
        } else {
            BASELINE_RISE
        };
        self.baseline_us += (self.long_us - self.baseline_us) * rate;
    }

    /// Mean time that a request holds a slot, at the usual pace of work, in microseconds.
    ///
    /// Requests that are still running count too: when none ends for far longer than usual, the
    /// mean of those that ended is out of date.
    pub(crate) fn mean_us(&self, now: MonoTime) -> f64 {
        let silence_us = now.since(self.ended).as_micros() as f64;
        let implied_us = silence_us * self.open.len() as f64;
        let is_stalled = self.open.len() >= self.stall_count
            && self.recent_us > 0.0
            && implied_us > STALL_ENDS * self.recent_us;
        let mean_us = if self.fast_us > JUMP_FACTOR * self.recent_us {
            self.fast_us
        } else {
            self.recent_us
        };
        if is_stalled {
            implied_us.max(mean_us)
        } else {
            mean_us
        }
    }

    /// When the backend server has stalled unless a request ends before, `None` while too few run
    /// to tell.
    pub(crate) fn stall_time(&self) -> Option<MonoTime> {
        if self.open.len() < self.stall_count || self.recent_us <= 0.0 {
            return None;
        }
        let silence_us = STALL_ENDS * self.recent_us / self.open.len() as f64;
        Some(self.ended + Duration::from_micros(silence_us as u64 + 1))
    }

    /// How much longer than on an undisturbed day a request takes at a straggler, in
    /// microseconds; zero for a target that isn't one.
    pub(crate) fn straggler_us(&self, now: MonoTime) -> f64 {
        let mean_us = self.mean_us(now);
        if mean_us > STRAGGLER_FACTOR * self.baseline_us {
            mean_us - self.baseline_us
        } else {
            0.0
        }
    }

    /// Recent mean of those that ended, in microseconds.
    pub(crate) fn recent_us(&self) -> f64 {
        self.recent_us
    }

    /// How much slower requests are than on an undisturbed day; 1 for no slower.
    pub(crate) fn slowdown(&self) -> f64 {
        if self.baseline_us <= 0.0 {
            return 1.0;
        }
        (self.recent_us / self.baseline_us).max(1.0)
    }

    /// Whether most of what ran lately failed.
    pub(crate) fn is_failing(&self) -> bool {
        self.failed_share >= FAILING_SHARE
    }

    /// Recent share of failures, in 1/1000.
    pub(crate) fn failed_permille(&self) -> u16 {
        (self.failed_share * 1_000.0) as u16
    }
}
