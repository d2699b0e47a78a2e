//! Tracks the backend server instances that report to a node and rejects outdated reports.

use std::{cmp::Ordering, collections::BTreeMap};

/// Instances remembered at most. Replaced ones are kept so that a delayed report doesn't bring one
/// of them back.
const MAX_INSTANCES: usize = 64;

/// Number of reports of another instance, without one of the instance in use in between, from which
/// the instance in use may be dead. Only a few reports of a dead instance are delayed in transit.
const REPORTS_BEFORE_TAKEOVER: u32 = 3;

/// Heartbeat of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendReport {
    /// Name of the backend server, which it may keep over a restart.
    pub identity: String,
    /// When the instance started, in milliseconds of its VM's wall clock. It identifies the
    /// instance, but doesn't prove which of two started first, as the clock may have been set
    /// between them. Zero when it isn't reported.
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
    /// It is unknown whether the sender started before or after the instance in use. The report
    /// takes effect when [`BackendRegistry::confirm`] is called.
    Unconfirmed,
    /// The report is outdated and was ignored.
    Stale,
}

/// Identifies one instance of a backend server.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct InstanceKey {
    /// Name of the backend server.
    identity: String,
    /// When the instance started, in milliseconds of its VM's wall clock.
    born_ms: u64,
}

/// State of one instance of a backend server, from its reports.
#[derive(Clone, Copy, Debug, Default)]
struct KnownInstance {
    /// Sequence number of the latest report.
    sequence: u64,
    /// Whether the instance reported that it is draining, which it can't revoke.
    is_draining: bool,
    /// Whether and how the instance left.
    departure: Departure,
    /// Whether the instance is or was in use. One that was in use and isn't any more was replaced.
    was_in_use: bool,
    /// Number of its reports since the latest one of the instance in use.
    reports_since_current: u32,
    /// Number of reports that the registry had received when it received the latest one of this
    /// instance.
    heard_at: u64,
}

/// Whether and how an instance left.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Departure {
    /// It has not left.
    #[default]
    Present,
    /// An instance of its name left, which may have been an earlier one.
    LeftByName,
    /// It left.
    Left,
}

/// When the sender of a report started, compared with the instance in use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StartOrder {
    /// It is the instance in use, or started after it.
    Latest,
    /// It may have started before or after.
    Unknown,
    /// It started before, or has left.
    Outdated,
}

/// Registry of the backend server instances beside one node.
///
/// Reports may arrive late, even after their sender has crashed and another instance has started at
/// the same address. The instance that started last is in use, and of its reports the one with the
/// highest sequence number is valid.
///
/// An instance started after the one in use if the wall clock says so and it was not in use before.
/// If these disagree, the clock was set back or a first report was delayed. The backend server itself
/// then has to confirm the report, or the instance has to keep reporting while the one in use is
/// silent.
///
/// ```
/// # use fescueway_admission::{BackendRegistry, BackendReport, ReportOutcome};
/// let report = |born_ms, sequence| BackendReport {
///     identity: "a".to_owned(),
///     born_ms,
///     sequence,
///     is_draining: false,
/// };
/// let mut registry = BackendRegistry::default();
/// assert_eq!(registry.report(&report(20, 5)), ReportOutcome::Serves);
/// assert_eq!(registry.report(&report(10, 1)), ReportOutcome::Unconfirmed);
/// assert_eq!(registry.confirm(&report(10, 1)), ReportOutcome::Serves);
/// ```
#[derive(Clone, Debug, Default)]
pub struct BackendRegistry {
    /// Known instances, at most [`MAX_INSTANCES`].
    instances: BTreeMap<InstanceKey, KnownInstance>,
    /// The instance in use, one of `instances`.
    current: Option<InstanceKey>,
    /// Number of reports received so far.
    report_count: u64,
}

impl BackendRegistry {
    /// Records a report, unless it is outdated.
    pub fn report(&mut self, report: &BackendReport) -> ReportOutcome {
        let key = InstanceKey::from(report);
        let known = self.instances.get(&key);
        if known.is_some_and(|known| report.sequence <= known.sequence) {
            return self.repeat(&key, report);
        }
        self.note(&key, report);
        match self.start_order(&key) {
            StartOrder::Latest => self.accept(key),
            StartOrder::Unknown => ReportOutcome::Unconfirmed,
            StartOrder::Outdated => ReportOutcome::Stale,
        }
    }

    /// Records that the backend server itself agrees with an unconfirmed report: it has that name,
    /// and is leaving or not as reported.
    pub fn confirm(&mut self, report: &BackendReport) -> ReportOutcome {
        let key = InstanceKey::from(report);
        let known = self.instances.get(&key);
        let is_newest = known.is_some_and(|known| known.sequence == report.sequence);
        if is_newest && self.start_order(&key) != StartOrder::Outdated {
            self.accept(key)
        } else {
            ReportOutcome::Stale
        }
    }

    /// Whether what a report states is in force: its sender is the instance in use, and gets no new
    /// requests if it is draining.
    #[must_use]
    pub fn is_in_force(&self, report: &BackendReport) -> bool {
        let key = InstanceKey::from(report);
        let known = self.instances.get(&key);
        let is_current = self.current.as_ref() == Some(&key);
        is_current
            && known.is_some_and(|known| {
                let has_left = known.departure != Departure::Present;
                if report.is_draining {
                    known.is_draining || has_left
                } else {
                    !has_left
                }
            })
    }

    /// Whether the latest instance of this name accepts requests, according to its reports.
    #[must_use]
    pub fn is_serving(&self, identity: &str) -> bool {
        let current = self.current.as_ref();
        let current = current.filter(|current| current.identity == identity);
        let known = current.and_then(|current| self.instances.get(current));
        known.is_some_and(|known| known.departure == Departure::Present && !known.is_draining)
    }

    /// Records that the instance of this name, if it is in use, is draining, without a report of it.
    pub fn drain(&mut self, identity: &str) {
        if let Some(known) = self.current_named(identity) {
            known.is_draining = true;
        }
    }

    /// Ends the instance of this name that is in use. Returns whether there was one.
    ///
    /// `born_ms` is the start time of the instance that left, in milliseconds of its VM's wall clock;
    /// `None` if it isn't reported.
    pub fn leave(&mut self, identity: &str, born_ms: Option<u64>) -> bool {
        let current = self.current.as_ref();
        let mut others = self.instances.keys().filter(|key| Some(*key) != current);
        let has_namesake = others.any(|key| key.identity == identity && key.born_ms != 0);
        let is_current = current.is_some_and(|current| {
            let is_same_start = born_ms.is_none_or(|born_ms| born_ms == current.born_ms);
            is_same_start || current.born_ms == 0
        });
        if is_current && let Some(known) = self.current_named(identity) {
            let was_present = known.departure == Departure::Present;
            known.departure = if born_ms.is_some() || !has_namesake {
                Departure::Left
            } else {
                Departure::LeftByName
            };
            return was_present;
        }
        let key = born_ms.map(|born_ms| InstanceKey {
            identity: identity.to_owned(),
            born_ms,
        });
        if let Some(key) = key {
            // Also if its reports are still on their way: they don't bring it back.
            self.report_count += 1;
            let known = self.instances.entry(key).or_default();
            known.departure = Departure::Left;
            known.heard_at = self.report_count;
            self.forget_oldest();
        }
        false
    }

    /// Handles a report that is not the newest one of its instance. Only a drain still counts.
    fn repeat(&mut self, key: &InstanceKey, report: &BackendReport) -> ReportOutcome {
        let is_current = self.current.as_ref() == Some(key);
        let known = self.instances.get_mut(key).filter(|_| is_current);
        match known {
            Some(known) if report.is_draining && !known.is_draining => {
                known.is_draining = true;
                ReportOutcome::Drains
            }
            _ => ReportOutcome::Stale,
        }
    }

    /// Notes the newest report of an instance.
    fn note(&mut self, key: &InstanceKey, report: &BackendReport) {
        self.report_count += 1;
        let known = self.instances.entry(key.clone()).or_default();
        known.sequence = report.sequence;
        known.is_draining |= report.is_draining;
        known.reports_since_current += 1;
        known.heard_at = self.report_count;
        self.forget_oldest();
    }

    /// Forgets the instances that were not heard of for longest, if there are too many.
    fn forget_oldest(&mut self) {
        while self.instances.len() > MAX_INSTANCES {
            let others = self.instances.iter();
            let others = others.filter(|(other, _)| Some(*other) != self.current.as_ref());
            let oldest = others.min_by_key(|(_, known)| known.heard_at);
            let Some(oldest) = oldest.map(|(other, _)| other.clone()) else {
                return;
            };
            self.instances.remove(&oldest);
        }
    }

    /// Compares the start of a known instance with the one in use.
    fn start_order(&self, key: &InstanceKey) -> StartOrder {
        let known = self.instances.get(key).copied().unwrap_or_default();
        let Some(current) = &self.current else {
            return StartOrder::Latest;
        };
        if current == key || known.departure != Departure::Present {
            return match known.departure {
                Departure::Present => StartOrder::Latest,
                Departure::LeftByName => StartOrder::Unknown,
                Departure::Left => StartOrder::Outdated,
            };
        }
        let in_use = self.instances.get(current).copied().unwrap_or_default();
        if current.born_ms == 0 || key.born_ms == 0 {
            let is_same_name = current.identity == key.identity;
            let has_left = in_use.departure != Departure::Present;
            let is_later = if is_same_name {
                // The instance in use didn't report when it started, and this report of it does.
                key.born_ms != 0
            } else {
                !known.was_in_use && (key.born_ms != 0 || current.born_ms == 0 || has_left)
            };
            return if is_later {
                StartOrder::Latest
            } else {
                StartOrder::Outdated
            };
        }
        let is_current_silent = known.reports_since_current >= REPORTS_BEFORE_TAKEOVER;
        let by_clock = key.born_ms.cmp(&current.born_ms);
        match (known.was_in_use, by_clock) {
            (false, Ordering::Greater | Ordering::Equal) => StartOrder::Latest,
            (true, Ordering::Less | Ordering::Equal) if !is_current_silent => StartOrder::Outdated,
            (true, Ordering::Less | Ordering::Equal) => StartOrder::Unknown,
            (false, Ordering::Less) | (true, Ordering::Greater) => {
                // Silence proves nothing of an instance that has no more to report.
                if is_current_silent
                    && !in_use.is_draining
                    && in_use.departure == Departure::Present
                {
                    StartOrder::Latest
                } else {
                    StartOrder::Unknown
                }
            }
        }
    }

    /// Puts an instance in use, or keeps it there.
    fn accept(&mut self, key: InstanceKey) -> ReportOutcome {
        for known in self.instances.values_mut() {
            known.reports_since_current = 0;
        }
        let known = self.instances.entry(key.clone()).or_default();
        known.departure = Departure::Present;
        known.was_in_use = true;
        let is_draining = known.is_draining;
        self.current = Some(key);
        if is_draining {
            ReportOutcome::Drains
        } else {
            ReportOutcome::Serves
        }
    }

    /// The instance in use, if it has this name.
    fn current_named(&mut self, identity: &str) -> Option<&mut KnownInstance> {
        let current = self.current.as_ref();
        let current = current.filter(|current| current.identity == identity)?;
        self.instances.get_mut(current)
    }
}

impl From<&BackendReport> for InstanceKey {
    fn from(report: &BackendReport) -> Self {
        Self {
            identity: report.identity.clone(),
            born_ms: report.born_ms,
        }
    }
}
