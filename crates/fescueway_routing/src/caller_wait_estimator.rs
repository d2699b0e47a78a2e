//! Estimates how long a caller has already waited, from the time that its request has left.

use std::time::Duration;

/// Relative step of the median estimate per request.
const STEP: f64 = 0.02;

/// Requests with less than this share of the median time left are taken for retries by the caller.
/// The timeouts of different callers differ by less.
const RETRIED_SHARE: f64 = 0.8;

/// Number of first requests of which the estimate follows the longest time left. After a restart
/// many of them are retries.
const FIRST_REQUESTS: u32 = 16;

/// Estimates how long a caller of one route has already waited in earlier tries.
///
/// A caller that retries after a refusal states how much of its time is left. Its objective counts
/// from its first try, so much less time left than the median means that part of the objective is
/// used up.
///
/// Load pattern: after a loss of all nodes most of the first requests are retries, and nothing is
/// known of the callers yet. Until then they are assumed to wait as long as the route allows.
///
/// ```
/// # use std::time::Duration;
/// # use fescueway_routing::CallerWaitEstimator;
/// let mut estimator = CallerWaitEstimator::new(Duration::from_millis(1_000));
/// for _ in 0..10 {
///     assert_eq!(estimator.waited(Duration::from_millis(1_000)), Duration::ZERO);
/// }
/// let waited = estimator.waited(Duration::from_millis(600));
/// assert_eq!(waited, Duration::from_millis(400));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct CallerWaitEstimator {
    /// Running estimate of the median time left, in microseconds.
    median_us: f64,
    /// Number of requests so far, up to [`FIRST_REQUESTS`].
    count: u32,
}

impl CallerWaitEstimator {
    /// Creates an estimate for the callers of a route that allows requests to take `route_timeout`.
    #[must_use]
    pub fn new(route_timeout: Duration) -> Self {
        Self {
            median_us: route_timeout.as_micros() as f64,
            count: 0,
        }
    }

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

    /// Moves the estimate towards one sample, by a bounded step.
    fn observe(&mut self, left_us: f64) {
        let (lowest_us, highest_us) = if self.count < FIRST_REQUESTS {
            self.count += 1;
            let mean_us = self.median_us + (left_us - self.median_us) / f64::from(self.count + 1);
            (mean_us, f64::INFINITY)
        } else {
            let (down, up) = (1.0 - STEP, 1.0 + STEP);
            (self.median_us * down, self.median_us * up)
        };
        self.median_us = if left_us > self.median_us {
            left_us.min(highest_us)
        } else {
            left_us.max(lowest_us)
        };
    }
}
