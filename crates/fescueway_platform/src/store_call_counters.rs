//! Counters of the calls to the store.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::StoreCallKind;

/// Counters of the calls to the store since the client was created, by kind.
#[derive(Debug, Default)]
pub(crate) struct StoreCallCounters([CallCounters; StoreCallKind::ALL.len()]);

/// Counters of one kind of call.
#[derive(Debug, Default)]
struct CallCounters {
    answered: AtomicU64,
    failed: AtomicU64,
}

/// Number of calls of one kind since the client was created.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreCallCount {
    /// The kind of call.
    pub kind: StoreCallKind,
    /// Successful calls.
    pub answered: u64,
    /// Calls that failed: without a connection, refused, or without a usable answer.
    pub failed: u64,
}

impl StoreCallCounters {
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
