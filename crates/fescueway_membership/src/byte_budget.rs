//! A token bucket for the bytes of rumors and repairs.

use fescueway_core::MonoTime;

/// Bytes that a node may send for rumors and repairs, in bytes per second.
const REFILL_PER_S: f64 = 700.0;

/// Bytes that may be saved up for a burst.
const BURST: f64 = 24_000.0;

/// A token bucket for the bytes of rumors and repairs; pings and answers are outside of it.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    /// Bytes that may be sent now. At most [`BURST`].
    tokens: f64,
    refilled_at: MonoTime,
}

impl ByteBudget {
    pub const fn new(now: MonoTime) -> Self {
        Self {
            tokens: BURST,
            refilled_at: now,
        }
    }

    /// Bytes that may be sent now.
    pub fn available(&mut self, now: MonoTime) -> usize {
        let elapsed = now.since(self.refilled_at);
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed.as_secs_f64() * REFILL_PER_S).min(BURST);
        self.tokens.max(0.0) as usize
    }

    /// Takes `bytes`, also below zero: what was sent is paid for later.
    pub fn charge(&mut self, bytes: usize) {
        self.tokens -= bytes as f64;
    }
}
