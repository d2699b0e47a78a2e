//! Estimates the current rate of events.

use fescueway_core::MonoTime;

/// Time constant of the estimate in seconds. It is several times the time for which tokens are fetched in
/// advance, so that one burst doesn't fetch many.
const TIME_CONSTANT_S: f32 = 1.0;

/// Estimates the current rate of events by an exponentially weighted average.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    /// Events per second at `updated_at`.
    per_s: f32,
    /// Time of the last event.
    updated_at: MonoTime,
}

impl DemandMeter {
    /// Records `count` events.
    pub fn record(&mut self, now: MonoTime, count: u32) {
        if count > 0 {
            self.per_s = self.per_s(now) + count as f32 / TIME_CONSTANT_S;
            self.updated_at = now;
        }
    }

    /// Events per second.
    #[must_use]
    pub fn per_s(&self, now: MonoTime) -> f32 {
        let age = now.since(self.updated_at).as_secs_f32();
        self.per_s * (-age / TIME_CONSTANT_S).exp()
    }
}
