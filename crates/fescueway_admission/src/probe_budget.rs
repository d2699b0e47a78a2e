//! Limits the backend time that probes take.

use std::time::Duration;

use fescueway_core::MonoTime;

/// Shortest window over which the budget is enforced, in seconds.
const MIN_WINDOW_S: f64 = 1.0;

/// Share of the budget at which the bucket refills. The rest of the shortest window's budget is the
/// capacity, so one probe may use it at once.
const REFILL_SHARE: f64 = 0.5;

/// A token bucket of backend time for the probes of one target.
///
/// A probe withdraws its timeout from the bucket before it starts and returns the unused part when
/// it ends. One probe runs at a time.
///
/// Invariant: in every window of a second or more, probes take no more than the budget times the
/// window's length. It holds because the bucket starts empty (also after a restart), never holds
/// more than half of a second's budget, refills at half the budget, and doesn't refill while a
/// probe runs.
///
/// ```
/// # use std::time::Duration;
/// # use fescueway_admission::ProbeBudget;
/// # use fescueway_core::MonoTime;
/// let mut budget = ProbeBudget::new(MonoTime::ZERO, 12.0, Duration::from_millis(5));
/// assert_eq!(budget.begin(MonoTime::ZERO), None);
/// let later = MonoTime::ZERO + Duration::from_secs(1);
/// assert_eq!(budget.begin(later), Some(Duration::from_millis(5)));
/// budget.end(later + Duration::from_millis(2));
/// ```
#[derive(Clone, Debug)]
pub struct ProbeBudget {
    /// Refill rate, in microseconds of backend time per microsecond.
    refill_rate: f64,
    /// Capacity of the bucket, in microseconds of backend time.
    capacity_us: f64,
    /// Timeout of a probe, in microseconds. Never above the capacity.
    timeout_us: f64,
    /// Tokens in the bucket, in microseconds of backend time. Below zero after an overrun.
    tokens_us: f64,
    /// When `tokens_us` was last updated.
    updated_at: MonoTime,
    /// When the running probe began.
    running_since: Option<MonoTime>,
}

impl ProbeBudget {
    /// Creates an empty bucket for `budget_ms_per_s` milliseconds of backend time per second.
    ///
    /// A probe is cut off after `timeout`, or after half of a second's budget when that is less.
    #[must_use]
    pub fn new(now: MonoTime, budget_ms_per_s: f64, timeout: Duration) -> Self {
        let micros_per_s = budget_ms_per_s.max(0.0) * 1e3;
        let capacity_us = micros_per_s * MIN_WINDOW_S * (1.0 - REFILL_SHARE);
        Self {
            refill_rate: micros_per_s * REFILL_SHARE / 1e6,
            capacity_us,
            timeout_us: capacity_us.min(timeout.as_micros() as f64).floor(),
            tokens_us: 0.0,
            updated_at: now,
            running_since: None,
        }
    }

    /// Begins a probe if the budget allows one. Returns its timeout.
    pub fn begin(&mut self, now: MonoTime) -> Option<Duration> {
        self.refill(now);
        if self.timeout_us < 1.0 || self.running_since.is_some() || self.tokens_us < self.timeout_us
        {
            return None;
        }
        self.tokens_us -= self.timeout_us;
        self.running_since = Some(now);
        Some(Duration::from_micros(self.timeout_us as u64))
    }

    /// Ends the running probe, after its answer or its timeout. Returns the time charged for it.
    pub fn end(&mut self, now: MonoTime) -> Duration {
        let Some(since) = self.running_since.take() else {
            return Duration::ZERO;
        };
        let spent = now.since(since);
        self.updated_at = now;
        // If this process was paused, the probe may exceed its timeout. The bucket then goes below
        // zero and has to refill before the next probe.
        self.tokens_us += self.timeout_us - spent.as_micros() as f64;
        spent
    }

    /// When the budget allows the next probe, unless one runs. `None` when it never does.
    #[must_use]
    pub fn next_begin(&self) -> Option<MonoTime> {
        if self.timeout_us < 1.0 {
            return None;
        }
        let missing_us = (self.timeout_us - self.tokens_us).max(0.0);
        // One extra microsecond compensates for rounding.
        let wait_us = (missing_us / self.refill_rate).ceil() + 1.0;
        Some(self.updated_at + Duration::from_micros(wait_us as u64))
    }

    /// Adds the tokens for the time since the last update, unless a probe runs.
    fn refill(&mut self, now: MonoTime) {
        if self.running_since.is_some() {
            return;
        }
        let elapsed_us = now.since(self.updated_at).as_micros() as f64;
        let filled = self.tokens_us + elapsed_us * self.refill_rate;
        self.tokens_us = filled.min(self.capacity_us);
        self.updated_at = self.updated_at.max(now);
    }
}
