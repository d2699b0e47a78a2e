//! The keys, revisions and leases of the store stand-in.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

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

/// One lease.
#[derive(Debug)]
struct StoredLease {
    time_to_live: Duration,
    lapses_at: Instant,
    keys: BTreeSet<Vec<u8>>,
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
    leases: BTreeMap<i64, StoredLease>,
    /// The last revision given out.
    revision: i64,
    /// Recent changes, oldest first.
    history: VecDeque<StoredChange>,
    /// Changes of this revision and before are gone.
    compacted: i64,
    /// Number of the next lease.
    next_lease: i64,
}

/// A call that the store refuses.
#[derive(Debug)]
pub(crate) struct CallError {
    pub(crate) status: u16,
    pub(crate) message: String,
}

impl CallError {
    /// The call makes no sense.
    fn invalid(message: impl Into<String>) -> Self {
        Self {
            status: 400,
            message: message.into(),
        }
    }

    /// The lease isn't known.
    fn lease_not_found() -> Self {
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

    /// Grants a lease.
    pub(crate) fn grant(&mut self, body: &Value, now: Instant) -> Result<Value, CallError> {
        let seconds = integer(&body["TTL"]).filter(|&seconds| seconds > 0);
        let seconds = seconds.ok_or_else(|| CallError::invalid("TTL is missing"))?;
        let time_to_live = Duration::from_secs(seconds.unsigned_abs());
        let id = self.next_lease;
        self.next_lease += 1;
        let lapses_at = now + time_to_live;
        self.leases.insert(
            id,
            StoredLease {
                time_to_live,
                lapses_at,
                keys: BTreeSet::new(),
            },
        );
        Ok(json!({
            "header": self.header(),
            "ID": id.to_string(),
            "TTL": seconds.to_string(),
        }))
    }

    /// Keeps a lease alive. One that lapsed is answered without a time to live.
    pub(crate) fn keep_alive(&mut self, body: &Value, now: Instant) -> Value {
        let id = integer(&body["ID"]).unwrap_or(0);
        let header = self.header();
        let kept = self.leases.get_mut(&id).map(|lease| {
            lease.lapses_at = now + lease.time_to_live;
            lease.time_to_live.as_secs().to_string()
        });
        match kept {
            Some(seconds) => {
                json!({ "result": { "header": header, "ID": id.to_string(), "TTL": seconds } })
            }
            None => json!({ "result": { "header": header, "ID": id.to_string() } }),
        }
    }

    /// Ends a lease.
    pub(crate) fn revoke(&mut self, body: &Value) -> Result<Value, CallError> {
        let id = integer(&body["ID"]).unwrap_or(0);
        if !self.end_lease(id) {
            return Err(CallError::lease_not_found());
        }
        Ok(json!({ "header": self.header() }))
    }

    /// Ends the leases that are due at `now`.
    pub(crate) fn expire(&mut self, now: Instant) {
        let is_due = |lease: &StoredLease| lease.lapses_at <= now;
        let due: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, lease)| is_due(lease))
            .map(|(&id, _)| id)
            .collect();
        for id in due {
            self.end_lease(id);
        }
    }

    /// Ends all leases at once.
    pub(crate) fn expire_all(&mut self) {
        let ids: Vec<_> = self.leases.keys().copied().collect();
        for id in ids {
            self.end_lease(id);
        }
    }

    /// Deletes a lease with its keys; false when there is none.
    fn end_lease(&mut self, id: i64) -> bool {
        let Some(lease) = self.leases.remove(&id) else {
            return false;
        };
        let revision = self.revision + 1;
        for key in lease.keys {
            self.delete_key(&key, revision);
        }
        true
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
    fn delete_key(&mut self, key: &[u8], revision: i64) {
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

/// A range of keys.
#[derive(Clone, Debug)]
pub(crate) struct ByteRange {
    start: Vec<u8>,
    /// The first key after the range; empty for one key, a zero byte for all keys.
    end: Vec<u8>,
}

impl TryFrom<&Value> for ByteRange {
    type Error = CallError;

    fn try_from(body: &Value) -> Result<Self, CallError> {
        let end = body.get("range_end").map_or(Ok(Vec::new()), bytes)?;
        Ok(Self {
            start: bytes(&body["key"])?,
            end,
        })
    }
}

impl ByteRange {
    /// Whether `key` lies in the range.
    pub(crate) fn contains(&self, key: &[u8]) -> bool {
        match self.end.as_slice() {
            [] => key == self.start,
            [0] => key >= self.start.as_slice(),
            end => key >= self.start.as_slice() && key < end,
        }
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

/// The entries of a list field.
fn list<'a>(body: &'a Value, field: &str) -> &'a [Value] {
    body[field].as_array().map_or(&[], Vec::as_slice)
}

/// Bytes from a base64 field; a missing one is empty.
fn bytes(field: &Value) -> Result<Vec<u8>, CallError> {
    let text = field.as_str().unwrap_or("");
    STANDARD
        .decode(text)
        .map_err(|error| CallError::invalid(error.to_string()))
}

/// A 64-bit integer, sent as text or as a number.
pub(crate) fn integer(field: &Value) -> Option<i64> {
    field
        .as_str()
        .map_or_else(|| field.as_i64(), |text| text.parse().ok())
}
