//! What one backend server after the other says of itself at one node, in the order in which it was
//! said.

use std::collections::BTreeMap;

/// Starts of backend servers that are remembered after their end, so that a report that was held up
/// on its way doesn't bring one of them back.
const MAX_ENDED: usize = 64;

/// What a backend server says of itself with each heartbeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendReport {
    /// Its name, which it may keep over a restart.
    pub identity: String,
    /// When it started, in milliseconds by its VM's wall clock; compared with itself and with the
    /// starts of others on the same VM only. Zero when it doesn't say.
    pub born_ms: u64,
    /// Grows with each report of one start.
    pub sequence: u64,
    /// Whether it is leaving.
    pub is_draining: bool,
}

/// What follows from a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportOutcome {
    /// It takes work.
    Serves,
    /// It is leaving: nothing new goes to it.
    Drains,
    /// The report is older than what is known. Nothing follows.
    Stale,
}

/// What is known of one start of a backend server.
#[derive(Clone, Copy, Debug)]
struct KnownStart {
    /// When it started.
    born_ms: u64,
    /// The latest report.
    sequence: u64,
    /// Whether it said that it is leaving, which it can't take back.
    is_draining: bool,
    /// Whether it left, or another one took its place.
    is_ended: bool,
}

/// What the backend servers beside one node said of themselves.
///
/// Reports may arrive late, also after their sender has crashed and another one has started at the
/// same address: the latest start counts, and of one start the report with the highest sequence.
#[derive(Clone, Debug, Default)]
pub struct BackendRegistry {
    /// Starts by name.
    starts: BTreeMap<String, KnownStart>,
}

impl BackendRegistry {
    /// Takes in a report.
    pub fn report(&mut self, report: &BackendReport) -> ReportOutcome {
        if let Some(known) = self.starts.get(&report.identity) {
            let is_older = (report.born_ms, report.sequence) <= (known.born_ms, known.sequence);
            let is_over = known.is_ended && report.born_ms <= known.born_ms;
            if is_older || is_over {
                return ReportOutcome::Stale;
            }
        }
        if self.is_predecessor(report) {
            return ReportOutcome::Stale;
        }
        let known = self.starts.get(&report.identity);
        let was_draining =
            known.is_some_and(|known| known.is_draining && known.born_ms == report.born_ms);
        let is_draining = report.is_draining || was_draining;
        self.end_others(&report.identity);
        let start = KnownStart {
            born_ms: report.born_ms,
            sequence: report.sequence,
            is_draining,
            is_ended: false,
        };
        self.starts.insert(report.identity.clone(), start);
        if is_draining {
            ReportOutcome::Drains
        } else {
            ReportOutcome::Serves
        }
    }

    /// Whether the latest start of this name takes work, as far as it said.
    #[must_use]
    pub fn is_serving(&self, identity: &str) -> bool {
        let known = self.starts.get(identity);
        known.is_some_and(|known| !known.is_ended && !known.is_draining)
    }

    /// The backend server says that it is gone. Whether it was the one in use.
    pub fn leave(&mut self, identity: &str) -> bool {
        let known = self.starts.get_mut(identity);
        known.is_some_and(|known| !std::mem::replace(&mut known.is_ended, true))
    }

    /// Whether another start is in use that began later.
    fn is_predecessor(&self, report: &BackendReport) -> bool {
        let mut others = self
            .starts
            .iter()
            .filter(|(identity, known)| **identity != report.identity && !known.is_ended);
        others.any(|(_, known)| known.born_ms > report.born_ms)
    }

    /// Ends every other start, and forgets the oldest when there are many.
    fn end_others(&mut self, identity: &str) {
        for (other, known) in &mut self.starts {
            known.is_ended |= other != identity;
        }
        while self.starts.len() > MAX_ENDED {
            let ended = self.starts.iter().filter(|(_, known)| known.is_ended);
            let oldest = ended.min_by_key(|(_, known)| known.born_ms);
            let Some(oldest) = oldest.map(|(other, _)| other.clone()) else {
                return;
            };
            self.starts.remove(&oldest);
        }
    }
}
