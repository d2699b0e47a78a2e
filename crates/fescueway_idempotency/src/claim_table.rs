//! The claimed keys of one partition at a replica.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    ops::Bound,
    time::Duration,
};

use fescueway_core::{KeyDigest, MonoTime, NodeId};

use crate::{ClaimAttemptId, Holder, KeyClaim, TableChunk};

/// Keys in one [`TableChunk`], so that it stays far below the size limit of a control message.
const CHUNK_KEYS: usize = 4_096;

/// Maximum number of attempts that may hold one key at a replica.
const MAX_HOLDERS: usize = 8;

/// One claimed key.
#[derive(Debug)]
struct TableEntry {
    /// The attempt that claimed the key first. At most one of all attempts runs.
    first: ClaimAttemptId,
    /// Further attempts. The backup doesn't know which one runs.
    others: Vec<ClaimAttemptId>,
    /// When the key was last claimed or fetched from another replica.
    claimed_at: MonoTime,
}

/// The claimed keys of one partition.
#[derive(Debug, Default)]
pub struct ClaimTable {
    /// Claimed keys.
    entries: BTreeMap<KeyDigest, TableEntry>,
    /// Keys by the time of their claim, oldest first. May contain keys released since.
    expiry_queue: VecDeque<(MonoTime, KeyDigest)>,
    /// Where the hosts of the attempts accept control messages.
    host_addresses: BTreeMap<NodeId, SocketAddr>,
}

impl TableEntry {
    /// All attempts that hold the key.
    fn attempts(&self) -> impl Iterator<Item = ClaimAttemptId> {
        std::iter::once(self.first).chain(self.others.iter().copied())
    }
}

impl ClaimTable {
    /// Number of claimed keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is claimed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The attempts that hold the key of `claim`, except its own and those listed as cleared.
    #[must_use]
    pub fn holders(&self, claim: &KeyClaim) -> Vec<Holder> {
        let Some(entry) = self.entries.get(&claim.key) else {
            return Vec::new();
        };
        let remaining = entry
            .attempts()
            .filter(|held| *held != claim.ask && !claim.cleared.contains(held));
        remaining.map(|held| self.holder(held)).collect()
    }

    /// Records the attempt of `claim` and removes those that it lists as cleared. Returns `false`
    /// when the table has `max_keys` keys or the key has too many holders.
    pub fn record(&mut self, now: MonoTime, claim: &KeyClaim, max_keys: usize) -> bool {
        let is_full = self.entries.len() >= max_keys && !self.entries.contains_key(&claim.key);
        if is_full {
            return false;
        }
        let remaining = self.holders(claim);
        if remaining.len() >= MAX_HOLDERS {
            return false;
        }
        let mut attempts = remaining.into_iter().map(|held| held.ask);
        let first = attempts.next().unwrap_or(claim.ask);
        let mut others: Vec<_> = attempts.collect();
        if first != claim.ask {
            others.push(claim.ask);
        }
        self.host_addresses.insert(claim.ask.host, claim.address);
        self.set_entry(now, claim.key, first, others);
        true
    }

    /// Removes an attempt that never ran. Returns whether the key is now free.
    pub fn release(&mut self, key: KeyDigest, attempt_id: ClaimAttemptId) -> bool {
        let Some(entry) = self.entries.get_mut(&key) else {
            return true;
        };
        entry.others.retain(|held| *held != attempt_id);
        if entry.first != attempt_id {
            return false;
        }
        if let Some(next) = entry.others.pop() {
            entry.first = next;
            return false;
        }
        self.entries.remove(&key);
        true
    }

    /// Removes keys that were claimed longer ago than `retention`.
    pub fn expire(&mut self, now: MonoTime, retention: Duration) {
        while let Some((claimed_at, key)) = self.expiry_queue.front().copied() {
            if now.since(claimed_at) <= retention {
                return;
            }
            self.expiry_queue.pop_front();
            let is_same = self
                .entries
                .get(&key)
                .is_some_and(|held| held.claimed_at == claimed_at);
            if is_same {
                self.entries.remove(&key);
            }
        }
        self.host_addresses.clear();
    }

    /// The keys after `after`, as many as fit into one message.
    #[must_use]
    pub fn chunk(&self, after: Option<KeyDigest>) -> TableChunk {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = self.entries.range((start, Bound::Unbounded));
        let entries: Vec<_> = rest
            .by_ref()
            .take(CHUNK_KEYS)
            .map(|(key, entry)| (*key, entry.attempts().map(|id| self.holder(id)).collect()))
            .collect();
        TableChunk {
            entries,
            is_last: rest.next().is_none(),
        }
    }

    /// Adds the keys of another replica.
    pub fn merge(&mut self, now: MonoTime, chunk: &TableChunk) {
        for (key, holders) in &chunk.entries {
            for holder in holders {
                self.merge_holder(now, *key, holder);
            }
        }
    }

    /// Adds one holder of a key at another replica.
    fn merge_holder(&mut self, now: MonoTime, key: KeyDigest, holder: &Holder) {
        if let Some(address) = holder.address {
            self.host_addresses.insert(holder.ask.host, address);
        }
        let known = self.entries.get(&key);
        let mut attempts: Vec<_> = known.into_iter().flat_map(TableEntry::attempts).collect();
        if !attempts.contains(&holder.ask) {
            attempts.push(holder.ask);
        }
        let first = attempts.remove(0);
        self.set_entry(now, key, first, attempts);
    }

    /// Sets the entry of a key.
    fn set_entry(
        &mut self,
        now: MonoTime,
        key: KeyDigest,
        first: ClaimAttemptId,
        others: Vec<ClaimAttemptId>,
    ) {
        let entry = TableEntry {
            first,
            others,
            claimed_at: now,
        };
        self.entries.insert(key, entry);
        self.expiry_queue.push_back((now, key));
    }

    /// An attempt with its host's address.
    fn holder(&self, attempt_id: ClaimAttemptId) -> Holder {
        Holder {
            ask: attempt_id,
            address: self.host_addresses.get(&attempt_id.host).copied(),
        }
    }
}
