//! Which fault is on when.

use std::time::Duration;

/// What happens to the site at a point of the schedule.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultStep {
    /// The first backend server of the first service drains.
    Drain,
    /// It takes work again.
    Undrain,
    /// The second backend server of the first service turns ten times slower.
    Slow,
    /// It is as fast as before.
    Recover,
    /// The first backend server of the second service is killed.
    Kill,
    /// Another one takes its place.
    Replace,
    /// The store goes down.
    StoreDown,
    /// The store is back.
    StoreUp,
}

impl FaultStep {
    /// What to tell the person who watches.
    pub fn title(self) -> &'static str {
        match self {
            Self::Drain => "a backend server drains",
            Self::Undrain => "it takes work again",
            Self::Slow => "a backend server turns ten times slower",
            Self::Recover => "it is as fast as before",
            Self::Kill => "a backend server is killed",
            Self::Replace => "another takes its place",
            Self::StoreDown => "the store goes down",
            Self::StoreUp => "the store is back",
        }
    }
}

/// The steps in order, each with the share of the run at which it is due.
const STEPS: [(f64, FaultStep); 8] = [
    (0.12, FaultStep::Drain),
    (0.27, FaultStep::Undrain),
    (0.33, FaultStep::Slow),
    (0.48, FaultStep::Recover),
    (0.55, FaultStep::Kill),
    (0.65, FaultStep::Replace),
    (0.72, FaultStep::StoreDown),
    (0.87, FaultStep::StoreUp),
];

/// Which fault is on when.
#[derive(Clone, Copy, Debug)]
pub struct FaultSchedule {
    /// Length of the run.
    length: Duration,
    /// Steps that were taken.
    taken: usize,
}

impl FaultSchedule {
    /// A schedule over a run of this length.
    pub fn new(length: Duration) -> Self {
        Self { length, taken: 0 }
    }

    /// The next step when it is due at `elapsed`.
    pub fn due(&mut self, elapsed: Duration) -> Option<FaultStep> {
        let &(share, step) = STEPS.get(self.taken)?;
        if elapsed < self.length.mul_f64(share) {
            return None;
        }
        self.taken += 1;
        Some(step)
    }

    /// Whether a drain is the only fault that is on.
    pub fn is_draining(&self) -> bool {
        self.taken == 1
    }
}
