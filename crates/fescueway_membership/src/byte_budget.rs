//! A token bucket that limits the bytes sent.

use fescueway_core::{MonoTime, TokenBucket};

/// A token bucket that limits the bytes sent.
#[derive(Clone, Debug)]
pub struct ByteBudget(TokenBucket);

impl ByteBudget {
    /// Budget for rumors. Pings and acks without rumors are not charged.
    pub const fn for_rumors(now: MonoTime) -> Self {
        Self(TokenBucket::full(now, 24_000.0, 700.0))
    }

    /// Budget for repair traffic: anti-entropy exchanges and the pages sent to joining nodes.
    pub const fn for_repairs(now: MonoTime) -> Self {
        Self(TokenBucket::full(now, 256_000.0, 500.0))
    }

    /// Bytes that may be sent now.
    pub fn available(&mut self, now: MonoTime) -> usize {
        self.0.available(now).max(0.0) as usize
    }

    /// Takes `bytes` from the budget, which may become negative; later sends wait until it has
    /// refilled.
    pub const fn charge(&mut self, bytes: usize) {
        self.0.charge(bytes as f64);
    }
}
