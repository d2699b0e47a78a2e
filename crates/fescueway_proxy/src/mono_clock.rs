//! The process's monotonic clock, as the decision crates count it.

use fescueway_core::MonoTime;
use tokio::time::Instant;

/// Reads [`MonoTime`] off tokio's clock, so that tests may pause it. Cheap to copy.
#[derive(Clone, Copy, Debug)]
pub struct MonoClock {
    /// Where [`MonoTime::ZERO`] lies.
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
