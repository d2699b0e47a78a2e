//! Tracks the backend server instances that report to a node and rejects outdated reports.

use std::collections::BTreeMap;

/// Instances remembered at most. Ended ones are kept so that a delayed report doesn't bring one of
/// them back.
const MAX_INSTANCES: usize = 64;

/// Heartbeat of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendReport {
    /// Name of the backend server, which it may keep over a restart.
    pub identity: String,
    /// When the instance started, in milliseconds of its VM's wall clock. Compared only with the
    /// start times of instances on the same VM. Zero when it isn't reported.
    pub born_ms: u64,
    /// Sequence number, which increases with each report of one instance.
    pub sequence: u64,
    /// Whether the instance is draining.
    pub is_draining: bool,
}

/// Result of recording a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportOutcome {
    /// The instance accepts requests.
    Serves,
    /// The instance is draining and gets no new requests.
    Drains,
    /// The report is outdated and was ignored.
    Stale,
}

/// State of one instance of a backend server, from its reports.
#[derive(Clone, Copy, Debug)]
struct KnownInstance {
    /// When the instance started, in milliseconds of its VM's wall clock.
    born_ms: u64,
    /// Sequence number of the latest report.
    sequence: u64,
    /// Whether the instance reported that it is draining, which it can't revoke.
    is_draining: bool,
    /// Whether the instance left or was replaced by another one.
    is_ended: bool,
}

/// Registry of the backend server instances beside one node.
///
/// Reports may arrive late, even after their sender has crashed and another instance has started at
/// the same address. The instance that started last is in use, and of its reports the one with the
/// highest sequence number is valid.
#[derive(Clone, Debug, Default)]
pub struct BackendRegistry {
    /// Latest instance of each backend server, by name.
    instances: BTreeMap<String, KnownInstance>,
}

impl BackendRegistry {
    /// Records a report, unless it is outdated.
    pub fn report(&mut self, report: &BackendReport) -> ReportOutcome {
        if let Some(known) = self.instances.get(&report.identity) {
            let is_older = (report.born_ms, report.sequence) <= (known.born_ms, known.sequence);
            let is_over = known.is_ended && report.born_ms <= known.born_ms;
            if is_older || is_over {
                return ReportOutcome::Stale;
            }
        }
        if self.is_predecessor(report) {
            return ReportOutcome::Stale;
        }
        let known = self.instances.get(&report.identity);
        let was_draining =
            known.is_some_and(|known| known.is_draining && known.born_ms == report.born_ms);
        let is_draining = report.is_draining || was_draining;
        self.end_others(&report.identity);
        let instance = KnownInstance {
            born_ms: report.born_ms,
            sequence: report.sequence,
            is_draining,
            is_ended: false,
        };
        self.instances.insert(report.identity.clone(), instance);
        if is_draining {
            ReportOutcome::Drains
        } else {
            ReportOutcome::Serves
        }
    }

    /// Whether the latest instance of this name accepts requests, according to its reports.
    #[must_use]
    pub fn is_serving(&self, identity: &str) -> bool {
        let known = self.instances.get(identity);
        known.is_some_and(|known| !known.is_ended && !known.is_draining)
    }

    /// Records that the instance of this name, if it is in use, is draining, without a report of it.
    pub fn drain(&mut self, identity: &str) {
        if let Some(known) = self.instances.get_mut(identity) {
            known.is_draining = true;
        }
    }

    /// Ends the instance of this name. Returns whether it was in use.
    pub fn leave(&mut self, identity: &str) -> bool {
        let known = self.instances.get_mut(identity);
        known.is_some_and(|known| !std::mem::replace(&mut known.is_ended, true))
    }

    /// Whether an instance in use under another name started later than the reporting one.
    fn is_predecessor(&self, report: &BackendReport) -> bool {
        let mut others = self
            .instances
            .iter()
            .filter(|(identity, known)| **identity != report.identity && !known.is_ended);
        others.any(|(_, known)| known.born_ms > report.born_ms)
    }

    /// Ends every other instance, and removes the oldest ended ones above [`MAX_INSTANCES`].
    fn end_others(&mut self, identity: &str) {
        for (other, known) in &mut self.instances {
            known.is_ended |= other != identity;
        }
        while self.instances.len() > MAX_INSTANCES {
            let ended = self.instances.iter().filter(|(_, known)| known.is_ended);
            let oldest = ended.min_by_key(|(_, known)| known.born_ms);
            let Some(oldest) = oldest.map(|(other, _)| other.clone()) else {
                return;
            };
            self.instances.remove(&oldest);
        }
    }
}
