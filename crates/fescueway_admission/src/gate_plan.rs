//! Settings of one target's gate.

use std::time::Duration;

/// Settings of one target's gate.
#[derive(Clone, Debug, PartialEq)]
pub struct GatePlan {
    /// Requests that the backend server can run at once. At least one.
    pub slots: u32,
    /// Share of the slots that are used at most, above 0 and at most 1: some backend servers are slower
    /// when they are nearly full.
    pub slot_share: f64,
    /// Requests that may wait for each slot.
    pub queue_per_slot: f64,
    /// How long a cold target takes until all its slots are used.
    pub ramp_time: Duration,
}

impl GatePlan {
    /// Requests that run at once at most. At least one.
    #[must_use]
    pub fn max_running(&self) -> u32 {
        ((f64::from(self.slots) * self.slot_share) as u32).max(1)
    }
}

impl Default for GatePlan {
    fn default() -> Self {
        Self {
            slots: 10,
            slot_share: 1.0,
            queue_per_slot: 0.5,
            ramp_time: Duration::from_secs(2),
        }
    }
}
