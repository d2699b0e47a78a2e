//! Running estimate of a latency quantile.

use std::time::Duration;

/// The estimated quantile. An idempotent request without an answer after that long is hedged.
const QUANTILE: f64 = 0.99;

/// Relative step of the estimate per sample.
const STEP: f64 = 0.1;

/// Running estimate of a latency quantile in constant memory.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LatencyQuantile {
    /// The estimate in microseconds, zero before the first sample.
    estimate_us: f64,
}

impl LatencyQuantile {
    /// Records one sample.
    pub(crate) fn observe(&mut self, latency: Duration) {
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
