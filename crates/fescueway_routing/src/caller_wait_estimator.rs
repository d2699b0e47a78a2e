//! How long callers of one route wait, and which of them came back.

use std::time::Duration;

/// Relative step of the estimate for one request.
const STEP: f64 = 0.02;

/// Share of the usual time below which a caller has waited before. Callers' own times differ by less.
const RETURNED_SHARE: f64 = 0.8;

/// How long callers of one route wait, learned from what they say.
///
/// A caller that was refused and comes back says how much of its time is left. Its objective counts from
/// its first try, so that far less time than others have tells that part of the objective is over.
///
/// ```
/// # use std::time::Duration;
/// # use fescueway_routing::CallerWaitEstimator;
/// let mut patience = CallerWaitEstimator::default();
/// for _ in 0..10 {
///     assert_eq!(patience.waited(Duration::from_millis(1_000)), Duration::ZERO);
/// }
/// let waited = patience.waited(Duration::from_millis(600));
/// assert_eq!(waited, Duration::from_millis(400));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerWaitEstimator {
    /// A running estimate of the median, in microseconds; zero before the first request.
    usual_us: f64,
}

impl CallerWaitEstimator {
    /// How long a caller has waited before this try that waits for `time_left` more.
    pub fn waited(&mut self, time_left: Duration) -> Duration {
        let left_us = time_left.as_micros() as f64;
        let usual_us = self.usual_us;
        self.learn(left_us);
        if left_us >= RETURNED_SHARE * usual_us {
            return Duration::ZERO;
        }
        Duration::from_micros((usual_us - left_us) as u64)
    }

    /// Follows the median.
    fn learn(&mut self, left_us: f64) {
        if self.usual_us <= 0.0 {
            self.usual_us = left_us;
        } else if left_us > self.usual_us {
            self.usual_us = left_us.min(self.usual_us * (1.0 + STEP));
        } else {
            self.usual_us = left_us.max(self.usual_us * (1.0 - STEP));
        }
    }
}
