//! Slow start: a newly started target gets its full share of work only after a ramp.

use std::time::Duration;

use fescueway_core::MonoTime;

/// Share of the slots that a newly started target may use at first.
const INITIAL_SHARE: f64 = 0.3;

/// Slow-start ramp of one target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowStart {
    /// When the target started.
    started_at: MonoTime,
    /// Duration of the ramp.
    ramp_time: Duration,
}

impl SlowStart {
    /// Creates a ramp that begins at `started_at`.
    pub(crate) fn new(started_at: MonoTime, ramp_time: Duration) -> Self {
        Self {
            started_at,
            ramp_time,
        }
    }

    /// Share of the slots that may be used at `now`, above 0 and at most 1.
    pub(crate) fn share(&self, now: MonoTime) -> f64 {
        let ramp = self.ramp_time.as_secs_f64();
        if ramp <= 0.0 {
            return 1.0;
        }
        let progress = now.since(self.started_at).as_secs_f64() / ramp;
        (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * progress).min(1.0)
    }
}
