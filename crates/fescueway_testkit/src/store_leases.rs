//! The leases of the store stand-in.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    json_body::integer,
    store_core::{CallError, StoreCore},
};

/// One lease.
#[derive(Debug)]
pub(crate) struct StoredLease {
    time_to_live: Duration,
    lapses_at: Instant,
    /// Keys that end with it.
    pub(crate) keys: BTreeSet<Vec<u8>>,
}

impl StoreCore {
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
}
