//! Limits how often one kind of event is logged for each source.

use std::{
    collections::BTreeMap,
    fmt::Display,
    mem::take,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use fescueway_core::MonoTime;

use crate::{EventKind, emit};

/// Minimum time between two logged events of one source.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of sources tracked within [`LOG_INTERVAL`]. Events of further sources are only counted.
const MAX_SOURCES: usize = 32;

/// Logs one kind of event at most once a second for each source, and at most 32 times a second in
/// all. The kind's last field is the number of events left out before.
///
/// ```
/// # use std::time::Duration;
/// # use fescueway_core::MonoTime;
/// # use fescueway_telemetry::{SourceRateLimit, events::path::PEER_REFUSED};
/// let limit = SourceRateLimit::new(&PEER_REFUSED);
/// assert_eq!(limit.admit(MonoTime::ZERO, "10.0.0.1"), Some(0));
/// assert_eq!(limit.admit(MonoTime::ZERO, "10.0.0.1"), None);
/// let later = MonoTime::ZERO + Duration::from_secs(1);
/// assert_eq!(limit.admit(later, "10.0.0.1"), Some(1));
/// ```
#[derive(Debug)]
pub struct SourceRateLimit<K> {
    /// The kind of event that is logged.
    kind: &'static EventKind,
    /// Recent sources.
    table: Mutex<SourceTable<K>>,
}

/// Recent sources of events.
#[derive(Debug)]
struct SourceTable<K> {
    /// At most [`MAX_SOURCES`].
    sources: BTreeMap<K, SourceCount>,
    /// Suppressed events of sources that are not tracked, or no longer.
    untracked: u64,
}

/// Events of one source.
#[derive(Debug)]
struct SourceCount {
    /// When its last event was logged.
    logged_at: MonoTime,
    /// Events suppressed since.
    suppressed: u64,
}

impl<K: Ord> SourceRateLimit<K> {
    /// Creates a limit for events of `kind`.
    #[must_use]
    pub const fn new(kind: &'static EventKind) -> Self {
        Self {
            kind,
            table: Mutex::new(SourceTable {
                sources: BTreeMap::new(),
                untracked: 0,
            }),
        }
    }

    /// Logs an event of `source`, or counts it as suppressed. `values` are those of all fields but the last.
    pub fn emit(&self, now: MonoTime, source: K, values: &[&dyn Display]) {
        if let Some(suppressed) = self.admit(now, source) {
            let mut values = values.to_vec();
            values.push(&suppressed);
            emit(self.kind, &values);
        }
    }

    /// Returns the number of events suppressed before if an event of `source` may be logged now, else
    /// counts it as suppressed and returns `None`.
    pub fn admit(&self, now: MonoTime, source: K) -> Option<u64> {
        self.table().admit(now, source)
    }

    /// The table, locked.
    fn table(&self) -> MutexGuard<'_, SourceTable<K>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<K: Ord> SourceTable<K> {
    /// Implements [`SourceRateLimit::admit`].
    fn admit(&mut self, now: MonoTime, source: K) -> Option<u64> {
        if let Some(known) = self.sources.get_mut(&source) {
            if now.since(known.logged_at) < LOG_INTERVAL {
                known.suppressed += 1;
                return None;
            }
            known.logged_at = now;
            return Some(take(&mut known.suppressed));
        }
        if self.sources.len() >= MAX_SOURCES {
            self.remove_old(now);
        }
        if self.sources.len() >= MAX_SOURCES {
            self.untracked += 1;
            return None;
        }
        let count = SourceCount {
            logged_at: now,
            suppressed: 0,
        };
        self.sources.insert(source, count);
        Some(take(&mut self.untracked))
    }

    /// Removes sources whose next event would be logged anyway. Their suppressed events are reported with
    /// the first event of the next new source.
    fn remove_old(&mut self, now: MonoTime) {
        let untracked = &mut self.untracked;
        self.sources.retain(|_, count| {
            let is_recent = now.since(count.logged_at) < LOG_INTERVAL;
            if !is_recent {
                *untracked += count.suppressed;
            }
            is_recent
        });
    }
}
