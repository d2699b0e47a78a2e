//! The transactions of an attempt.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use fescueway_core::{ServiceName, SiteName};
use fescueway_platform::{Compare, KeyRange, StoreOp, StoreTxn, StoreValue, TxnReply};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{ApplyPlan, ConfigHead, HistoryEntry, SiteDigest, SiteIndex, store_keys};

/// Values that one transaction writes, with room for the other steps of a swap.
const MAX_OPS: usize = 100;

/// Steps of one transaction that the store allows.
const MOST_OPS: usize = 128;

/// Bytes of the values of one transaction. The store allows a megabyte.
const MAX_TXN_BYTES: usize = 700_000;

/// Revisions for which values stay after they were replaced, for nodes that are reading them.
const KEPT_VALUES: u64 = 32;

/// Revisions that the history keeps.
const KEPT_HISTORY: u64 = 1_000;

/// Revisions above the reported one that a lost store may have accepted: nodes heard of them and
/// put none in force.
const LOST_REVISIONS: u64 = 1_000;

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
    /// The highest revision that any failure domain reports to have in force. Above the head's
    /// only when the store lost a head.
    pub reported: u64,
    /// Attempts that wrote values ahead and did not end with a swap.
    pub ended: Vec<EndedAttempt>,
}

/// What an attempt wrote ahead that did not end with a swap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedAttempt {
    /// The key under which the attempt named what it wrote.
    pub key: String,
    /// Keys that it wrote.
    pub written: Vec<String>,
}

/// The part of a failure domain's report that an attempt needs.
#[derive(Debug, Deserialize)]
struct ReportedRevision {
    /// The highest revision in force.
    highest: u64,
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

    /// Nodes ignore what is not above the revision that they have in force, or could not apply. So
    /// the next one is far above that when the store lost its head.
    pub fn next_revision(&self) -> u64 {
        if self.is_behind_nodes() {
            self.reported + LOST_REVISIONS
        } else {
            self.revision() + 1
        }
    }

    /// Whether nodes have a revision in force that is above the head's.
    pub fn is_behind_nodes(&self) -> bool {
        self.reported > self.revision()
    }

    /// Takes in the answer to [`read_head`].
    pub fn from_reply(reply: &TxnReply) -> Result<Self, String> {
        let mut base = Self::default();
        if let Some(value) = values(reply, 0).next() {
            base.head = Some(parse(value)?);
            base.mod_revision = value.mod_revision;
        }
        for value in values(reply, 1) {
            let report: ReportedRevision = parse(value)?;
            base.reported = base.reported.max(report.highest);
        }
        for value in values(reply, 2) {
            let written = parse(value)?;
            let key = value.key.clone();
            base.ended.push(EndedAttempt { key, written });
        }
        Ok(base)
    }

    /// Takes in the answer to [`read_indexes`].
    pub fn take_indexes(&mut self, reply: &TxnReply) -> Result<(), String> {
        let mut values = reply.reads.iter().flatten();
        if self.next_revision() > KEPT_VALUES {
            let outdated = reply.reads.first().and_then(|read| read.first());
            if let Some(value) = outdated {
                let entry: HistoryEntry = parse(value)?;
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

/// Reads the head, what nodes have in force, and what attempts wrote ahead.
pub fn read_head() -> StoreTxn {
    let ranges = [
        KeyRange::Key(store_keys::HEAD.to_owned()),
        KeyRange::Prefix(store_keys::IN_FORCE.to_owned()),
        KeyRange::Prefix(store_keys::PENDING.to_owned()),
    ];
    put_txn(ranges.map(StoreOp::Range).into())
}

/// Reads who made a revision, and the head.
pub fn read_history_and_head(revision: u64) -> StoreTxn {
    reads([store_keys::history(revision), store_keys::HEAD.to_owned()])
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
    let is_new = |key: &&String| !base.keys.contains(*key);
    let new: Vec<_> = wanted.keys().filter(is_new).cloned().collect();
    let puts = new.iter().map(|key| put(key, &wanted[key]));
    let mut batches = split_puts(puts);
    let last = batches.pop().unwrap_or_default();
    let pending = store_keys::pending(&plan.operation);
    let is_ahead = !batches.is_empty();
    // In each of them, since another attempt's swap may delete it in between.
    for batch in &mut batches {
        batch.push(put(&pending, &to_json(&new)));
    }
    let keys: BTreeSet<_> = wanted.into_keys().collect();
    let mut then = last;
    then.extend(put_head(plan, base, &keys));
    then.extend(is_ahead.then(|| delete(&pending)));
    then.extend(deletes(base, &keys));
    let room = MOST_OPS - then.len();
    then.extend(collect_ended(base, &keys, &pending, room));
    WriteTxns {
        batches: batches.into_iter().map(put_txn).collect(),
        swap: StoreTxn {
            compares: vec![head_compare(base)],
            then,
            otherwise: Vec::new(),
        },
    }
}

/// Writes the history's entry and the head.
fn put_head(plan: &ApplyPlan, base: &ReadBase, keys: &BTreeSet<String>) -> [StoreOp; 2] {
    let head = next_head(plan, base);
    let entry = HistoryEntry {
        head: head.clone(),
        replaced: base.keys.difference(keys).cloned().collect(),
    };
    [
        put(&store_keys::history(head.revision), &to_json(&entry)),
        put(store_keys::HEAD, &head.to_bytes()),
    ]
}

/// Deletes what attempts wrote ahead that did not end with a swap, at most `room` steps of it.
///
/// An attempt that is still under way loses: this is part of a swap, after which its own fails.
fn collect_ended(
    base: &ReadBase,
    keys: &BTreeSet<String>,
    own: &str,
    mut room: usize,
) -> Vec<StoreOp> {
    let is_unused = |key: &&String| !keys.contains(*key) && !base.keys.contains(*key);
    let mut ops = Vec::new();
    for attempt in base.ended.iter().filter(|attempt| attempt.key != own) {
        if room < 2 {
            return ops;
        }
        let unused: Vec<_> = attempt.written.iter().filter(is_unused).cloned().collect();
        let (now, later) = unused.split_at(unused.len().min(room - 1));
        ops.extend(now.iter().map(|key| delete(key)));
        ops.push(if later.is_empty() {
            delete(&attempt.key)
        } else {
            put(&attempt.key, &to_json(&later))
        });
        room -= now.len() + 1;
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

fn delete(key: &str) -> StoreOp {
    StoreOp::Delete(KeyRange::Key(key.to_owned()))
}

/// The JSON form of what holds only strings and numbers, which always have one.
fn to_json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

/// What one read of a transaction found.
pub fn values(reply: &TxnReply, read: usize) -> impl Iterator<Item = &StoreValue> {
    reply.reads.get(read).into_iter().flatten()
}

/// Reads a value in JSON.
pub fn parse<T: DeserializeOwned>(value: &StoreValue) -> Result<T, String> {
    serde_json::from_slice(&value.value).map_err(|error| format!("{}: {error}", value.key))
}

fn reads(keys: impl IntoIterator<Item = String>) -> StoreTxn {
    let ranges = keys
        .into_iter()
        .map(|key| StoreOp::Range(KeyRange::Key(key)));
    put_txn(ranges.collect())
}
