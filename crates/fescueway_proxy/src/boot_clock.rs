//! The machine's clock that keeps counting while the machine is suspended.

use std::time::Duration;

use fescueway_core::BootTime;
use nix::time::{ClockId, clock_gettime};

/// The machine's clock that keeps counting while the machine is suspended, `CLOCK_BOOTTIME`.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// The current time; [`BootTime::UNKNOWN`] if the clock can't be read.
    #[must_use]
    pub fn now() -> BootTime {
        clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(BootTime::UNKNOWN, |time| {
            BootTime::default() + Duration::from(time)
        })
    }
}
