//! How many calls of the store were answered, and how many were not.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::StoreCallKind;

/// How many calls of the store were answered since the client was made, and how many were not.
#[derive(Debug, Default)]
pub(crate) struct StoreCallCounters([CallCounters; StoreCallKind::ALL.len()]);

/// Calls of one kind.
#[derive(Debug, Default)]
struct CallCounters {
    answered: AtomicU64,
    failed: AtomicU64,
}

/// Calls of one kind since the client was made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreCallCount {
    /// The kind.
    pub kind: StoreCallKind,
    /// Calls that were answered.
    pub answered: u64,
    /// Calls that were refused, or whose answer was lost.
    pub failed: u64,
}

impl StoreCallCounters {
    /// Counts a call.
    pub(crate) fn count(&self, kind: StoreCallKind, is_answered: bool) {
        let counters = &self.0[kind as usize];
        let counter = if is_answered {
            &counters.answered
        } else {
            &counters.failed
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// The counts of all kinds.
    pub(crate) fn counts(&self) -> [StoreCallCount; StoreCallKind::ALL.len()] {
        StoreCallKind::ALL.map(|kind| {
            let counters = &self.0[kind as usize];
            StoreCallCount {
                kind,
                answered: counters.answered.load(Ordering::Relaxed),
                failed: counters.failed.load(Ordering::Relaxed),
            }
        })
    }
}
