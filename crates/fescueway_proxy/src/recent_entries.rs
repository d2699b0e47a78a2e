//! The entries that sent offers to this host recently.

use std::{
    collections::BTreeSet,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use fescueway_core::{MonoTime, NodeId};

/// Time after which the current set becomes the previous one; the set before that is dropped.
const ROTATION_INTERVAL: Duration = Duration::from_secs(30);

/// Maximum number of entries in a set; further ones are not recorded.
const MAX_ENTRIES_PER_SET: usize = 1_024;

/// The entries that sent offers to this host in the last 30 to 60 s.
#[derive(Debug, Default)]
pub struct RecentEntries(Mutex<EntrySets>);

/// The state that the lock of [`RecentEntries`] guards.
#[derive(Debug, Default)]
struct EntrySets {
    /// Entries seen since `rotated_at`.
    current: BTreeSet<NodeId>,
    /// Entries of the interval before.
    previous: BTreeSet<NodeId>,
    /// When the current set last became the previous one.
    rotated_at: MonoTime,
}

impl RecentEntries {
    /// Records an offer of `entry`.
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
    /// Rotates the sets when `ROTATION_INTERVAL` has passed.
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
