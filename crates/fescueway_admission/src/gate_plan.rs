//! Settings of one target's gate.

use std::time::Duration;

/// Settings of one target's gate.
#[derive(Clone, Debug, PartialEq)]
pub struct GatePlan {
    /// Requests that the backend server can run at once. At least one.
    pub slots: u32,
    /// Requests that may wait for each slot.
    pub queue_per_slot: f64,
    /// How long a cold target takes until all its slots are used.
    pub ramp_time: Duration,
}

impl Default for GatePlan {
    fn default() -> Self {
        Self {
            slots: 10,
            queue_per_slot: 0.5,
            ramp_time: Duration::from_secs(2),
        }
    }
}
