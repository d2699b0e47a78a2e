//! The keys, revisions and leases of the store stand-in.

use std::collections::{BTreeMap, VecDeque};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

use crate::{
    json_body::{ByteRange, bytes, integer, list},
    store_leases::StoredLease,
};

/// Changes that are kept for watches that resume.
const HISTORY_LIMIT: usize = 10_000;

/// One key's value with its revisions.
#[derive(Clone, Debug)]
struct StoredValue {
    value: Vec<u8>,
    create_revision: i64,
    mod_revision: i64,
    version: i64,
    lease: i64,
}

/// One change, for watches.
#[derive(Clone, Debug)]
pub(crate) struct StoredChange {
    pub(crate) revision: i64,
    pub(crate) key: Vec<u8>,
    pub(crate) event: Value,
}

/// What the calls work on: keys in order, revisions and leases.
///
/// Invariant: the revision rises by one for each call that changes a key.
#[derive(Debug)]
pub(crate) struct StoreCore {
    /// Keys with their values.
    keys: BTreeMap<Vec<u8>, StoredValue>,
    /// Leases by id.
    pub(crate) leases: BTreeMap<i64, StoredLease>,
    /// The last revision given out.
    pub(crate) revision: i64,
    /// Recent changes, oldest first.
    history: VecDeque<StoredChange>,
    /// Changes of this revision and before are gone.
    compacted: i64,
    /// Number of the next lease.
    pub(crate) next_lease: i64,
}

/// A call that the store refuses.
#[derive(Debug)]
pub(crate) struct CallError {
    pub(crate) status: u16,
    pub(crate) message: String,
}

impl CallError {
    /// The call makes no sense.
    pub(crate) fn invalid(message: impl Into<String>) -> Self {
        Self {
            status: 400,
            message: message.into(),
        }
    }

    /// The lease isn't known.
    pub(crate) fn lease_not_found() -> Self {
        Self {
            status: 404,
            message: "etcdserver: requested lease not found".into(),
        }
    }
}

impl Default for StoreCore {
    fn default() -> Self {
        Self {
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            revision: 1,
            history: VecDeque::new(),
            compacted: 0,
            next_lease: 7_000,
        }
    }
}

impl StoreCore {
    /// The last revision given out.
    pub(crate) fn revision(&self) -> i64 {
        self.revision
    }

    /// The revision up to which changes are gone.
    pub(crate) fn compacted(&self) -> i64 {
        self.compacted
    }

    /// A copy of the keys, for stale reads.
    pub(crate) fn snapshot(&self) -> Self {
        Self {
            keys: self.keys.clone(),
            revision: self.revision,
            ..Self::default()
        }
    }

    /// Forgets all changes so far.
    pub(crate) fn compact(&mut self) {
        self.compacted = self.revision;
        self.history.clear();
    }

    /// Changes from `revision` on whose key lies in the range.
    pub(crate) fn changes_from(&self, revision: i64, range: &ByteRange) -> Vec<StoredChange> {
        let recent = self
            .history
            .iter()
            .filter(|change| change.revision >= revision);
        recent
            .filter(|change| range.contains(&change.key))
            .cloned()
            .collect()
    }

    /// Answers a range request.
    pub(crate) fn range(&self, body: &Value) -> Result<Value, CallError> {
        let range = ByteRange::try_from(body)?;
        let found = self.keys.iter().filter(|(key, _)| range.contains(key));
        let values: Vec<_> = found.map(|(key, stored)| value_json(key, stored)).collect();
        Ok(json!({
            "header": self.header(),
            "kvs": values,
            "count": values.len().to_string(),
        }))
    }

    /// Answers a transaction.
    pub(crate) fn txn(&mut self, body: &Value) -> Result<Value, CallError> {
        let compares = list(body, "compare");
        let mut is_success = true;
        for compare in compares {
            is_success &= self.holds(compare)?;
        }
        let ops = list(body, if is_success { "success" } else { "failure" });
        let revision = self.revision + 1;
        let mut responses = Vec::new();
        for op in ops {
            responses.push(self.run_op(op, revision)?);
        }
        Ok(json!({
            "header": self.header(),
            "succeeded": is_success,
            "responses": responses,
        }))
    }

    /// Whether a compare holds.
    fn holds(&self, compare: &Value) -> Result<bool, CallError> {
        let key = bytes(&compare["key"])?;
        let stored = self.keys.get(&key);
        let revision_of = |pick: fn(&StoredValue) -> i64| stored.map_or(0, pick);
        match compare["target"].as_str().unwrap_or("VERSION") {
            "CREATE" => {
                let wanted = integer(&compare["create_revision"]).unwrap_or(0);
                Ok(revision_of(|value| value.create_revision) == wanted)
            }
            "MOD" => {
                let wanted = integer(&compare["mod_revision"]).unwrap_or(0);
                Ok(revision_of(|value| value.mod_revision) == wanted)
            }
            "VERSION" => {
                let wanted = integer(&compare["version"]).unwrap_or(0);
                Ok(revision_of(|value| value.version) == wanted)
            }
            "VALUE" => {
                let wanted = bytes(&compare["value"])?;
                Ok(stored.is_some_and(|value| value.value == wanted))
            }
            other => Err(CallError::invalid(format!(
                "unknown compare target {other}"
            ))),
        }
    }

    /// Runs one step of a transaction.
    fn run_op(&mut self, op: &Value, revision: i64) -> Result<Value, CallError> {
        if let Some(put) = op.get("request_put") {
            self.put(put, revision)?;
            return Ok(json!({ "response_put": {} }));
        }
        if let Some(delete) = op.get("request_delete_range") {
            let range = ByteRange::try_from(delete)?;
            let keys: Vec<_> = self
                .keys
                .keys()
                .filter(|key| range.contains(key))
                .cloned()
                .collect();
            for key in &keys {
                self.delete_key(key, revision);
            }
            return Ok(json!({ "response_delete_range": { "deleted": keys.len().to_string() } }));
        }
        if let Some(range) = op.get("request_range") {
            return Ok(json!({ "response_range": self.range(range)? }));
        }
        Err(CallError::invalid("unknown step"))
    }

    /// Writes a key.
    fn put(&mut self, put: &Value, revision: i64) -> Result<(), CallError> {
        let key = bytes(&put["key"])?;
        let value = bytes(&put["value"])?;
        let lease = integer(&put["lease"]).unwrap_or(0);
        if lease != 0 {
            let held = self
                .leases
                .get_mut(&lease)
                .ok_or_else(CallError::lease_not_found)?;
            held.keys.insert(key.clone());
        }
        let before = self.keys.get(&key);
        let bound = before.map_or(0, |old| old.lease);
        if bound != lease
            && let Some(former) = self.leases.get_mut(&bound)
        {
            former.keys.remove(&key);
        }
        let stored = StoredValue {
            value,
            create_revision: before.map_or(revision, |old| old.create_revision),
            mod_revision: revision,
            version: before.map_or(1, |old| old.version + 1),
            lease,
        };
        let event = json!({ "kv": value_json(&key, &stored) });
        self.keys.insert(key.clone(), stored);
        self.record(StoredChange {
            revision,
            key,
            event,
        });
        Ok(())
    }

    /// Deletes a key.
    pub(crate) fn delete_key(&mut self, key: &[u8], revision: i64) {
        if self.keys.remove(key).is_none() {
            return;
        }
        let event = json!({
            "type": "DELETE",
            "kv": { "key": STANDARD.encode(key), "mod_revision": revision.to_string() },
        });
        self.record(StoredChange {
            revision,
            key: key.to_vec(),
            event,
        });
    }

    /// Keeps a change for watches.
    fn record(&mut self, change: StoredChange) {
        self.revision = change.revision;
        self.history.push_back(change);
        if self.history.len() > HISTORY_LIMIT
            && let Some(oldest) = self.history.pop_front()
        {
            self.compacted = oldest.revision;
        }
    }

    /// The header of every answer.
    pub(crate) fn header(&self) -> Value {
        json!({ "revision": self.revision.to_string() })
    }
}

/// The JSON form of a key with its value.
fn value_json(key: &[u8], stored: &StoredValue) -> Value {
    let mut value = json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(&stored.value),
        "create_revision": stored.create_revision.to_string(),
        "mod_revision": stored.mod_revision.to_string(),
        "version": stored.version.to_string(),
    });
    if stored.lease != 0 {
        value["lease"] = json!(stored.lease.to_string());
    }
    value
}
