//! The fixed share of an account's rate that an entry uses without an owner.

use std::time::Duration;

use fescueway_core::MonoTime;

/// Time in which a token of the share has to be used. If tokens were kept, those of all entries together
/// could be used at once. With `KEPT_TOKENS` at all entries together it is longer for an account of a few
/// requests a second, of which most entries would otherwise use none.
const MIN_LIFETIME_S: f64 = 0.4;
const KEPT_TOKENS: f64 = 10.0;
const MAX_LIFETIME_S: f64 = 5.0;

/// The fixed share of an account's rate that an entry uses without an owner.
///
/// Tokens arrive at a constant rate from a random phase on, so that the entries of a fleet, which lose
/// their owner at the same time, don't get their tokens at the same time.
#[derive(Clone, Copy, Debug)]
pub struct FallbackShare {
    /// Time in which a token has to be used.
    lifetime: Duration,
    /// Tokens per second.
    rate_per_s: f64,
    /// Start of the current rate.
    since: MonoTime,
    /// Fraction of a token that had arrived at `since`.
    phase: f64,
    /// Tokens used or expired since.
    used: u64,
}

impl FallbackShare {
    /// Creates a share without a token of an account that may use `account_per_s` requests a second.
    /// `phase` is a random number from 0 to below 1.
    #[must_use]
    pub fn new(now: MonoTime, account_per_s: f64, rate_per_s: f64, phase: f64) -> Self {
        let lifetime_s = MIN_LIFETIME_S + KEPT_TOKENS / account_per_s;
        Self {
            lifetime: Duration::from_secs_f64(lifetime_s.min(MAX_LIFETIME_S)),
            rate_per_s,
            since: now,
            phase,
            used: 0,
        }
    }

    /// Changes the rate.
    pub fn set_rate(&mut self, now: MonoTime, rate_per_s: f64) {
        if (rate_per_s - self.rate_per_s).abs() <= f64::EPSILON * rate_per_s {
            return;
        }
        self.expire(now);
        // Available whole tokens are dropped, since the share may have become smaller.
        let arrived = self.arrived(now);
        *self = Self {
            lifetime: self.lifetime,
            rate_per_s,
            since: now,
            phase: arrived.fract(),
            used: 0,
        };
    }

    /// Takes a token.
    ///
    /// # Errors
    ///
    /// If none is available, returns the time until the next one.
    pub fn try_take(&mut self, now: MonoTime) -> Result<(), Duration> {
        self.expire(now);
        let arrived = self.arrived(now);
        if arrived.floor() as u64 > self.used {
            self.used += 1;
            return Ok(());
        }
        let missing = (self.used + 1) as f64 - arrived;
        let wait = Duration::try_from_secs_f64(missing / self.rate_per_s);
        Err(wait.unwrap_or(Duration::MAX))
    }

    /// Drops tokens that were not used in time.
    fn expire(&mut self, now: MonoTime) {
        let elapsed = now.since(self.since).saturating_sub(self.lifetime);
        let expired = self.phase + elapsed.as_secs_f64() * self.rate_per_s;
        self.used = self.used.max(expired.floor() as u64);
    }

    /// Tokens that have arrived since the start of the rate, including the initial fraction.
    fn arrived(&self, now: MonoTime) -> f64 {
        self.phase + now.since(self.since).as_secs_f64() * self.rate_per_s
    }
}
