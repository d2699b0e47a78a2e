//! Logs an event of each source at most once a second.

use std::{
    collections::BTreeMap,
    fmt::Display,
    mem::take,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use fescueway_core::MonoTime;

use crate::{EventKind, emit};

/// Shortest time between two logged events of one source.
const PAUSE: Duration = Duration::from_secs(1);

/// Sources that are told apart within [`PAUSE`]. What comes from others is only counted.
const MAX_SOURCES: usize = 32;

/// Logs one kind of event at most once a second for each source, and at most 32 times a second in
/// all. The kind's last field is how many were left out before.
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
    /// What is logged.
    kind: &'static EventKind,
    /// Who was heard lately.
    table: Mutex<SourceTable<K>>,
}

/// Who was heard lately.
#[derive(Debug)]
struct SourceTable<K> {
    /// By source. Never more than [`MAX_SOURCES`].
    sources: BTreeMap<K, SourceCount>,
    /// Events that were left out of sources that are not told apart.
    others: u64,
}

/// What came from one source.
#[derive(Debug)]
struct SourceCount {
    /// When an event of it was last logged.
    logged_at: MonoTime,
    /// Events that were left out since.
    suppressed: u64,
}

impl<K: Ord> SourceRateLimit<K> {
    /// A limit for events of `kind`.
    #[must_use]
    pub const fn new(kind: &'static EventKind) -> Self {
        Self {
            kind,
            table: Mutex::new(SourceTable {
                sources: BTreeMap::new(),
                others: 0,
            }),
        }
    }

    /// Logs an event of `source`, or counts it. `values` lack the kind's last field.
    pub fn emit(&self, now: MonoTime, source: K, values: &[&dyn Display]) {
        if let Some(suppressed) = self.admit(now, source) {
            let mut values = values.to_vec();
            values.push(&suppressed);
            emit(self.kind, &values);
        }
    }

    /// Whether an event of `source` may be logged: how many were left out before, else `None`.
    pub fn admit(&self, now: MonoTime, source: K) -> Option<u64> {
        self.table().admit(now, source)
    }

    /// The table, locked.
    fn table(&self) -> MutexGuard<'_, SourceTable<K>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<K: Ord> SourceTable<K> {
    /// Counts an event; tells what was left out before if it may be logged.
    fn admit(&mut self, now: MonoTime, source: K) -> Option<u64> {
        if let Some(known) = self.sources.get_mut(&source) {
            if now.since(known.logged_at) < PAUSE {
                known.suppressed += 1;
                return None;
            }
            known.logged_at = now;
            return Some(take(&mut known.suppressed));
        }
        if self.sources.len() >= MAX_SOURCES {
            self.forget_old(now);
        }
        if self.sources.len() >= MAX_SOURCES {
            self.others += 1;
            return None;
        }
        let count = SourceCount {
            logged_at: now,
            suppressed: 0,
        };
        self.sources.insert(source, count);
        Some(take(&mut self.others))
    }

    /// Forgets sources whose next event would be logged anyway; what was left out of them is told
    /// with the next event of another.
    fn forget_old(&mut self, now: MonoTime) {
        let others = &mut self.others;
        self.sources.retain(|_, count| {
            let is_recent = now.since(count.logged_at) < PAUSE;
            if !is_recent {
                *others += count.suppressed;
            }
            is_recent
        });
    }
}
