//! A token bucket.

use std::time::Duration;

use crate::MonoTime;

/// A token bucket: it refills at a constant rate up to a burst, and may be overdrawn.
///
/// ```
/// # use std::time::Duration;
/// # use fescueway_core::{MonoTime, TokenBucket};
/// // Two at once, and one more every 500 ms.
/// let mut bucket = TokenBucket::full(MonoTime::ZERO, 2.0, 2.0);
/// assert!(bucket.try_take(MonoTime::ZERO).is_ok());
/// assert!(bucket.try_take(MonoTime::ZERO).is_ok());
/// let available_at = bucket.try_take(MonoTime::ZERO).unwrap_err();
/// assert_eq!(available_at, MonoTime::ZERO + Duration::from_millis(500));
/// ```
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Available tokens, at most `burst`. Negative when overdrawn.
    tokens: f64,
    /// Maximum number of accumulated tokens.
    burst: f64,
    /// Tokens per second.
    refill_per_s: f64,
    refilled_at: MonoTime,
}

impl TokenBucket {
    /// Creates a full bucket that refills at `refill_per_s`, which must be above zero.
    #[must_use]
    pub const fn full(now: MonoTime, burst: f64, refill_per_s: f64) -> Self {
        Self {
            tokens: burst,
            burst,
            refill_per_s,
            refilled_at: now,
        }
    }

    /// Takes over the burst and the rate of `other`, and keeps its own tokens.
    pub const fn set_rate(&mut self, other: &Self) {
        self.burst = other.burst;
        self.refill_per_s = other.refill_per_s;
    }

    /// Refills the bucket and returns the available tokens; negative when overdrawn.
    pub fn available(&mut self, now: MonoTime) -> f64 {
        self.tokens = self.peek(now);
        self.refilled_at = now;
        self.tokens
    }

    /// The tokens that will be available at `now`; negative when overdrawn.
    #[must_use]
    pub fn peek(&self, now: MonoTime) -> f64 {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        (self.tokens + elapsed * self.refill_per_s).min(self.burst)
    }

    /// The time at which `tokens` will have arrived if none is taken before, regardless of the
    /// burst. It is the time of the last refill if they have arrived already.
    #[must_use]
    pub fn time_of(&self, tokens: f64) -> MonoTime {
        let missing = (tokens - self.tokens).max(0.0);
        let wait_us = (missing / self.refill_per_s * 1e6).ceil();
        self.refilled_at + Duration::from_micros(wait_us as u64)
    }

    /// Discards all tokens above `max_tokens`.
    pub const fn cap(&mut self, max_tokens: f64) {
        self.tokens = self.tokens.min(max_tokens);
    }

    /// Takes tokens even if that overdraws the bucket; later refills pay for it.
    pub const fn charge(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// If none is available, returns the time at which one will be.
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
