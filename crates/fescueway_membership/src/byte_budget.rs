//! A token bucket for bytes sent.

use fescueway_core::MonoTime;

/// A token bucket for bytes sent.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    /// Bytes that may be sent now. At most `burst`.
    tokens: f64,
    /// Bytes that may be saved up.
    burst: f64,
    /// Bytes per second.
    refill_per_s: f64,
    refilled_at: MonoTime,
}

impl ByteBudget {
    /// For rumors. Pings and answers without rumors are outside of it.
    pub const fn for_rumors(now: MonoTime) -> Self {
        Self::new(now, 24_000.0, 700.0)
    }

    /// For repairs: comparing views, and serving those who join.
    pub const fn for_repairs(now: MonoTime) -> Self {
        Self::new(now, 256_000.0, 500.0)
    }

    const fn new(now: MonoTime, burst: f64, refill_per_s: f64) -> Self {
        Self {
            tokens: burst,
            burst,
            refill_per_s,
            refilled_at: now,
        }
    }

    /// Bytes that may be sent now.
    pub fn available(&mut self, now: MonoTime) -> usize {
        let elapsed = now.since(self.refilled_at);
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.refill_per_s).min(self.burst);
        self.tokens.max(0.0) as usize
    }

    /// Takes `bytes`, also below zero: what was sent is paid for later.
    pub fn charge(&mut self, bytes: usize) {
        self.tokens -= bytes as f64;
    }
}
