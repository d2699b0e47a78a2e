//! The entries that sent this host requests lately.

use std::{
    collections::BTreeSet,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use fescueway_core::{MonoTime, NodeId};

/// Time after which an entry moves to the older ones, and after another one is forgotten.
const ROTATION_INTERVAL: Duration = Duration::from_secs(30);

/// Entries that are kept of each age; more are not noted.
const MAX_ENTRIES_PER_SET: usize = 1_024;

/// The entries that sent this host requests in the last 30 to 60 s.
#[derive(Debug, Default)]
pub struct RecentEntries(Mutex<EntrySets>);

/// What the lock of [`RecentEntries`] guards.
#[derive(Debug, Default)]
struct EntrySets {
    /// Those since `rotated_at`.
    current: BTreeSet<NodeId>,
    /// Those of the time before.
    previous: BTreeSet<NodeId>,
    /// When the young ones became the old ones.
    rotated_at: MonoTime,
}

impl RecentEntries {
    /// Notes an offer of `entry`.
    pub fn record(&self, now: MonoTime, entry: NodeId) {
        let mut sets = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        sets.rotate(now);
        if sets.current.len() < MAX_ENTRIES_PER_SET {
            sets.current.insert(entry);
        }
    }

    /// The entries, sorted.
    pub fn get(&self, now: MonoTime) -> Vec<NodeId> {
        let mut sets = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        sets.rotate(now);
        sets.current.union(&sets.previous).copied().collect()
    }
}

impl EntrySets {
    fn rotate(&mut self, now: MonoTime) {
        let age = now.since(self.rotated_at);
        if age < ROTATION_INTERVAL {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        if age >= ROTATION_INTERVAL * 2 {
            self.previous.clear();
        }
        self.rotated_at = now;
    }
}
