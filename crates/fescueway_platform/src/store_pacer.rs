//! How often one node may call the store.

use std::time::Duration;

use fescueway_core::{MonoTime, TokenBucket};
use rand_core::Rng;

/// Pause after the first failure, before jitter.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause between two tries of an ordinary node while the store doesn't answer, before jitter.
const LONGEST_PAUSE: Duration = Duration::from_secs(30);

/// The same for a watcher: a change that was made meanwhile has to be in force within seconds of the
/// store's return, and watchers are few.
const LONGEST_WATCHER_PAUSE: Duration = Duration::from_secs(2);

/// How often one node may call the store: a budget while it answers, jittered and growing pauses
/// while it doesn't.
///
/// The store takes about 2,000 reads a second for the whole fleet. Ordinary nodes get 0.2 calls a
/// second each, the few watchers of a failure domain 4: with 6,000 nodes and 34 watchers that is
/// at most 1,336 calls a second, whatever they all ask for.
///
/// ```
/// # use fescueway_core::MonoTime;
/// # use fescueway_platform::StorePacer;
/// let mut pacer = StorePacer::for_node(MonoTime::ZERO);
/// assert!(pacer.try_call(MonoTime::ZERO).is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct StorePacer {
    /// Calls that may be made now.
    bucket: TokenBucket,
    /// Failures in a row.
    failures: u32,
    /// Longest pause between two tries while the store doesn't answer, before jitter.
    longest_pause: Duration,
    /// No call before this.
    opens_at: MonoTime,
}

impl StorePacer {
    /// For a node without a part in watching the store.
    #[must_use]
    pub const fn for_node(now: MonoTime) -> Self {
        Self::new(now, 5.0, 0.2, LONGEST_PAUSE)
    }

    /// For a node that watches the store for its failure domain.
    #[must_use]
    pub const fn for_watcher(now: MonoTime) -> Self {
        Self::new(now, 20.0, 4.0, LONGEST_WATCHER_PAUSE)
    }

    const fn new(now: MonoTime, burst: f64, refill_per_s: f64, longest_pause: Duration) -> Self {
        Self {
            bucket: TokenBucket::full(now, burst, refill_per_s),
            failures: 0,
            longest_pause,
            opens_at: now,
        }
    }

    /// Changes the budget to that of `role`, keeping what is known of the store.
    pub const fn set_role(&mut self, role: &Self) {
        self.bucket.set_rate(&role.bucket);
        self.longest_pause = role.longest_pause;
    }

    /// Takes one call from the budget.
    ///
    /// # Errors
    /// When the next call may be tried, if none may be made now.
    pub fn try_call(&mut self, now: MonoTime) -> Result<(), MonoTime> {
        if now < self.opens_at {
            return Err(self.opens_at);
        }
        if self.failures > 0 {
            // Nothing is saved up during an outage, or its end would meet all that was saved.
            self.bucket.available(now);
            self.bucket.cap(1.0);
        }
        self.bucket.try_take(now)
    }

    /// Notes that the store answered.
    pub const fn on_success(&mut self) {
        self.failures = 0;
    }

    /// Notes that the store didn't answer, or refused.
    pub fn on_failure(&mut self, now: MonoTime, random: &mut impl Rng) {
        const MOST_DOUBLINGS: u32 = 6;
        let doublings = self.failures.min(MOST_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let pause = (FIRST_PAUSE * 2_u32.pow(doublings)).min(self.longest_pause);
        let share = f64::from(random.next_u32()) / f64::from(u32::MAX);
        self.opens_at = now + pause.mul_f64(0.5 + share / 2.0);
    }
}
