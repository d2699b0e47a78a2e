//! Estimates how long a caller has already waited, from the time that its request has left.

use std::time::Duration;

/// Relative step of the median estimate per request.
const STEP: f64 = 0.02;

/// Requests with less than this share of the median time left are taken for retries by the caller.
/// The timeouts of different callers differ by less.
const RETRIED_SHARE: f64 = 0.8;

/// Estimates how long a caller of one route has already waited in earlier tries.
///
/// A caller that retries after a refusal states how much of its time is left. Its objective counts
/// from its first try, so much less time left than the median means that part of the objective is
/// used up.
///
/// ```
/// # use std::time::Duration;
/// # use fescueway_routing::CallerWaitEstimator;
/// let mut estimator = CallerWaitEstimator::default();
/// for _ in 0..10 {
///     assert_eq!(estimator.waited(Duration::from_millis(1_000)), Duration::ZERO);
/// }
/// let waited = estimator.waited(Duration::from_millis(600));
/// assert_eq!(waited, Duration::from_millis(400));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerWaitEstimator {
    /// Running estimate of the median time left, in microseconds; zero before the first request.
    median_us: f64,
}

impl CallerWaitEstimator {
    /// Records a request that has `time_left`, and returns how long its caller has already waited:
    /// zero for a first try.
    pub fn waited(&mut self, time_left: Duration) -> Duration {
        let left_us = time_left.as_micros() as f64;
        let median_us = self.median_us;
        self.observe(left_us);
        if left_us >= RETRIED_SHARE * median_us {
            return Duration::ZERO;
        }
        Duration::from_micros((median_us - left_us) as u64)
    }

    /// Moves the median estimate towards one sample, by a bounded step.
    fn observe(&mut self, left_us: f64) {
        if self.median_us <= 0.0 {
            self.median_us = left_us;
        } else if left_us > self.median_us {
            self.median_us = left_us.min(self.median_us * (1.0 + STEP));
        } else {
            self.median_us = left_us.max(self.median_us * (1.0 - STEP));
        }
    }
}
