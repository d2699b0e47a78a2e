//! Time and size limits of claims.

use std::time::Duration;

/// Time and size limits of claims.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimLimits {
    /// How long a key is kept after its claim.
    pub retention: Duration,
    /// A claim that isn't granted within this time of its start fails.
    pub claim_timeout: Duration,
    /// The other replica replaces one that is absent for this long.
    pub replica_timeout: Duration,
    /// Takeovers are spread over this time after [`Self::replica_timeout`]: a lost failure domain
    /// causes hundreds at once, and the store writes a few hundred records a second.
    pub takeover_spread: Duration,
    /// After both replicas are absent for this long, a third node recovers the partition.
    pub recovery_timeout: Duration,
    /// A partition is rebalanced no earlier than once to twice this delay after its last change.
    /// Hosts that were lost together may come back meanwhile, and the moves are spread over time.
    pub rebalance_delay: Duration,
    /// Minimum time between two store calls for one partition.
    pub store_call_interval: Duration,
    /// Maximum number of keys of one partition. Further claims are refused; no key is evicted.
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
    /// How long a replica may keep serving after the store last confirmed that its record is
    /// current.
    #[must_use]
    pub fn confirmation_validity(&self) -> Duration {
        self.retention / 2
    }

    /// How often a replica checks with the store that its record is current.
    #[must_use]
    pub fn confirmation_interval(&self) -> Duration {
        self.retention / 8
    }

    /// How long a replica keeps a key: a run may begin [`Self::claim_timeout`] after its claim.
    #[must_use]
    pub fn key_retention(&self) -> Duration {
        self.retention + self.claim_timeout
    }

    /// How long a partition refuses all claims after both replicas and their keys were lost.
    ///
    /// By then a lost replica that is only unreachable has stopped granting by itself, and every
    /// key that it granted until then has expired.
    #[must_use]
    pub fn recovery_wait(&self) -> Duration {
        self.confirmation_validity() + self.key_retention()
    }

    /// How long a host keeps its own runs: longer than any replica keeps their keys.
    #[must_use]
    pub fn run_retention(&self) -> Duration {
        self.retention * 4
    }
}
