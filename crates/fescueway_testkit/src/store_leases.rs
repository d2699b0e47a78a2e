//! The leases of the store stub.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    json_body::parse_integer,
    store_data::{CallError, StoreData},
};

/// A lease.
#[derive(Debug)]
pub(crate) struct StoredLease {
    time_to_live: Duration,
    expires_at: Instant,
    /// Keys that are deleted when it ends.
    pub(crate) keys: BTreeSet<Vec<u8>>,
}

impl StoreData {
    /// Handles a grant request.
    pub(crate) fn grant(&mut self, body: &Value, now: Instant) -> Result<Value, CallError> {
        let seconds = parse_integer(&body["TTL"]).filter(|&seconds| seconds > 0);
        let seconds = seconds.ok_or_else(|| CallError::invalid("TTL is missing"))?;
        let time_to_live = Duration::from_secs(seconds.unsigned_abs());
        let id = self.next_lease;
        self.next_lease += 1;
        let expires_at = now + time_to_live;
        self.leases.insert(
            id,
            StoredLease {
                time_to_live,
                expires_at,
                keys: BTreeSet::new(),
            },
        );
        Ok(json!({
            "header": self.header(),
            "ID": id.to_string(),
            "TTL": seconds.to_string(),
        }))
    }

    /// Renews a lease. The response for an expired one lacks the time to live.
    pub(crate) fn keep_alive(&mut self, body: &Value, now: Instant) -> Value {
        let id = parse_integer(&body["ID"]).unwrap_or(0);
        let header = self.header();
        let renewed = self.leases.get_mut(&id).map(|lease| {
            lease.expires_at = now + lease.time_to_live;
            lease.time_to_live.as_secs().to_string()
        });
        match renewed {
            Some(seconds) => {
                json!({ "result": { "header": header, "ID": id.to_string(), "TTL": seconds } })
            }
            None => json!({ "result": { "header": header, "ID": id.to_string() } }),
        }
    }

    /// Handles a revoke request.
    pub(crate) fn revoke(&mut self, body: &Value) -> Result<Value, CallError> {
        let id = parse_integer(&body["ID"]).unwrap_or(0);
        if !self.remove_lease(id) {
            return Err(CallError::lease_not_found());
        }
        Ok(json!({ "header": self.header() }))
    }

    /// Removes the leases that have expired at `now`.
    pub(crate) fn expire(&mut self, now: Instant) {
        let is_expired = |lease: &StoredLease| lease.expires_at <= now;
        let expired: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, lease)| is_expired(lease))
            .map(|(&id, _)| id)
            .collect();
        for id in expired {
            self.remove_lease(id);
        }
    }

    /// Removes all leases at once.
    pub(crate) fn expire_all(&mut self) {
        let ids: Vec<_> = self.leases.keys().copied().collect();
        for id in ids {
            self.remove_lease(id);
        }
    }

    /// Deletes a lease with its keys. Returns false when there is none.
    fn remove_lease(&mut self, id: i64) -> bool {
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
