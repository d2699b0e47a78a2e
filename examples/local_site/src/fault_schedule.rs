//! The schedule of faults.

use std::time::Duration;

/// A step of the schedule, which starts or ends a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultStep {
    /// Drains the first backend server of the first service.
    Drain,
    /// Ends the drain.
    Undrain,
    /// Makes the second backend server of the first service ten times slower.
    Slow,
    /// Restores its speed.
    Recover,
    /// Kills the first backend server of the second service.
    Kill,
    /// Starts a replacement for it.
    Replace,
    /// Takes the store down.
    StoreDown,
    /// Restores the store.
    StoreUp,
}

impl FaultStep {
    /// The text that is printed when the step is due.
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

/// The steps in order, each with the fraction of the run after which it is due.
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

/// The schedule of faults over a run.
#[derive(Clone, Copy, Debug)]
pub struct FaultSchedule {
    /// Duration of the run.
    duration: Duration,
    /// Number of steps that were returned.
    steps_done: usize,
}

impl FaultSchedule {
    /// Creates a schedule for a run of this duration.
    pub fn new(duration: Duration) -> Self {
        Self {
            duration,
            steps_done: 0,
        }
    }

    /// Returns the next step if it is due at `elapsed`.
    pub fn next_due(&mut self, elapsed: Duration) -> Option<FaultStep> {
        let &(fraction, step) = STEPS.get(self.steps_done)?;
        if elapsed < self.duration.mul_f64(fraction) {
            return None;
        }
        self.steps_done += 1;
        Some(step)
    }

    /// Whether a drain is the only active fault.
    pub fn is_only_drain(&self) -> bool {
        self.steps_done == 1
    }
}
