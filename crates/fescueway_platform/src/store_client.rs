//! The store client's calls.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::{
    KeyRange, LeaseGrant, LeaseId, RangeReply, StoreError, StoreFault, StoreStep, StoreTxn,
    StoreWatch, TxnReply,
    json_mapping::{RawLease, RawRange, RawStreamed, RawTxn, range_body, txn_body, watch_body},
    store_connection::{ConnectionSlot, open_stream},
};

/// Where the store is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreSettings {
    /// Addresses of the store's members, tried in turn. Never empty.
    addresses: Arc<[SocketAddr]>,
}

impl TryFrom<Vec<SocketAddr>> for StoreSettings {
    type Error = &'static str;

    fn try_from(addresses: Vec<SocketAddr>) -> Result<Self, Self::Error> {
        if addresses.is_empty() {
            return Err("the store needs at least one address");
        }
        Ok(Self {
            addresses: addresses.into(),
        })
    }
}

/// A client of the platform's store. Clones share one connection.
///
/// It doesn't retry a call by itself: whether a write may be sent again is its caller's decision.
/// After a call that failed the next one goes to the next address.
#[derive(Clone, Debug)]
pub struct StoreClient {
    /// Where the store is.
    settings: StoreSettings,
    /// State that clones share.
    shared: Arc<SharedState>,
}

/// What the clones of a client share.
#[derive(Debug, Default)]
struct SharedState {
    /// Index of the address in use, modulo their number.
    position: AtomicUsize,
    /// The connection in use.
    connection: ConnectionSlot,
}

impl StoreClient {
    /// A client of the store at `settings`. Opens nothing yet.
    #[must_use]
    pub fn new(settings: StoreSettings) -> Self {
        Self {
            settings,
            shared: Arc::default(),
        }
    }

    /// Reads keys as of the latest write.
    ///
    /// # Errors
    /// When no answer came within `time_left` or the store refused.
    pub async fn range(
        &self,
        range: &KeyRange,
        time_left: Duration,
    ) -> Result<RangeReply, StoreError> {
        self.read(range, false, time_left).await
    }

    /// Reads keys from any member, which may lag behind the latest write.
    ///
    /// # Errors
    /// When no answer came within `time_left` or the store refused.
    pub async fn range_stale(
        &self,
        range: &KeyRange,
        time_left: Duration,
    ) -> Result<RangeReply, StoreError> {
        self.read(range, true, time_left).await
    }

    /// Runs a transaction.
    ///
    /// # Errors
    /// When no answer came within `time_left` or the store refused.
    /// [`StoreError::is_effect_unknown`] tells whether it may have taken effect.
    pub async fn commit(
        &self,
        txn: &StoreTxn,
        time_left: Duration,
    ) -> Result<TxnReply, StoreError> {
        let body = txn_body(txn);
        let raw = self
            .call::<RawTxn>(StoreStep::Txn, "/v3/kv/txn", &body, time_left)
            .await?;
        TxnReply::try_from(raw).map_err(|reason| self.unexpected(StoreStep::Txn, reason))
    }

    /// Grants a lease that lapses unless it is kept alive.
    ///
    /// # Errors
    /// When no answer came within `time_left` or the store refused.
    pub async fn grant_lease(
        &self,
        time_to_live: Duration,
        time_left: Duration,
    ) -> Result<LeaseGrant, StoreError> {
        let body = json!({ "TTL": time_to_live.as_secs().max(1).to_string(), "ID": "0" });
        let step = StoreStep::Lease;
        let raw = self
            .call::<RawLease>(step, "/v3/lease/grant", &body, time_left)
            .await?;
        Ok(lease_grant(&raw))
    }

    /// Keeps a lease alive for another of its time to live.
    ///
    /// # Errors
    /// [`StoreFault::LeaseLapsed`] when it has lapsed; else when no answer came within
    /// `time_left` or the store refused.
    pub async fn keep_lease(
        &self,
        lease: LeaseId,
        time_left: Duration,
    ) -> Result<LeaseGrant, StoreError> {
        let body = json!({ "ID": lease.0.to_string() });
        let step = StoreStep::Lease;
        let path = "/v3/lease/keepalive";
        let raw = self
            .call::<RawStreamed<RawLease>>(step, path, &body, time_left)
            .await?;
        let kept = raw.result.as_ref().map(lease_grant);
        let alive = kept.filter(|grant| !grant.time_to_live.is_zero());
        alive.ok_or_else(|| self.error(step, StoreFault::LeaseLapsed))
    }

    /// Ends a lease and deletes the keys bound to it.
    ///
    /// # Errors
    /// [`StoreFault::LeaseLapsed`] when it had lapsed; else when no answer came within
    /// `time_left` or the store refused.
    pub async fn revoke_lease(
        &self,
        lease: LeaseId,
        time_left: Duration,
    ) -> Result<(), StoreError> {
        let body = json!({ "ID": lease.0.to_string() });
        self.call::<Value>(StoreStep::Lease, "/v3/lease/revoke", &body, time_left)
            .await?;
        Ok(())
    }

    /// Watches keys for changes from `from_revision` on. The watch has a connection of its own.
    ///
    /// # Errors
    /// When the watch wasn't open within `time_left` or the store refused.
    pub async fn watch(
        &self,
        range: &KeyRange,
        from_revision: i64,
        time_left: Duration,
    ) -> Result<StoreWatch, StoreError> {
        let peer = self.peer();
        let body = watch_body(range, from_revision);
        let opening = open_stream(peer, "/v3/watch", &body);
        let opened = tokio::time::timeout(time_left, opening).await;
        let timed_out = || Err(StoreFault::AnswerLost("the watch did not open".into()));
        match opened.unwrap_or_else(|_elapsed| timed_out()) {
            Ok(stream) => Ok(StoreWatch::new(peer, stream)),
            Err(fault) => Err(self.failed(StoreStep::Watch, peer, fault)),
        }
    }

    /// Reads keys.
    async fn read(
        &self,
        range: &KeyRange,
        is_stale_allowed: bool,
        time_left: Duration,
    ) -> Result<RangeReply, StoreError> {
        let body = range_body(range, is_stale_allowed);
        let raw = self
            .call::<RawRange>(StoreStep::Range, "/v3/kv/range", &body, time_left)
            .await?;
        RangeReply::try_from(raw).map_err(|reason| self.unexpected(StoreStep::Range, reason))
    }

    /// Makes one call and reads its JSON answer.
    async fn call<T: DeserializeOwned>(
        &self,
        step: StoreStep,
        path: &str,
        body: &Value,
        time_left: Duration,
    ) -> Result<T, StoreError> {
        let peer = self.peer();
        let calling = self.shared.connection.call(peer, path, body);
        let answer = tokio::time::timeout(time_left, calling).await;
        let timed_out = || {
            Err(StoreFault::AnswerLost(format!(
                "nothing within {time_left:?}"
            )))
        };
        let bytes = answer
            .unwrap_or_else(|_elapsed| timed_out())
            .map_err(|fault| self.failed(step, peer, fault))?;
        serde_json::from_slice(&bytes).map_err(|error| self.unexpected(step, error.to_string()))
    }

    /// The address in use.
    #[must_use]
    pub fn peer(&self) -> SocketAddr {
        let position = self.shared.position.load(Ordering::Relaxed);
        self.settings.addresses[position % self.settings.addresses.len()]
    }

    /// Notes that a call to `peer` failed. When the member itself is at fault, the next call goes
    /// to the next one.
    fn failed(&self, step: StoreStep, peer: SocketAddr, fault: StoreFault) -> StoreError {
        if matches!(
            fault,
            StoreFault::Unreachable(_) | StoreFault::AnswerLost(_)
        ) {
            self.shared.position.fetch_add(1, Ordering::Relaxed);
        }
        StoreError { step, peer, fault }
    }

    /// An error that is not the member's fault.
    fn error(&self, step: StoreStep, fault: StoreFault) -> StoreError {
        StoreError {
            step,
            peer: self.peer(),
            fault,
        }
    }

    /// An answer that makes no sense.
    fn unexpected(&self, step: StoreStep, reason: String) -> StoreError {
        self.error(step, StoreFault::Unexpected(reason))
    }
}

/// A lease with its time to live.
fn lease_grant(raw: &RawLease) -> LeaseGrant {
    let (lease, seconds) = raw.parts();
    LeaseGrant {
        lease,
        time_to_live: Duration::from_secs(seconds),
    }
}
