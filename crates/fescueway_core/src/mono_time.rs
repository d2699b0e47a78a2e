//! A point on one process's monotonic clock.

use std::{ops::Add, time::Duration};

/// A point on one process's monotonic clock, in microseconds since that process started.
///
/// Times of different processes must not be compared. The clock may jump ahead after the process
/// was paused, and owners of timers have to tolerate that.
///
/// ```
/// # use std::time::Duration;
/// # use fescueway_core::MonoTime;
/// let start = MonoTime::from_micros(10);
/// let later = start + Duration::from_micros(5);
/// assert_eq!(later.since(start), Duration::from_micros(5));
/// assert_eq!(start.since(later), Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct MonoTime(u64);

impl MonoTime {
    /// The start of the process.
    pub const ZERO: Self = Self(0);

    /// A time that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// The time `micros` microseconds after the process started.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Microseconds since the process started.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time from `earlier` to this point, zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonoTime {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}
