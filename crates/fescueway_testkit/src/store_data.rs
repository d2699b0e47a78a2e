//! The keys, revisions and leases of the store stub.

use std::collections::{BTreeMap, VecDeque};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

use crate::{
    json_body::{KeyRange, decode_base64, list_field, parse_integer},
    store_leases::StoredLease,
};

/// Number of recent changes from which a watch can resume.
const HISTORY_LIMIT: usize = 10_000;

/// A key's value with its revisions.
#[derive(Clone, Debug)]
struct StoredValue {
    value: Vec<u8>,
    create_revision: i64,
    mod_revision: i64,
    version: i64,
    lease: i64,
}

/// A change of a key, as watches receive it.
#[derive(Clone, Debug)]
pub(crate) struct StoredChange {
    pub(crate) revision: i64,
    pub(crate) key: Vec<u8>,
    pub(crate) event: Value,
}

/// The data that calls read and write.
///
/// Invariant: the revision rises by one for each call that changes keys.
#[derive(Debug)]
pub(crate) struct StoreData {
    /// Values by key.
    keys: BTreeMap<Vec<u8>, StoredValue>,
    /// Leases by id.
    pub(crate) leases: BTreeMap<i64, StoredLease>,
    /// Revision of the last change.
    pub(crate) revision: i64,
    /// Recent changes, oldest first.
    history: VecDeque<StoredChange>,
    /// Changes up to and including this revision are no longer kept.
    compacted_revision: i64,
    /// Id of the next lease.
    pub(crate) next_lease: i64,
}

/// An error response to a call.
#[derive(Debug)]
pub(crate) struct CallError {
    pub(crate) status: u16,
    pub(crate) message: String,
}

impl CallError {
    /// The request is invalid.
    pub(crate) fn invalid(message: impl Into<String>) -> Self {
        Self {
            status: 400,
            message: message.into(),
        }
    }

    /// The lease doesn't exist.
    pub(crate) fn lease_not_found() -> Self {
        Self {
            status: 404,
            message: "etcdserver: requested lease not found".into(),
        }
    }
}

impl Default for StoreData {
    fn default() -> Self {
        Self {
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            revision: 1,
            history: VecDeque::new(),
            compacted_revision: 0,
            next_lease: 7_000,
        }
    }
}

impl StoreData {
    /// Revision of the last change.
    pub(crate) fn revision(&self) -> i64 {
        self.revision
    }

    /// The revision up to and including which changes are no longer kept.
    pub(crate) fn compacted_revision(&self) -> i64 {
        self.compacted_revision
    }

    /// A copy of the keys, for stale reads.
    pub(crate) fn snapshot(&self) -> Self {
        Self {
            keys: self.keys.clone(),
            revision: self.revision,
            ..Self::default()
        }
    }

    /// Drops the history of changes.
    pub(crate) fn compact(&mut self) {
        self.compacted_revision = self.revision;
        self.history.clear();
    }

    /// Changes of keys in `range` from `revision` on.
    pub(crate) fn changes_from(&self, revision: i64, range: &KeyRange) -> Vec<StoredChange> {
        let recent = self
            .history
            .iter()
            .filter(|change| change.revision >= revision);
        recent
            .filter(|change| range.contains(&change.key))
            .cloned()
            .collect()
    }

    /// Handles a range request.
    pub(crate) fn range(&self, body: &Value) -> Result<Value, CallError> {
        let range = KeyRange::try_from(body)?;
        let found = self.keys.iter().filter(|(key, _)| range.contains(key));
        let values: Vec<_> = found.map(|(key, stored)| value_json(key, stored)).collect();
        Ok(json!({
            "header": self.header(),
            "kvs": values,
            "count": values.len().to_string(),
        }))
    }

    /// Handles a transaction.
    pub(crate) fn txn(&mut self, body: &Value) -> Result<Value, CallError> {
        let compares = list_field(body, "compare");
        let mut is_success = true;
        for compare in compares {
            is_success &= self.evaluate_compare(compare)?;
        }
        let ops = list_field(body, if is_success { "success" } else { "failure" });
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

    /// Evaluates a compare of a transaction.
    fn evaluate_compare(&self, compare: &Value) -> Result<bool, CallError> {
        let key = decode_base64(&compare["key"])?;
        let stored = self.keys.get(&key);
        let field_or_zero = |field: fn(&StoredValue) -> i64| stored.map_or(0, field);
        match compare["target"].as_str().unwrap_or("VERSION") {
            "CREATE" => {
                let expected = parse_integer(&compare["create_revision"]).unwrap_or(0);
                Ok(field_or_zero(|value| value.create_revision) == expected)
            }
            "MOD" => {
                let expected = parse_integer(&compare["mod_revision"]).unwrap_or(0);
                Ok(field_or_zero(|value| value.mod_revision) == expected)
            }
            "VERSION" => {
                let expected = parse_integer(&compare["version"]).unwrap_or(0);
                Ok(field_or_zero(|value| value.version) == expected)
            }
            "VALUE" => {
                let expected = decode_base64(&compare["value"])?;
                Ok(stored.is_some_and(|value| value.value == expected))
            }
            other => Err(CallError::invalid(format!(
                "unknown compare target {other}"
            ))),
        }
    }

    /// Runs one operation of a transaction.
    fn run_op(&mut self, op: &Value, revision: i64) -> Result<Value, CallError> {
        if let Some(put) = op.get("request_put") {
            self.put(put, revision)?;
            return Ok(json!({ "response_put": {} }));
        }
        if let Some(delete) = op.get("request_delete_range") {
            let range = KeyRange::try_from(delete)?;
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
        let key = decode_base64(&put["key"])?;
        let value = decode_base64(&put["value"])?;
        let lease_id = parse_integer(&put["lease"]).unwrap_or(0);
        if lease_id != 0 {
            let lease = self
                .leases
                .get_mut(&lease_id)
                .ok_or_else(CallError::lease_not_found)?;
            lease.keys.insert(key.clone());
        }
        let previous = self.keys.get(&key);
        let previous_id = previous.map_or(0, |old| old.lease);
        if previous_id != lease_id
            && let Some(previous_lease) = self.leases.get_mut(&previous_id)
        {
            previous_lease.keys.remove(&key);
        }
        let stored = StoredValue {
            value,
            create_revision: previous.map_or(revision, |old| old.create_revision),
            mod_revision: revision,
            version: previous.map_or(1, |old| old.version + 1),
            lease: lease_id,
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

    /// Appends a change to the history.
    fn record(&mut self, change: StoredChange) {
        self.revision = change.revision;
        self.history.push_back(change);
        if self.history.len() > HISTORY_LIMIT
            && let Some(oldest) = self.history.pop_front()
        {
            self.compacted_revision = oldest.revision;
        }
    }

    /// The header of every response.
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
