//! What a host remembers of its own runs.

use std::{collections::BTreeMap, time::Duration};

use fescueway_core::MonoTime;

use crate::RunState;

/// What a host remembers of its own runs, by the serial number of the try.
///
/// Invariant: a run is remembered for longer than any replica remembers its key. So a serial
/// number that was given out and is not found here never ran.
#[derive(Debug, Default)]
pub(crate) struct RunMemory {
    /// Runs with the time of their grant. Serial numbers grow with time.
    runs: BTreeMap<u64, (RunState, MonoTime)>,
}

impl RunMemory {
    /// A try got its grant and is about to be handed over.
    pub(crate) fn begin(&mut self, now: MonoTime, serial: u64) {
        self.runs.insert(serial, (RunState::Running, now));
    }

    /// A run ended, or was given up before its hand-over.
    pub(crate) fn end(&mut self, serial: u64, state: RunState) {
        if state == RunState::NotRun {
            self.runs.remove(&serial);
        } else if let Some(run) = self.runs.get_mut(&serial) {
            run.0 = state;
        }
    }

    /// What became of a try that is not asking any more.
    pub(crate) fn state(&self, serial: u64) -> RunState {
        self.runs.get(&serial).map_or(RunState::NotRun, |run| run.0)
    }

    /// Forgets runs that were granted longer ago than `retention`.
    pub(crate) fn expire(&mut self, now: MonoTime, retention: Duration) {
        while let Some(first) = self.runs.first_entry() {
            if now.since(first.get().1) <= retention {
                return;
            }
            first.remove();
        }
    }
}
