//! A budget that refills with time.

use std::time::Duration;

use crate::MonoTime;

/// A budget that refills with time, up to what may be saved up.
///
/// ```
/// # use std::time::Duration;
/// # use fescueway_core::{MonoTime, TokenBucket};
/// // Two at once, and one more every 500 ms.
/// let mut bucket = TokenBucket::full(MonoTime::ZERO, 2.0, 2.0);
/// assert!(bucket.try_take(MonoTime::ZERO).is_ok());
/// assert!(bucket.try_take(MonoTime::ZERO).is_ok());
/// let opens_at = bucket.try_take(MonoTime::ZERO).unwrap_err();
/// assert_eq!(opens_at, MonoTime::ZERO + Duration::from_millis(500));
/// ```
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Tokens in hand, at most `burst`. Below zero when more was charged than was there.
    tokens: f64,
    /// Tokens that may be saved up.
    burst: f64,
    /// Tokens per second.
    refill_per_s: f64,
    refilled_at: MonoTime,
}

impl TokenBucket {
    /// A bucket that holds `burst` tokens and refills at `refill_per_s`, which is above zero.
    #[must_use]
    pub const fn full(now: MonoTime, burst: f64, refill_per_s: f64) -> Self {
        Self {
            tokens: burst,
            burst,
            refill_per_s,
            refilled_at: now,
        }
    }

    /// Takes the burst and the rate of `other`, and keeps its tokens.
    pub const fn set_rate(&mut self, other: &Self) {
        self.burst = other.burst;
        self.refill_per_s = other.refill_per_s;
    }

    /// Tokens in hand; below zero when more was charged than was there.
    pub fn available(&mut self, now: MonoTime) -> f64 {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed * self.refill_per_s).min(self.burst);
        self.tokens
    }

    /// Drops all tokens above `most`.
    pub const fn cap(&mut self, most: f64) {
        self.tokens = self.tokens.min(most);
    }

    /// Takes tokens, also below zero: what was spent is paid for later.
    pub const fn charge(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }

    /// Takes one token.
    ///
    /// # Errors
    /// When one will be in hand, if none is now.
    pub fn try_take(&mut self, now: MonoTime) -> Result<(), MonoTime> {
        let available = self.available(now);
        if available >= 1.0 {
            self.charge(1.0);
            return Ok(());
        }
        let wait = (1.0 - available) / self.refill_per_s;
        Err(now + Duration::from_secs_f64(wait))
    }
}
