//! Evacuation of the failure domain of a gate's target.

use std::time::Duration;

use fescueway_core::{MonoTime, Refusal, RefusalReason};

use super::{GateAction, TargetGate};
use crate::slow_start::SlowStart;

/// Retry delay given while the failure domain is evacuated.
const EVACUATION_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Duration of the ramp after an evacuation. The entries' views are older than the evacuation, so they
/// may all choose its targets at once.
const RETURN_RAMP: Duration = Duration::from_secs(2);

impl TargetGate {
    /// Begins or ends the evacuation of the failure domain. While it lasts, waiting and new offers are
    /// refused and running requests finish. After it the target returns with a ramp, and is asked first
    /// whether it is cold.
    pub fn set_evacuated(&mut self, now: MonoTime, is_evacuated: bool) -> Vec<GateAction> {
        if self.is_evacuated == is_evacuated {
            return Vec::new();
        }
        self.is_evacuated = is_evacuated;
        if is_evacuated {
            self.counts.evacuated += self.queue.len() as u64;
            return self.refuse_waiting(Self::evacuation_refusal());
        }
        let ramp_time = self.plan.ramp_time.max(RETURN_RAMP);
        self.slow_start = SlowStart::new(now, ramp_time);
        self.warmup.doubt(now);
        Vec::new()
    }

    /// Refusal given while the failure domain is evacuated.
    #[must_use]
    pub fn evacuation_refusal() -> Refusal {
        Refusal {
            reason: RefusalReason::DomainEvacuated,
            retry_after: EVACUATION_RETRY_AFTER,
        }
    }
}
