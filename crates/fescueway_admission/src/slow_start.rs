//! Slow start: a cold target gets its full share of work only after a while.

use std::time::Duration;

use fescueway_core::MonoTime;

/// Share of the slots that a cold target starts with.
const FIRST_SHARE: f64 = 0.3;

/// The ramp of one cold target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowStart {
    /// When the target started.
    started: MonoTime,
    /// How long the ramp takes.
    ramp_time: Duration,
}

impl SlowStart {
    /// A ramp that begins at `started`.
    pub(crate) fn new(started: MonoTime, ramp_time: Duration) -> Self {
        Self { started, ramp_time }
    }

    /// Share of the slots that may be used at `now`, above 0 and at most 1.
    pub(crate) fn share(&self, now: MonoTime) -> f64 {
        let ramp = self.ramp_time.as_secs_f64();
        if ramp <= 0.0 {
            return 1.0;
        }
        let progress = now.since(self.started).as_secs_f64() / ramp;
        (FIRST_SHARE + (1.0 - FIRST_SHARE) * progress).min(1.0)
    }
}
