//! What a service's targets take while they are cold.

use std::time::Duration;

use fescueway_core::RateLimit;

/// What a service's targets take while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupPace {
    /// Requests per second that a cold target takes from all nodes together.
    pub rate: RateLimit,
    /// How long a target is cold after its start, unless it states another time.
    pub duration: Duration,
}
