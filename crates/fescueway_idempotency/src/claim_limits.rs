//! Limits of claims.

use std::time::Duration;

/// Limits of claims.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimLimits {
    /// How long a key is remembered after its claim.
    pub retention: Duration,
    /// A claim that isn't granted within this long of the first ask is given up.
    pub claim_timeout: Duration,
    /// A replica that is absent for this long is replaced by the other one.
    pub replica_timeout: Duration,
    /// Replicas that are replaced at once are spread over this long beyond that patience, as a lost
    /// failure domain takes hundreds and the store writes a few hundred records a second.
    pub takeover_spread: Duration,
    /// When both replicas are absent for this long, a third node recovers the partition.
    pub recovery_timeout: Duration,
    /// A partition whose hosts keep unequally many moves this long after its last change, once or
    /// twice that: hosts that were lost together come back, and the moves are spread.
    pub rebalance_delay: Duration,
    /// Shortest time between two calls of the store for one partition.
    pub store_call_interval: Duration,
    /// Keys held for one partition. A claim above it is refused; nothing is evicted.
    pub max_keys: usize,
}

impl Default for ClaimLimits {
    fn default() -> Self {
        Self {
            retention: Duration::from_hours(24),
            claim_timeout: Duration::from_secs(2),
            replica_timeout: Duration::from_secs(2),
            takeover_spread: Duration::from_secs(1),
            recovery_timeout: Duration::from_secs(30),
            rebalance_delay: Duration::from_secs(30),
            store_call_interval: Duration::from_secs(1),
            max_keys: 1 << 20,
        }
    }
}

impl ClaimLimits {
    /// Longest time for which a replica serves on without hearing from the store that its record
    /// still stands.
    #[must_use]
    pub fn confirmation_validity(&self) -> Duration {
        self.retention / 2
    }

    /// How often a replica asks the store whether its record still stands.
    #[must_use]
    pub fn confirmation_interval(&self) -> Duration {
        self.retention / 8
    }

    /// How long a replica remembers a key: a run may begin this long after its claim.
    #[must_use]
    pub fn key_retention(&self) -> Duration {
        self.retention + self.claim_timeout
    }

    /// How long a partition refuses keys that it doesn't know after both replicas were lost.
    ///
    /// By then a lost replica that lives on out of reach has stopped by itself, and every key
    /// that it granted until then is past its retention.
    #[must_use]
    pub fn recovery_wait(&self) -> Duration {
        self.confirmation_validity() + self.key_retention()
    }

    /// How long a host remembers its own runs: longer than any replica remembers their keys.
    #[must_use]
    pub fn run_retention(&self) -> Duration {
        self.retention * 4
    }
}
