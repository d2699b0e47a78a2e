//! Decaying histogram of latencies.

use std::time::Duration;

/// Lower bound of the first bucket, in microseconds.
const FIRST_US: f64 = 100.0;

/// Ratio of the bounds of neighbouring buckets: the precision of a quantile.
const RATIO: f64 = 1.1;

/// Number of buckets: up to 88 s.
const BUCKET_COUNT: usize = 144;

/// Factor by which a sample outweighs the one before it: the last thousand samples count.
const GROWTH: f64 = 1.001;

/// Weight at which all weights are scaled down.
const MAX_WEIGHT: f64 = 1e9;

/// Minimum number of samples for a quantile.
const MIN_SAMPLES: u32 = 20;

/// Decaying histogram of latencies in constant memory.
#[derive(Clone, Debug)]
pub(crate) struct LatencyHistogram {
    /// Weights by bucket; a bucket holds latencies up to [`RATIO`] times its lower bound.
    weights: Vec<f64>,
    /// Weight of the next sample.
    next_weight: f64,
    /// Number of samples, up to [`MIN_SAMPLES`].
    samples: u32,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self {
            weights: vec![0.0; BUCKET_COUNT],
            next_weight: 1.0,
            samples: 0,
        }
    }
}

impl LatencyHistogram {
    /// Records one sample.
    pub(crate) fn observe(&mut self, latency: Duration) {
        let position = (latency.as_micros() as f64 / FIRST_US).max(1.0).ln() / RATIO.ln();
        let bucket = (position as usize).min(BUCKET_COUNT - 1);
        self.weights[bucket] += self.next_weight;
        self.next_weight *= GROWTH;
        self.samples = (self.samples + 1).min(MIN_SAMPLES);
        if self.next_weight > MAX_WEIGHT {
            for weight in &mut self.weights {
                *weight /= self.next_weight;
            }
            self.next_weight = 1.0;
        }
    }

    /// A latency that this share of the samples did not exceed, up to a tenth too long; `None` with
    /// too few samples.
    pub(crate) fn quantile(&self, share: f64) -> Option<Duration> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        let wanted = self.weights.iter().sum::<f64>() * share;
        let mut sum = 0.0;
        let found = self.weights.iter().position(|weight| {
            sum += weight;
            sum >= wanted
        });
        let bucket = found.unwrap_or(BUCKET_COUNT - 1);
        let bound_us = FIRST_US * RATIO.powf(bucket as f64 + 1.0);
        Some(Duration::from_micros(bound_us as u64))
    }
}
