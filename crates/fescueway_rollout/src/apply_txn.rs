//! The transactions of an attempt.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use fescueway_core::{ServiceName, SiteName};
use fescueway_platform::{Compare, KeyRange, StoreOp, StoreTxn, TxnReply};

use crate::{ApplyPlan, ConfigHead, HistoryEntry, SiteDigest, SiteIndex, store_keys};

/// Steps of one transaction. The store allows 128.
const MAX_OPS: usize = 100;

/// Bytes of the values of one transaction. The store allows a megabyte.
const MAX_TXN_BYTES: usize = 700_000;

/// Revisions for which values stay after they were replaced, for nodes that are reading them.
const KEPT_VALUES: u64 = 32;

/// Revisions that the history keeps.
const KEPT_HISTORY: u64 = 1_000;

/// What the store held when an attempt began.
#[derive(Clone, Debug, Default)]
pub struct ReadBase {
    /// The head, `None` before the first configuration.
    pub head: Option<ConfigHead>,
    /// Store revision of the head's last write.
    pub mod_revision: i64,
    /// Keys of all values and indexes that the head names.
    pub keys: BTreeSet<String>,
    /// Keys that were replaced so long ago that nobody reads them.
    pub outdated: Vec<String>,
}

/// The transactions that write a configuration.
#[derive(Clone, Debug, Default)]
pub struct WriteTxns {
    /// Values that don't fit into the swap, in any order.
    pub batches: Vec<StoreTxn>,
    /// Writes the rest, and the head last of all.
    pub swap: StoreTxn,
}

impl ReadBase {
    pub fn revision(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.revision)
    }

    pub fn next_revision(&self) -> u64 {
        self.revision() + 1
    }

    /// Takes in the answer to [`read_indexes`].
    pub fn take_indexes(&mut self, reply: &TxnReply) -> Result<(), String> {
        let mut values = reply.reads.iter().flatten();
        if self.next_revision() > KEPT_VALUES {
            let outdated = reply.reads.first().and_then(|read| read.first());
            if let Some(value) = outdated {
                let entry: HistoryEntry = serde_json::from_slice(&value.value)
                    .map_err(|error| format!("{}: {error}", value.key))?;
                self.outdated = entry.replaced;
                values.next();
            }
        }
        for value in values {
            let index = SiteIndex::from_bytes(&value.value)
                .ok_or_else(|| format!("{} is no index", value.key))?;
            self.keys.insert(value.key.clone());
            self.keys.extend(index.0.values().map(store_keys::value));
        }
        Ok(())
    }
}

/// Reads the head.
pub fn read_head() -> StoreTxn {
    reads([store_keys::HEAD.to_owned()])
}

/// Reads who made a revision.
pub fn read_head_and_history(revision: u64) -> StoreTxn {
    reads([store_keys::history(revision)])
}

/// Reads what is needed to write only what changed, and to delete what is outdated.
pub fn read_indexes(base: &ReadBase) -> StoreTxn {
    let next = base.next_revision();
    let expired = (next > KEPT_VALUES).then(|| store_keys::history(next - KEPT_VALUES));
    let sites = base.head.iter().flat_map(|head| head.sites.values());
    reads(expired.into_iter().chain(sites.map(store_keys::index)))
}

/// The digest of each site of a plan.
pub fn site_digests(plan: &ApplyPlan) -> BTreeMap<SiteName, SiteDigest> {
    let indexes = site_indexes(plan).into_iter();
    indexes
        .map(|(site, index)| (site, index.digest()))
        .collect()
}

/// The transactions that write `plan` over `base`.
pub fn plan_writes(plan: &ApplyPlan, base: &ReadBase) -> WriteTxns {
    let wanted = wanted_values(plan);
    let is_new = |key: &String| !base.keys.contains(key);
    let puts = wanted.iter().filter(|(key, _)| is_new(key));
    let mut batches = split_puts(puts.map(|(key, value)| put(key, value)));
    let head = next_head(plan, base);
    let keys: BTreeSet<_> = wanted.keys().cloned().collect();
    let replaced = base.keys.difference(&keys).cloned().collect();
    let last = batches.pop().unwrap_or_default();
    let mut swap = StoreTxn {
        compares: vec![head_compare(base)],
        then: last,
        otherwise: Vec::new(),
    };
    let entry = HistoryEntry {
        head: head.clone(),
        replaced,
    };
    let entry = serde_json::to_vec(&entry).unwrap_or_default();
    swap.then
        .push(put(&store_keys::history(head.revision), &entry));
    swap.then.push(put(store_keys::HEAD, &head.to_bytes()));
    swap.then.extend(deletes(base, &keys));
    WriteTxns {
        batches: batches.into_iter().map(put_txn).collect(),
        swap,
    }
}

fn site_indexes(plan: &ApplyPlan) -> BTreeMap<SiteName, SiteIndex> {
    let mut indexes: BTreeMap<SiteName, SiteIndex> = BTreeMap::new();
    for ((site, service), value) in &plan.values {
        let index = indexes.entry(site.clone()).or_default();
        index.0.insert(ServiceName::clone(service), value.digest);
    }
    indexes
}

/// Every value and index of a plan by its key.
fn wanted_values(plan: &ApplyPlan) -> BTreeMap<String, Vec<u8>> {
    let values = plan.values.values();
    let values = values.map(|value| (store_keys::value(&value.digest), value.bytes.to_vec()));
    let indexes = site_indexes(plan).into_values();
    let indexes = indexes.map(|index| (store_keys::index(&index.digest()), index.to_bytes()));
    values.chain(indexes).collect()
}

fn next_head(plan: &ApplyPlan, base: &ReadBase) -> ConfigHead {
    ConfigHead {
        revision: base.next_revision(),
        sites: site_digests(plan),
        operator: Arc::clone(&plan.operator),
        operation: Arc::clone(&plan.operation),
        unix_time_s: plan.unix_time_s,
        note: Arc::clone(&plan.note),
    }
}

fn head_compare(base: &ReadBase) -> Compare {
    let key = store_keys::HEAD.to_owned();
    match base.head {
        Some(_) => Compare::ModRevision(key, base.mod_revision),
        None => Compare::Absent(key),
    }
}

/// Deletes what nobody reads any more; as part of the swap it can't race another attempt.
fn deletes(base: &ReadBase, keys: &BTreeSet<String>) -> Vec<StoreOp> {
    const MAX_DELETES: usize = 16;
    let is_unused = |key: &&String| !keys.contains(*key) && !base.keys.contains(*key);
    let outdated = base.outdated.iter().filter(is_unused).take(MAX_DELETES);
    let next = base.next_revision();
    let history = (next > KEPT_HISTORY).then(|| store_keys::history(next - KEPT_HISTORY));
    let all = outdated.cloned().chain(history);
    all.map(|key| StoreOp::Delete(KeyRange::Key(key))).collect()
}

fn split_puts(puts: impl Iterator<Item = StoreOp>) -> Vec<Vec<StoreOp>> {
    let mut batches = Vec::new();
    let mut batch = Vec::new();
    let mut bytes = 0;
    for op in puts {
        let length = match &op {
            StoreOp::Put { value, .. } => value.len(),
            StoreOp::Delete(_) | StoreOp::Range(_) => 0,
        };
        if batch.len() == MAX_OPS || bytes + length > MAX_TXN_BYTES {
            batches.push(std::mem::take(&mut batch));
            bytes = 0;
        }
        bytes += length;
        batch.push(op);
    }
    batches.push(batch);
    batches
}

const fn put_txn(then: Vec<StoreOp>) -> StoreTxn {
    StoreTxn {
        compares: Vec::new(),
        then,
        otherwise: Vec::new(),
    }
}

fn put(key: &str, value: &[u8]) -> StoreOp {
    StoreOp::Put {
        key: key.to_owned(),
        value: value.to_vec(),
        lease: None,
    }
}

fn reads(keys: impl IntoIterator<Item = String>) -> StoreTxn {
    let ranges = keys
        .into_iter()
        .map(|key| StoreOp::Range(KeyRange::Key(key)));
    put_txn(ranges.collect())
}
