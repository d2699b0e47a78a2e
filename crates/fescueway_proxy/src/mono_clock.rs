//! The process's monotonic clock.

use fescueway_core::MonoTime;
use tokio::time::Instant;

/// Converts tokio's clock, which tests can pause, to [`MonoTime`]. Cheap to copy.
#[derive(Clone, Copy, Debug)]
pub struct MonoClock {
    /// The instant of [`MonoTime::ZERO`].
    start: Instant,
}

impl MonoClock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The time since the start.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        MonoTime::ZERO + self.start.elapsed()
    }

    /// The instant of `time` on tokio's clock.
    #[must_use]
    pub fn instant(&self, time: MonoTime) -> Instant {
        self.start + time.since(MonoTime::ZERO)
    }
}
