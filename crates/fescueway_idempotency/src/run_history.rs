//! The recent runs of a host.

use std::{collections::BTreeMap, time::Duration};

use fescueway_core::MonoTime;

use crate::RunState;

/// The recent runs of a host, by the serial number of the claim attempt.
///
/// Invariant: a run is kept for longer than any replica keeps its key. So an attempt whose serial
/// number was assigned but is not found here never ran.
#[derive(Debug, Default)]
pub(crate) struct RunHistory {
    /// Runs and when they were granted. Serial numbers increase with time.
    runs: BTreeMap<u64, (RunState, MonoTime)>,
}

impl RunHistory {
    /// Records a granted run, before its request is handed to the backend server.
    pub(crate) fn begin(&mut self, now: MonoTime, serial: u64) {
        self.runs.insert(serial, (RunState::Running, now));
    }

    /// Records the end of a run, or its cancellation before the hand-over.
    pub(crate) fn end(&mut self, serial: u64, state: RunState) {
        if state == RunState::NotRun {
            self.runs.remove(&serial);
        } else if let Some(run) = self.runs.get_mut(&serial) {
            run.0 = state;
        }
    }

    /// The state of an attempt that no longer waits for replicas.
    pub(crate) fn state(&self, serial: u64) -> RunState {
        self.runs.get(&serial).map_or(RunState::NotRun, |run| run.0)
    }

    /// Removes runs that were granted longer ago than `retention`.
    pub(crate) fn expire(&mut self, now: MonoTime, retention: Duration) {
        while let Some(first) = self.runs.first_entry() {
            if now.since(first.get().1) <= retention {
                return;
            }
            first.remove();
        }
    }
}
