//! A point on one machine's clock that keeps counting while the machine is suspended.

use std::{ops::Add, time::Duration};

/// A point on one machine's clock that keeps counting while the machine is suspended, in microseconds
/// since the machine started.
///
/// [`MonoTime`](crate::MonoTime) stops during a suspension, so it can't bound how long something stays
/// valid. Times of different machines must not be compared.
///
/// ```
/// # use std::time::Duration;
/// # use fescueway_core::BootTime;
/// let sent = BootTime::from_micros(1_000_000);
/// assert_eq!(sent.before(Duration::from_millis(400)), BootTime::from_micros(600_000));
/// assert_eq!(sent.since(BootTime::UNKNOWN), Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct BootTime(u64);

impl BootTime {
    /// The time of a clock that can't be read. Nothing is proven at this time.
    pub const UNKNOWN: Self = Self(u64::MAX);

    /// The time `micros` microseconds after the machine started.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Microseconds since the machine started.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time from `earlier` to this point, zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The time `age` before this one, at the earliest the start of the machine.
    #[must_use]
    pub fn before(self, age: Duration) -> Self {
        // Rounded up: a proof must not appear younger than it is.
        let micros = u64::try_from(age.as_nanos().div_ceil(1_000)).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl Add<Duration> for BootTime {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}
