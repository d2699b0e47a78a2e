//! Settings of one target's gate.

use std::time::Duration;

use crate::WarmupPace;

/// Settings of one target's gate.
#[derive(Clone, Debug, PartialEq)]
pub struct GatePlan {
    /// Number of requests that the backend server can run at once. At least one.
    pub slots: u32,
    /// Largest share of the slots to use, above 0 and at most 1: some backend servers are slower
    /// when nearly all of their slots are in use.
    pub slot_share: f64,
    /// Length of the wait queue per slot.
    pub queue_per_slot: f64,
    /// Duration of the slow-start ramp, until a newly started target may use all of its slots.
    pub ramp_time: Duration,
    /// What the target takes while it is cold; `None` when its starts are not paced then.
    pub warmup: Option<WarmupPace>,
}

impl GatePlan {
    /// Largest number of requests that run at once. At least one.
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
            warmup: None,
        }
    }
}
