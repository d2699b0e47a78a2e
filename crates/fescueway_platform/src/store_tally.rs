//! How many calls of the store were answered, and how many were not.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::StoreStep;

/// How many calls of the store were answered since the client was made, and how many were not.
#[derive(Debug, Default)]
pub(crate) struct StoreTally([StepTally; StoreStep::ALL.len()]);

/// Calls of one kind.
#[derive(Debug, Default)]
struct StepTally {
    answered: AtomicU64,
    failed: AtomicU64,
}

/// Calls of one kind since the client was made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreCount {
    /// The kind.
    pub step: StoreStep,
    /// Calls that were answered.
    pub answered: u64,
    /// Calls that were refused, or whose answer was lost.
    pub failed: u64,
}

impl StoreTally {
    /// Counts a call.
    pub(crate) fn count(&self, step: StoreStep, is_answered: bool) {
        let tally = &self.0[step as usize];
        let counter = if is_answered {
            &tally.answered
        } else {
            &tally.failed
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// The counts of all kinds.
    pub(crate) fn counts(&self) -> [StoreCount; StoreStep::ALL.len()] {
        StoreStep::ALL.map(|step| {
            let tally = &self.0[step as usize];
            StoreCount {
                step,
                answered: tally.answered.load(Ordering::Relaxed),
                failed: tally.failed.load(Ordering::Relaxed),
            }
        })
    }
}
