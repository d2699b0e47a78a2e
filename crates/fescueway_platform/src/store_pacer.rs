//! Client-side rate limit and backoff for calls to the store.

use std::time::Duration;

use fescueway_core::{MonoTime, TokenBucket};
use rand_core::Rng;

/// Backoff after the first failure, before jitter.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum backoff of an ordinary node, before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// Maximum backoff of a watcher, before jitter. It can be short because watchers are few; a change
/// made during an outage of the store has to be in force within seconds of its recovery.
const MAX_WATCHER_BACKOFF: Duration = Duration::from_secs(1);

/// Limits the rate at which one node calls the store: a token bucket while the store answers, and
/// exponential backoff with jitter while it doesn't.
///
/// The store serves about 2,000 reads a second for the whole fleet. An ordinary node may make 0.2
/// calls a second, a watcher of a failure domain 4. With 6,000 nodes and 136 watchers, that is at
/// most 1,717 calls a second.
///
/// ```
/// # use fescueway_core::MonoTime;
/// # use fescueway_platform::StorePacer;
/// let mut pacer = StorePacer::for_node(MonoTime::ZERO);
/// assert!(pacer.try_call(MonoTime::ZERO).is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct StorePacer {
    /// One token per call.
    bucket: TokenBucket,
    /// Consecutive failures.
    failures: u32,
    /// Maximum backoff, before jitter.
    max_backoff: Duration,
    /// No call is made before this time.
    retry_at: MonoTime,
}

impl StorePacer {
    /// Creates a pacer for a node that does not watch the store.
    #[must_use]
    pub const fn for_node(now: MonoTime) -> Self {
        Self::new(now, 5.0, 0.2, MAX_BACKOFF)
    }

    /// Creates a pacer for a node that watches the store on behalf of its failure domain.
    #[must_use]
    pub const fn for_watcher(now: MonoTime) -> Self {
        Self::new(now, 20.0, 4.0, MAX_WATCHER_BACKOFF)
    }

    const fn new(now: MonoTime, burst: f64, refill_per_s: f64, max_backoff: Duration) -> Self {
        Self {
            bucket: TokenBucket::full(now, burst, refill_per_s),
            failures: 0,
            max_backoff,
            retry_at: now,
        }
    }

    /// Takes over the rate and the maximum backoff of `role`; keeps tokens, failures and backoff.
    pub const fn set_role(&mut self, role: &Self) {
        self.bucket.set_rate(&role.bucket);
        self.max_backoff = role.max_backoff;
    }

    /// Takes the token for one call.
    ///
    /// # Errors
    /// If no call may be made now, returns the time of the next attempt.
    pub fn try_call(&mut self, now: MonoTime) -> Result<(), MonoTime> {
        if now < self.retry_at {
            return Err(self.retry_at);
        }
        if self.failures > 0 {
            // Tokens must not accumulate during an outage: nodes would spend them as a burst when
            // the store recovers.
            self.bucket.available(now);
            self.bucket.cap(1.0);
        }
        self.bucket.try_take(now)
    }

    /// Records that the store answered, and resets the backoff.
    pub const fn on_success(&mut self) {
        self.failures = 0;
    }

    /// Records that the store refused or did not answer, and starts the next backoff.
    pub fn on_failure(&mut self, now: MonoTime, random: &mut impl Rng) {
        const MAX_DOUBLINGS: u32 = 6;
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let backoff = (INITIAL_BACKOFF * 2_u32.pow(doublings)).min(self.max_backoff);
        let jitter = f64::from(random.next_u32()) / f64::from(u32::MAX);
        self.retry_at = now + backoff.mul_f64(0.5 + jitter / 2.0);
    }
}
