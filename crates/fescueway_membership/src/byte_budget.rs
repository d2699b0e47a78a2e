//! A budget of bytes sent.

use fescueway_core::{MonoTime, TokenBucket};

/// A budget of bytes sent.
#[derive(Clone, Debug)]
pub struct ByteBudget(TokenBucket);

impl ByteBudget {
    /// For rumors. Pings and answers without rumors are outside of it.
    pub const fn for_rumors(now: MonoTime) -> Self {
        Self(TokenBucket::full(now, 24_000.0, 700.0))
    }

    /// For repairs: comparing views, and serving those who join.
    pub const fn for_repairs(now: MonoTime) -> Self {
        Self(TokenBucket::full(now, 256_000.0, 500.0))
    }

    /// Bytes that may be sent now.
    pub fn available(&mut self, now: MonoTime) -> usize {
        self.0.available(now).max(0.0) as usize
    }

    /// Takes `bytes`, also below zero: what was sent is paid for later.
    pub const fn charge(&mut self, bytes: usize) {
        self.0.charge(bytes as f64);
    }
}
