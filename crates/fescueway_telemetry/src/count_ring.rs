//! Counts of good and bad requests over sliding windows.

use std::time::Duration;

use fescueway_core::MonoTime;

use crate::WindowCount;

/// Counts of good and bad requests in a ring of time buckets of equal length.
///
/// Invariant: a bucket holds only counts of its own time, however far the clock jumps forward.
#[derive(Clone, Debug)]
pub(crate) struct CountRing {
    /// Length of a bucket in microseconds. Never zero.
    bucket_us: u64,
    /// The bucket of time `t` is at index `t / bucket_us` modulo the number of buckets.
    buckets: Vec<WindowCount>,
    /// Sequence number of the newest bucket, from [`MonoTime::ZERO`].
    newest: u64,
}

impl CountRing {
    /// Creates an empty ring of `count` buckets of length `bucket`.
    pub(crate) fn new(bucket: Duration, count: usize) -> Self {
        Self {
            bucket_us: (bucket.as_micros() as u64).max(1),
            buckets: vec![WindowCount::default(); count.max(1)],
            newest: 0,
        }
    }

    /// Counts one request.
    pub(crate) fn add(&mut self, now: MonoTime, is_good: bool) {
        self.advance(now);
        let index = self.index(self.newest);
        let bucket = &mut self.buckets[index];
        if is_good {
            bucket.good += 1;
        } else {
            bucket.bad += 1;
        }
    }

    /// The sum over the last `window`: the current bucket and the preceding ones, as many in total as
    /// the window holds.
    pub(crate) fn sum(&mut self, now: MonoTime, window: Duration) -> WindowCount {
        let count = (window.as_micros() as u64 / self.bucket_us).max(1);
        self.sum_back(now, 0, count)
    }

    /// The sum over `count` buckets that end `skip` buckets before the newest.
    pub(crate) fn sum_back(&mut self, now: MonoTime, skip: u64, count: u64) -> WindowCount {
        self.advance(now);
        let end = skip.saturating_add(count).min(self.buckets.len() as u64);
        let mut sum = WindowCount::default();
        for back in skip..end {
            if let Some(number) = self.newest.checked_sub(back) {
                sum.add(self.buckets[self.index(number)]);
            }
        }
        sum
    }

    /// Makes the bucket of `now` the newest and clears it and those that were skipped. A time before
    /// the newest bucket is counted in the newest.
    fn advance(&mut self, now: MonoTime) {
        let target = now.as_micros() / self.bucket_us;
        let skipped = target.saturating_sub(self.newest);
        for step in 1..=skipped.min(self.buckets.len() as u64) {
            let index = self.index(self.newest + step);
            self.buckets[index] = WindowCount::default();
        }
        self.newest = self.newest.max(target);
    }

    /// The index of a bucket in the ring.
    fn index(&self, number: u64) -> usize {
        (number % self.buckets.len() as u64) as usize
    }
}
