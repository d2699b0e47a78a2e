//! How much backend time probes may take.

use std::time::Duration;

use fescueway_core::MonoTime;

/// The shortest window over which the budget holds, in seconds.
const MIN_WINDOW_S: f64 = 1.0;

/// The share of the budget that flows in steadily. One probe may take at once what is left of
/// the shortest window's budget.
const REFILL_SHARE: f64 = 0.5;

/// A token bucket of backend time for the probes of one target.
///
/// A probe takes its timeout out of the bucket before it starts, and puts back what it did not
/// use. One probe runs at a time.
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
    /// What flows in, in microseconds of backend time per microsecond.
    refill_rate: f64,
    /// What the bucket holds at most, in microseconds of backend time.
    capacity_us: f64,
    /// What a probe takes at most, in microseconds. Never above the capacity.
    timeout_us: f64,
    /// What the bucket holds, in microseconds of backend time.
    tokens_us: f64,
    /// When the bucket was last brought up to date.
    updated_at: MonoTime,
    /// When the running probe began.
    running_since: Option<MonoTime>,
}

impl ProbeBudget {
    /// An empty bucket for `budget_ms_per_s` milliseconds of backend time per second.
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

    /// Begins a probe if the budget allows one, and returns after how long to cut it off.
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

    /// The running probe ended, by its answer or by being cut off. Returns what it is charged.
    pub fn end(&mut self, now: MonoTime) -> Duration {
        let Some(since) = self.running_since.take() else {
            return Duration::ZERO;
        };
        let spent = now.since(since);
        self.updated_at = now;
        // After a pause of this process it may seem to have taken longer than its timeout. Then
        // the debt is paid off before the next one.
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
        // One more microsecond makes up for rounding.
        let wait_us = (missing_us / self.refill_rate).ceil() + 1.0;
        Some(self.updated_at + Duration::from_micros(wait_us as u64))
    }

    /// Lets flow in what the time since the last update brings.
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
