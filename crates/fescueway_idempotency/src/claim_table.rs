//! The claimed keys of one partition, as a replica remembers them.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    ops::Bound,
    time::Duration,
};

use fescueway_core::{KeyDigest, MonoTime, NodeId};

use crate::{ClaimAttemptId, Holder, KeyClaim, TableChunk};

/// Keys in one [`TableChunk`], which keeps it far below the size limit of a control message.
const CHUNK_KEYS: usize = 4_096;

/// Tries that may hold one key at a replica.
const MAX_HOLDERS: usize = 8;

/// One claimed key.
#[derive(Debug)]
struct TableEntry {
    /// The try that claimed the key first. Of several, at most one runs.
    first: ClaimAttemptId,
    /// Further tries, which the backup can't tell from the one that runs.
    others: Vec<ClaimAttemptId>,
    /// When the key was last claimed or taken over.
    since: MonoTime,
}

/// The claimed keys of one partition.
#[derive(Debug, Default)]
pub struct ClaimTable {
    /// Claimed keys.
    entries: BTreeMap<KeyDigest, TableEntry>,
    /// Keys by the time at which they were claimed, oldest first. May name keys released since.
    ages: VecDeque<(MonoTime, KeyDigest)>,
    /// Where the hosts of the tries take control messages.
    hosts: BTreeMap<NodeId, SocketAddr>,
}

impl TableEntry {
    /// Every try that holds the key.
    fn asks(&self) -> impl Iterator<Item = ClaimAttemptId> {
        std::iter::once(self.first).chain(self.others.iter().copied())
    }
}

impl ClaimTable {
    /// Keys held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The tries that hold the key of `ask`, without itself and those that it cleared.
    #[must_use]
    pub fn holders(&self, ask: &KeyClaim) -> Vec<Holder> {
        let Some(entry) = self.entries.get(&ask.key) else {
            return Vec::new();
        };
        let open = entry
            .asks()
            .filter(|held| *held != ask.ask && !ask.cleared.contains(held));
        open.map(|held| self.holder(held)).collect()
    }

    /// Records the try of `ask`, dropping those that it cleared. Says whether there was room.
    pub fn record(&mut self, now: MonoTime, ask: &KeyClaim, max_keys: usize) -> bool {
        let is_full = self.entries.len() >= max_keys && !self.entries.contains_key(&ask.key);
        if is_full {
            return false;
        }
        let open = self.holders(ask);
        if open.len() >= MAX_HOLDERS {
            return false;
        }
        let mut asks = open.into_iter().map(|held| held.ask);
        let first = asks.next().unwrap_or(ask.ask);
        let mut others: Vec<_> = asks.collect();
        if first != ask.ask {
            others.push(ask.ask);
        }
        self.hosts.insert(ask.ask.host, ask.address);
        self.put(now, ask.key, first, others);
        true
    }

    /// Drops a try that never ran. Says whether the key is free now.
    pub fn release(&mut self, key: KeyDigest, ask: ClaimAttemptId) -> bool {
        let Some(entry) = self.entries.get_mut(&key) else {
            return true;
        };
        entry.others.retain(|held| *held != ask);
        if entry.first != ask {
            return false;
        }
        if let Some(next) = entry.others.pop() {
            entry.first = next;
            return false;
        }
        self.entries.remove(&key);
        true
    }

    /// Forgets keys that were claimed longer ago than `retention`.
    pub fn expire(&mut self, now: MonoTime, retention: Duration) {
        while let Some((since, key)) = self.ages.front().copied() {
            if now.since(since) <= retention {
                return;
            }
            self.ages.pop_front();
            let is_same = self
                .entries
                .get(&key)
                .is_some_and(|held| held.since == since);
            if is_same {
                self.entries.remove(&key);
            }
        }
        self.hosts.clear();
    }

    /// The keys after `after`, as many as one message takes.
    #[must_use]
    pub fn chunk(&self, after: Option<KeyDigest>) -> TableChunk {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = self.entries.range((start, Bound::Unbounded));
        let entries: Vec<_> = rest
            .by_ref()
            .take(CHUNK_KEYS)
            .map(|(key, entry)| (*key, entry.asks().map(|ask| self.holder(ask)).collect()))
            .collect();
        TableChunk {
            entries,
            is_last: rest.next().is_none(),
        }
    }

    /// Adds the keys of another replica to what is known here.
    pub fn merge(&mut self, now: MonoTime, chunk: &TableChunk) {
        for (key, holders) in &chunk.entries {
            for holder in holders {
                self.adopt(now, *key, holder);
            }
        }
    }

    /// Adds one try that another replica holds.
    fn adopt(&mut self, now: MonoTime, key: KeyDigest, holder: &Holder) {
        if let Some(address) = holder.address {
            self.hosts.insert(holder.ask.host, address);
        }
        let known = self.entries.get(&key);
        let mut asks: Vec<_> = known.into_iter().flat_map(TableEntry::asks).collect();
        if !asks.contains(&holder.ask) {
            asks.push(holder.ask);
        }
        let first = asks.remove(0);
        self.put(now, key, first, asks);
    }

    /// Sets one entry.
    fn put(
        &mut self,
        now: MonoTime,
        key: KeyDigest,
        first: ClaimAttemptId,
        others: Vec<ClaimAttemptId>,
    ) {
        let entry = TableEntry {
            first,
            others,
            since: now,
        };
        self.entries.insert(key, entry);
        self.ages.push_back((now, key));
    }

    /// A try with its host's address.
    fn holder(&self, ask: ClaimAttemptId) -> Holder {
        Holder {
            ask,
            address: self.hosts.get(&ask.host).copied(),
        }
    }
}
