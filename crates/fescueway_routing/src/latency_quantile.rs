//! A running estimate of one quantile of the latency.

use std::time::Duration;

/// The quantile after which an unanswered request is hedged.
const QUANTILE: f64 = 0.99;

/// Relative step of the estimate for one sample.
const STEP: f64 = 0.1;

/// A running estimate of one quantile of the latency, in constant memory.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LatencyQuantile {
    /// The estimate in microseconds, zero before the first sample.
    estimate_us: f64,
}

impl LatencyQuantile {
    /// Takes in one sample.
    pub(crate) fn learn(&mut self, latency: Duration) {
        let sample_us = latency.as_micros() as f64;
        if self.estimate_us <= 0.0 {
            self.estimate_us = sample_us * 3.0;
        } else if sample_us > self.estimate_us {
            self.estimate_us *= 1.0 + STEP * QUANTILE;
        } else {
            self.estimate_us *= 1.0 - STEP * (1.0 - QUANTILE);
        }
    }

    /// The estimate, `None` before the first sample.
    pub(crate) fn get(self) -> Option<Duration> {
        (self.estimate_us > 0.0).then(|| Duration::from_micros(self.estimate_us as u64))
    }
}
