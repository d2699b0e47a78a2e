//! The store transactions of an attempt.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use fescueway_core::{ServiceName, SiteName};
use fescueway_platform::{
    Compare, KeyRange, StoreOp, StoreRevision, StoreTxn, StoreValue, TxnReply,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{ApplyPlan, ConfigHead, HistoryEntry, SiteDigest, SiteIndex, store_keys};

/// Maximum number of values that one transaction writes, so that the other operations of a swap fit
/// too.
const MAX_BATCH_PUTS: usize = 100;

/// Operations that the store allows in one transaction.
const MAX_TXN_OPS: usize = 128;

/// Maximum total size of the values in one transaction, in bytes. The store allows a megabyte.
const MAX_TXN_BYTES: usize = 700_000;

/// Revisions for which replaced values are kept, since nodes may still be reading them.
const VALUE_RETENTION_REVISIONS: u64 = 32;

/// Revisions that are kept in the history.
const HISTORY_RETENTION_REVISIONS: u64 = 1_000;

/// Revisions skipped after the store lost its head. The lost store may have accepted revisions
/// above the reported one that nodes know of but did not put in force.
const LOST_REVISION_GAP: u64 = 1_000;

/// What an attempt has read from the store.
#[derive(Clone, Debug, Default)]
pub struct StoreSnapshot {
    /// The head, `None` before the first configuration.
    pub head: Option<ConfigHead>,
    /// Store revision at which the head was last written.
    pub mod_revision: StoreRevision,
    /// Keys of all values and indexes that the head refers to.
    pub keys: BTreeSet<String>,
    /// Replaced keys whose retention has ended.
    pub outdated: Vec<String>,
    /// The highest revision in force that any failure domain reports. It exceeds the head's
    /// revision only when the store lost a head.
    pub reported_revision: u64,
    /// Attempts that wrote values before their swap and did not complete the swap.
    pub abandoned: Vec<AbandonedAttempt>,
}

/// The keys written by an attempt that did not complete its swap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AbandonedAttempt {
    /// The store key under which the attempt listed the keys that it wrote.
    pub key: String,
    /// The keys that it wrote.
    pub written: Vec<String>,
}

/// The field of a failure domain's report that an attempt needs.
#[derive(Debug, Deserialize)]
struct ReportedRevision {
    /// The highest revision in force.
    highest: u64,
}

/// The transactions that write a configuration.
#[derive(Clone, Debug, Default)]
pub struct WriteTxns {
    /// Writes the values that don't fit into the swap. Order is irrelevant.
    pub batches: Vec<StoreTxn>,
    /// Writes the remaining values and replaces the head.
    pub swap: StoreTxn,
}

impl StoreSnapshot {
    pub fn revision(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.revision)
    }

    /// The revision that the attempt creates. Nodes ignore a revision that is not above the one
    /// they have in force or rejected, so [`LOST_REVISION_GAP`] revisions are skipped after the
    /// store lost its head.
    pub fn next_revision(&self) -> u64 {
        if self.is_behind_nodes() {
            self.reported_revision + LOST_REVISION_GAP
        } else {
            self.revision() + 1
        }
    }

    /// Whether nodes report a revision above the head's.
    pub fn is_behind_nodes(&self) -> bool {
        self.reported_revision > self.revision()
    }

    /// Parses the reply to [`read_head`].
    pub fn from_reply(reply: &TxnReply) -> Result<Self, String> {
        let mut snapshot = Self::default();
        if let Some(value) = values(reply, 0).next() {
            snapshot.head = Some(parse(value)?);
            snapshot.mod_revision = value.mod_revision;
        }
        for value in values(reply, 1) {
            let report: ReportedRevision = parse(value)?;
            snapshot.reported_revision = snapshot.reported_revision.max(report.highest);
        }
        for value in values(reply, 2) {
            let written = parse(value)?;
            let key = value.key.clone();
            snapshot.abandoned.push(AbandonedAttempt { key, written });
        }
        Ok(snapshot)
    }

    /// Adds the reply to [`read_indexes`].
    pub fn add_indexes(&mut self, reply: &TxnReply) -> Result<(), String> {
        let mut values = reply.reads.iter().flatten();
        if self.next_revision() > VALUE_RETENTION_REVISIONS {
            let outdated = reply.reads.first().and_then(|read| read.first());
            if let Some(value) = outdated {
                let entry: HistoryEntry = parse(value)?;
                self.outdated = entry.replaced;
                values.next();
            }
        }
        for value in values {
            let index = SiteIndex::from_bytes(&value.value)
                .ok_or_else(|| format!("{} is not a site index", value.key))?;
            self.keys.insert(value.key.clone());
            self.keys.extend(index.0.values().map(store_keys::value));
        }
        Ok(())
    }
}

/// Reads the head, the reports of the failure domains, and the keys of pending attempts.
pub fn read_head() -> StoreTxn {
    let ranges = [
        KeyRange::Key(store_keys::HEAD.to_owned()),
        KeyRange::Prefix(store_keys::IN_FORCE.to_owned()),
        KeyRange::Prefix(store_keys::PENDING.to_owned()),
    ];
    unconditional_txn(ranges.map(StoreOp::Range).into())
}

/// Reads the history entry of a revision, and the head.
pub fn read_history_and_head(revision: u64) -> StoreTxn {
    read_keys_txn([store_keys::history(revision), store_keys::HEAD.to_owned()])
}

/// Reads the sites' indexes, to write only changed values, and the history entry whose replaced
/// keys are outdated.
pub fn read_indexes(snapshot: &StoreSnapshot) -> StoreTxn {
    let next = snapshot.next_revision();
    let expired = (next > VALUE_RETENTION_REVISIONS)
        .then(|| store_keys::history(next - VALUE_RETENTION_REVISIONS));
    let sites = snapshot.head.iter().flat_map(|head| head.sites.values());
    read_keys_txn(expired.into_iter().chain(sites.map(store_keys::index)))
}

/// The digest of each site of a plan.
pub fn site_digests(plan: &ApplyPlan) -> BTreeMap<SiteName, SiteDigest> {
    let indexes = site_indexes(plan).into_iter();
    indexes
        .map(|(site, index)| (site, index.digest()))
        .collect()
}

/// The transactions that replace the configuration in `snapshot` by `plan`.
pub fn plan_writes(plan: &ApplyPlan, snapshot: &StoreSnapshot) -> WriteTxns {
    let values = values_by_key(plan);
    let is_new = |key: &&String| !snapshot.keys.contains(*key);
    let new: Vec<_> = values.keys().filter(is_new).cloned().collect();
    let puts = new.iter().map(|key| put(key, &values[key]));
    let mut batches = split_puts(puts);
    let swap_puts = batches.pop().unwrap_or_default();
    let pending = store_keys::pending(&plan.operation);
    let has_batches = !batches.is_empty();
    // Every batch writes the list of pending keys, since another attempt's swap may delete it in
    // between.
    for batch in &mut batches {
        batch.push(put(&pending, &to_json(&new)));
    }
    let keys: BTreeSet<_> = values.into_keys().collect();
    let mut then = swap_puts;
    then.extend(put_head(plan, snapshot, &keys));
    then.extend(has_batches.then(|| delete(&pending)));
    then.extend(delete_outdated(snapshot, &keys));
    let free_ops = MAX_TXN_OPS - then.len();
    then.extend(delete_abandoned(snapshot, &keys, &pending, free_ops));
    WriteTxns {
        batches: batches.into_iter().map(unconditional_txn).collect(),
        swap: StoreTxn {
            compares: vec![compare_head(snapshot)],
            then,
            otherwise: Vec::new(),
        },
    }
}

/// Writes the history entry and the head.
fn put_head(plan: &ApplyPlan, snapshot: &StoreSnapshot, keys: &BTreeSet<String>) -> [StoreOp; 2] {
    let head = next_head(plan, snapshot);
    let entry = HistoryEntry {
        head: head.clone(),
        replaced: snapshot.keys.difference(keys).cloned().collect(),
    };
    [
        put(&store_keys::history(head.revision), &to_json(&entry)),
        put(store_keys::HEAD, &head.to_bytes()),
    ]
}

/// Deletes unused keys of attempts that did not complete their swap, with at most `free_ops`
/// operations.
///
/// If such an attempt is still running, its own swap fails, since this is part of a swap that
/// replaces the head.
fn delete_abandoned(
    snapshot: &StoreSnapshot,
    keys: &BTreeSet<String>,
    own_key: &str,
    mut free_ops: usize,
) -> Vec<StoreOp> {
    let is_unused = |key: &&String| !keys.contains(*key) && !snapshot.keys.contains(*key);
    let mut ops = Vec::new();
    for attempt in snapshot
        .abandoned
        .iter()
        .filter(|attempt| attempt.key != own_key)
    {
        if free_ops < 2 {
            return ops;
        }
        let unused: Vec<_> = attempt.written.iter().filter(is_unused).cloned().collect();
        let (deleted, remaining) = unused.split_at(unused.len().min(free_ops - 1));
        ops.extend(deleted.iter().map(|key| delete(key)));
        ops.push(if remaining.is_empty() {
            delete(&attempt.key)
        } else {
            put(&attempt.key, &to_json(&remaining))
        });
        free_ops -= deleted.len() + 1;
    }
    ops
}

fn site_indexes(plan: &ApplyPlan) -> BTreeMap<SiteName, SiteIndex> {
    let mut indexes: BTreeMap<SiteName, SiteIndex> = BTreeMap::new();
    for ((site, service), value) in &plan.values {
        let index = indexes.entry(site.clone()).or_default();
        index.0.insert(ServiceName::clone(service), value.digest);
    }
    indexes
}

/// Every value and index of a plan by its store key.
fn values_by_key(plan: &ApplyPlan) -> BTreeMap<String, Vec<u8>> {
    let values = plan.values.values();
    let values = values.map(|value| (store_keys::value(&value.digest), value.bytes.to_vec()));
    let indexes = site_indexes(plan).into_values();
    let indexes = indexes.map(|index| (store_keys::index(&index.digest()), index.to_bytes()));
    values.chain(indexes).collect()
}

fn next_head(plan: &ApplyPlan, snapshot: &StoreSnapshot) -> ConfigHead {
    ConfigHead {
        revision: snapshot.next_revision(),
        sites: site_digests(plan),
        operator: Arc::clone(&plan.operator),
        operation: Arc::clone(&plan.operation),
        unix_time_s: plan.unix_time_s,
        note: Arc::clone(&plan.note),
    }
}

fn compare_head(snapshot: &StoreSnapshot) -> Compare {
    let key = store_keys::HEAD.to_owned();
    match snapshot.head {
        Some(_) => Compare::ModRevision(key, snapshot.mod_revision),
        None => Compare::Absent(key),
    }
}

/// Deletes replaced values and history entries whose retention has ended. These deletes are part of
/// the swap, so that they can't race with another attempt.
fn delete_outdated(snapshot: &StoreSnapshot, keys: &BTreeSet<String>) -> Vec<StoreOp> {
    const MAX_DELETES: usize = 16;
    let is_unused = |key: &&String| !keys.contains(*key) && !snapshot.keys.contains(*key);
    let outdated = snapshot.outdated.iter().filter(is_unused).take(MAX_DELETES);
    let next = snapshot.next_revision();
    let history = (next > HISTORY_RETENTION_REVISIONS)
        .then(|| store_keys::history(next - HISTORY_RETENTION_REVISIONS));
    let all = outdated.cloned().chain(history);
    all.map(|key| delete(&key)).collect()
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
        if batch.len() == MAX_BATCH_PUTS || bytes + length > MAX_TXN_BYTES {
            batches.push(std::mem::take(&mut batch));
            bytes = 0;
        }
        bytes += length;
        batch.push(op);
    }
    batches.push(batch);
    batches
}

const fn unconditional_txn(then: Vec<StoreOp>) -> StoreTxn {
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

fn delete(key: &str) -> StoreOp {
    StoreOp::Delete(KeyRange::Key(key.to_owned()))
}

/// Serializes to JSON. Can't fail for the types used here, which hold only strings and numbers.
fn to_json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

/// The values found by the range read with index `read` of a transaction.
pub fn values(reply: &TxnReply, read: usize) -> impl Iterator<Item = &StoreValue> {
    reply.reads.get(read).into_iter().flatten()
}

/// Parses the JSON of a stored value.
pub fn parse<T: DeserializeOwned>(value: &StoreValue) -> Result<T, String> {
    serde_json::from_slice(&value.value).map_err(|error| format!("{}: {error}", value.key))
}

fn read_keys_txn(keys: impl IntoIterator<Item = String>) -> StoreTxn {
    let ranges = keys
        .into_iter()
        .map(|key| StoreOp::Range(KeyRange::Key(key)));
    unconditional_txn(ranges.collect())
}
