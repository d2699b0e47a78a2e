//! Number of events in a sliding window.

use std::time::Duration;

use fescueway_core::MonoTime;

/// Length of a bucket in microseconds.
const BUCKET_US: u64 = 50_000;

/// Longest window.
pub(crate) const MAX_WINDOW: Duration = Duration::from_secs(10);

/// Number of buckets: those of the longest window, and the one that has only partly left it.
const BUCKET_COUNT: usize = MAX_WINDOW.as_micros() as usize / BUCKET_US as usize + 1;

/// Number of events in a sliding window, in constant memory. Either bound is exact to a bucket.
#[derive(Clone, Debug)]
pub(crate) struct SlidingCount {
    /// Events by bucket of time; the bucket of time `t` is at `t / BUCKET_US` modulo the length.
    counts: Vec<u32>,
    /// Sequence number of the newest bucket.
    newest: u64,
}

impl Default for SlidingCount {
    fn default() -> Self {
        Self {
            counts: vec![0; BUCKET_COUNT],
            newest: 0,
        }
    }
}

impl SlidingCount {
    /// Counts an event.
    pub(crate) fn add(&mut self, now: MonoTime) {
        self.advance(now);
        let index = index(self.newest);
        self.counts[index] = self.counts[index].saturating_add(1);
    }

    /// No fewer than the events within the last `window`.
    pub(crate) fn upper_bound(&mut self, now: MonoTime, window: Duration) -> u64 {
        self.sum(now, buckets(window) + 1)
    }

    /// No more than the events within the last `window`.
    pub(crate) fn lower_bound(&mut self, now: MonoTime, window: Duration) -> u64 {
        self.sum(now, buckets(window))
    }

    /// Sum of the `count` newest buckets.
    fn sum(&mut self, now: MonoTime, count: u64) -> u64 {
        self.advance(now);
        let oldest = (self.newest + 1).saturating_sub(count);
        let buckets = oldest..=self.newest;
        buckets
            .map(|bucket| u64::from(self.counts[index(bucket)]))
            .sum()
    }

    /// Clears the buckets up to that of `now`.
    fn advance(&mut self, now: MonoTime) {
        let bucket = now.as_micros() / BUCKET_US;
        if bucket <= self.newest {
            return;
        }
        let cleared = bucket.min(self.newest + BUCKET_COUNT as u64);
        for passed in self.newest + 1..=cleared {
            self.counts[index(passed)] = 0;
        }
        self.newest = bucket;
    }
}

/// Number of whole buckets in a window.
fn buckets(window: Duration) -> u64 {
    (window.min(MAX_WINDOW).as_micros() as u64) / BUCKET_US
}

/// Index of a bucket.
fn index(bucket: u64) -> usize {
    (bucket % BUCKET_COUNT as u64) as usize
}
