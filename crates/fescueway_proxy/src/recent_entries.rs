//! The entries that sent this host requests lately.

use std::{
    collections::BTreeSet,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use fescueway_core::{MonoTime, NodeId};

/// Time after which an entry moves to the older ones, and after another one is forgotten.
const ENTRY_AGE: Duration = Duration::from_secs(30);

/// Entries that are kept of each age; more are not noted.
const MAX_ENTRIES: usize = 1_024;

/// The entries that sent this host requests in the last 30 to 60 s.
#[derive(Debug, Default)]
pub struct RecentEntries(Mutex<EntrySets>);

/// What the lock of [`RecentEntries`] guards.
#[derive(Debug, Default)]
struct EntrySets {
    /// Those since `turned_at`.
    young: BTreeSet<NodeId>,
    /// Those of the time before.
    old: BTreeSet<NodeId>,
    /// When the young ones became the old ones.
    turned_at: MonoTime,
}

impl RecentEntries {
    /// Notes an offer of `entry`.
    pub fn note(&self, now: MonoTime, entry: NodeId) {
        let mut sets = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        sets.turn(now);
        if sets.young.len() < MAX_ENTRIES {
            sets.young.insert(entry);
        }
    }

    /// The entries, sorted.
    pub fn get(&self, now: MonoTime) -> Vec<NodeId> {
        let mut sets = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        sets.turn(now);
        sets.young.union(&sets.old).copied().collect()
    }
}

impl EntrySets {
    fn turn(&mut self, now: MonoTime) {
        let age = now.since(self.turned_at);
        if age < ENTRY_AGE {
            return;
        }
        self.old = std::mem::take(&mut self.young);
        if age >= ENTRY_AGE * 2 {
            self.old.clear();
        }
        self.turned_at = now;
    }
}
