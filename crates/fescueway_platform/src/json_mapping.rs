//! The JSON mapping of etcd v3, as documented for its gRPC-JSON gateway.
//!
//! Bytes are encoded as base64 and 64-bit integers as strings; fields with default values are
//! omitted.

use std::time::Duration;

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::{Method, StatusCode};
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::{Value, json};

use crate::{
    Compare, KeyRange, LeaseGrant, LeaseId, RangeReply, StoreAnswer, StoreCall, StoreFault,
    StoreMapping, StoreOp, StoreRevision, StoreTxn, StoreValue, TxnReply, WatchBatch, WatchEvent,
    WatchMapping,
};

/// The JSON mapping of etcd v3. Reads are not paginated.
pub const ETCD_MAPPING: StoreMapping = StoreMapping {
    read_era: |_headers| None,
    range: |page| {
        post(
            "/v3/kv/range",
            &range_body(page.range, page.is_stale_allowed),
        )
    },
    read_range: |answer| {
        let raw: RawRange = read_json(answer)?;
        let reply = RangeReply::try_from(raw).map_err(StoreFault::Unexpected)?;
        Ok((reply, false))
    },
    txn: |txn| Ok(post("/v3/kv/txn", &txn_body(txn))),
    read_txn: |answer| {
        let raw: RawTxn = read_json(answer)?;
        TxnReply::try_from(raw).map_err(StoreFault::Unexpected)
    },
    grant: |time_to_live| {
        let seconds = time_to_live.as_secs().max(1);
        post(
            "/v3/lease/grant",
            &json!({ "TTL": seconds.to_string(), "ID": "0" }),
        )
    },
    read_grant: |answer| Ok(lease_grant(&read_json::<RawLease>(answer)?)),
    keep_alive: |lease| {
        post(
            "/v3/lease/keepalive",
            &json!({ "ID": lease.number.to_string() }),
        )
    },
    read_keep_alive: |_lease, answer| {
        let raw: RawStreamMessage<RawLease> = read_json(answer)?;
        let kept = raw.result.as_ref().map(lease_grant);
        let alive = kept.filter(|grant| !grant.time_to_live.is_zero());
        alive.ok_or(StoreFault::LeaseExpired)
    },
    revoke: |lease| {
        post(
            "/v3/lease/revoke",
            &json!({ "ID": lease.number.to_string() }),
        )
    },
    read_revoke: |answer| read_json::<Value>(answer).map(|_empty| ()),
    watch: WatchMapping::Stream {
        open: |range, from_revision| post("/v3/watch", &watch_body(range, from_revision)),
        read_line: read_watch_line,
        read_refusal: refusal_fault,
    },
};

/// Builds a POST call with a JSON body.
fn post(path: &str, body: &Value) -> StoreCall {
    StoreCall {
        method: Method::POST,
        target: path.to_owned(),
        body: Bytes::from(body.to_string()),
    }
}

/// Parses the JSON body of an answer with status 200.
fn read_json<T: DeserializeOwned>(answer: &StoreAnswer) -> Result<T, StoreFault> {
    if answer.status != StatusCode::OK {
        return Err(refusal_fault(answer));
    }
    serde_json::from_slice(&answer.body).map_err(|error| StoreFault::Unexpected(error.to_string()))
}

/// The fault that an answer with a status other than 200 stands for.
fn refusal_fault(answer: &StoreAnswer) -> StoreFault {
    let status = answer.status;
    let text = String::from_utf8_lossy(&answer.body);
    match status {
        StatusCode::TOO_MANY_REQUESTS => StoreFault::RateLimited,
        StatusCode::NOT_FOUND if text.contains("lease") => StoreFault::LeaseExpired,
        // The gateway lost its connection to the etcd member; a write may have taken effect.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT => {
            StoreFault::AnswerLost(format!("{status}: {text}"))
        }
        _ => StoreFault::Unexpected(format!("{status}: {text}")),
    }
}

/// Converts a lease answer.
fn lease_grant(raw: &RawLease) -> LeaseGrant {
    let (lease, seconds) = raw.parts();
    LeaseGrant {
        lease,
        time_to_live: Duration::from_secs(seconds),
    }
}

/// Parses one line of a watch stream. The line that confirms the watch has no changes.
fn read_watch_line(line: &[u8]) -> Result<WatchBatch, StoreFault> {
    let raw = serde_json::from_slice::<RawStreamMessage<RawWatch>>(line);
    let raw = raw.map_err(|error| StoreFault::Unexpected(error.to_string()))?;
    if let Some(error) = raw.error {
        return Err(StoreFault::Unexpected(error.to_string()));
    }
    let Some(watch) = raw.result else {
        return Ok(WatchBatch::default());
    };
    if let Some(revision) = watch.compacted() {
        return Err(StoreFault::Compacted(revision));
    }
    if watch.canceled {
        return Err(StoreFault::AnswerLost("the store ended the watch".into()));
    }
    WatchBatch::try_from(watch).map_err(StoreFault::Unexpected)
}

/// The header of every answer.
#[derive(Debug, Default, Deserialize)]
struct RawHeader {
    /// Store revision at the time of the answer.
    #[serde(default)]
    revision: RawInteger,
}

/// A 64-bit integer, encoded as a string or a number.
#[derive(Clone, Copy, Debug, Default)]
struct RawInteger(i64);

/// A key with its value.
#[derive(Debug, Deserialize)]
struct RawValue {
    #[serde(default)]
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default)]
    mod_revision: RawInteger,
    #[serde(default)]
    version: RawInteger,
    #[serde(default)]
    lease: RawInteger,
}

/// The answer to a range request.
#[derive(Debug, Default, Deserialize)]
struct RawRange {
    #[serde(default)]
    header: RawHeader,
    #[serde(default)]
    kvs: Vec<RawValue>,
}

/// The answer to a transaction.
#[derive(Debug, Deserialize)]
struct RawTxn {
    #[serde(default)]
    header: RawHeader,
    #[serde(default)]
    succeeded: bool,
    #[serde(default)]
    responses: Vec<RawResponse>,
}

/// The answer to one operation of a transaction.
#[derive(Debug, Deserialize)]
struct RawResponse {
    response_range: Option<RawRange>,
}

/// The answer to a lease request.
#[derive(Debug, Default, Deserialize)]
struct RawLease {
    #[serde(default, rename = "ID")]
    id: RawInteger,
    /// Seconds until the lease expires; zero if it has expired.
    #[serde(default, rename = "TTL")]
    time_to_live: RawInteger,
}

/// One message of a streaming call.
#[derive(Debug, Deserialize)]
struct RawStreamMessage<T> {
    /// The message, unless there is an error.
    result: Option<T>,
    #[serde(default)]
    error: Option<Value>,
}

/// One message of a watch stream.
#[derive(Debug, Deserialize)]
struct RawWatch {
    #[serde(default)]
    header: RawHeader,
    /// Whether the store canceled the watch.
    #[serde(default)]
    canceled: bool,
    #[serde(default)]
    compact_revision: RawInteger,
    #[serde(default)]
    events: Vec<RawEvent>,
}

/// One change reported by a watch.
#[derive(Debug, Deserialize)]
struct RawEvent {
    #[serde(default, rename = "type")]
    kind: Option<String>,
    kv: RawValue,
}

impl<'de> Deserialize<'de> for RawInteger {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        use serde::de::Error;
        match Value::deserialize(deserializer)? {
            Value::String(text) => text.parse().map(Self).map_err(D::Error::custom),
            Value::Number(number) => number
                .as_i64()
                .map(Self)
                .ok_or_else(|| D::Error::custom("not a 64-bit integer")),
            other => Err(D::Error::custom(format!("not an integer: {other}"))),
        }
    }
}

impl RawLease {
    /// The lease and the seconds until it expires.
    fn parts(&self) -> (LeaseId, u64) {
        (
            LeaseId::new(self.id.0),
            u64::try_from(self.time_to_live.0).unwrap_or(0),
        )
    }
}

impl RawWatch {
    /// The oldest revision that the store still holds, if the watch asked for an older one.
    fn compacted(&self) -> Option<i64> {
        (self.compact_revision.0 > 0).then_some(self.compact_revision.0)
    }
}

impl TryFrom<RawValue> for StoreValue {
    type Error = String;

    fn try_from(raw: RawValue) -> Result<Self, String> {
        Ok(Self {
            key: decode_key(&raw.key)?,
            value: decode_bytes(&raw.value)?,
            mod_revision: StoreRevision::new(raw.mod_revision.0),
            version: raw.version.0,
            lease: (raw.lease.0 != 0).then_some(LeaseId::new(raw.lease.0)),
        })
    }
}

impl TryFrom<RawRange> for RangeReply {
    type Error = String;

    fn try_from(raw: RawRange) -> Result<Self, String> {
        let values = raw
            .kvs
            .into_iter()
            .map(StoreValue::try_from)
            .collect::<Result<_, _>>()?;
        Ok(Self {
            revision: StoreRevision::new(raw.header.revision.0),
            values,
        })
    }
}

impl TryFrom<RawTxn> for TxnReply {
    type Error = String;

    fn try_from(raw: RawTxn) -> Result<Self, String> {
        let ranges = raw
            .responses
            .into_iter()
            .filter_map(|response| response.response_range);
        let reads = ranges.map(|range| RangeReply::try_from(range).map(|reply| reply.values));
        Ok(Self {
            is_success: raw.succeeded,
            revision: StoreRevision::new(raw.header.revision.0),
            reads: reads.collect::<Result<_, _>>()?,
        })
    }
}

impl TryFrom<RawWatch> for WatchBatch {
    type Error = String;

    fn try_from(raw: RawWatch) -> Result<Self, String> {
        let events = raw
            .events
            .into_iter()
            .map(WatchEvent::try_from)
            .collect::<Result<_, _>>()?;
        Ok(Self {
            revision: StoreRevision::new(raw.header.revision.0),
            events,
        })
    }
}

impl TryFrom<RawEvent> for WatchEvent {
    type Error = String;

    fn try_from(raw: RawEvent) -> Result<Self, String> {
        if raw.kind.as_deref() == Some("DELETE") {
            let key = decode_key(&raw.kv.key)?;
            return Ok(Self::Delete {
                key,
                mod_revision: StoreRevision::new(raw.kv.mod_revision.0),
            });
        }
        raw.kv.try_into().map(Self::Put)
    }
}

/// The JSON body of a range request. With `is_stale_allowed`, a replica that lags may answer.
fn range_body(range: &KeyRange, is_stale_allowed: bool) -> Value {
    let mut body = range_fields(range);
    if is_stale_allowed {
        body["serializable"] = json!(true);
    }
    body
}

/// The JSON body of a transaction.
fn txn_body(txn: &StoreTxn) -> Value {
    json!({
        "compare": txn.compares.iter().map(compare_body).collect::<Vec<_>>(),
        "success": txn.then.iter().map(op_body).collect::<Vec<_>>(),
        "failure": txn.otherwise.iter().map(op_body).collect::<Vec<_>>(),
    })
}

/// The JSON body that opens a watch at `from_revision`.
fn watch_body(range: &KeyRange, from_revision: i64) -> Value {
    let mut request = range_fields(range);
    request["start_revision"] = json!(from_revision.to_string());
    json!({ "create_request": request })
}

/// `key` and, for a prefix, `range_end`.
fn range_fields(range: &KeyRange) -> Value {
    match range {
        KeyRange::Key(key) => json!({ "key": STANDARD.encode(key) }),
        KeyRange::Prefix(prefix) => json!({
            "key": STANDARD.encode(prefix),
            "range_end": STANDARD.encode(prefix_end(prefix.as_bytes())),
        }),
    }
}

/// The first key after all keys that start with `prefix`.
fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    // etcd reads a `range_end` of one zero byte as the end of all keys.
    vec![0]
}

/// The JSON form of a compare.
fn compare_body(compare: &Compare) -> Value {
    match compare {
        Compare::Absent(key) => json!({
            "key": STANDARD.encode(key),
            "target": "CREATE",
            "result": "EQUAL",
            "create_revision": "0",
        }),
        Compare::ModRevision(key, revision) => json!({
            "key": STANDARD.encode(key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": revision.number.to_string(),
        }),
        Compare::Value(key, value) => json!({
            "key": STANDARD.encode(key),
            "target": "VALUE",
            "result": "EQUAL",
            "value": STANDARD.encode(value),
        }),
    }
}

/// The JSON form of an operation.
fn op_body(op: &StoreOp) -> Value {
    match op {
        StoreOp::Put { key, value, lease } => {
            let mut put = json!({
                "key": STANDARD.encode(key),
                "value": STANDARD.encode(value),
            });
            if let Some(lease) = lease {
                put["lease"] = json!(lease.number.to_string());
            }
            json!({ "request_put": put })
        }
        StoreOp::Delete(range) => json!({ "request_delete_range": range_fields(range) }),
        StoreOp::Range(range) => json!({ "request_range": range_fields(range) }),
    }
}

/// Decodes bytes from base64.
fn decode_bytes(text: &str) -> Result<Vec<u8>, String> {
    STANDARD
        .decode(text)
        .map_err(|error| format!("not base64: {error}"))
}

/// Decodes a key from base64.
fn decode_key(text: &str) -> Result<String, String> {
    let bytes = decode_bytes(text)?;
    String::from_utf8(bytes).map_err(|error| format!("a key is not UTF-8: {error}"))
}
