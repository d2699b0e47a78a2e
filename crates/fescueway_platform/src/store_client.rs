//! The client of the store.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use crate::{
    ETCD_MAPPING, KeyRange, LeaseGrant, LeaseId, RangePage, RangeReply, StoreAnswer, StoreCall,
    StoreCallKind, StoreError, StoreFault, StoreMapping, StoreTxn, StoreWatch, TxnReply,
    store_call_counters::{StoreCallCount, StoreCallCounters},
    store_connection::ConnectionSlot,
};

/// Addresses of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreSettings {
    /// Addresses of the members of the store, used round robin after failures. Never empty.
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

/// A client of the platform's store. Clones share one idle connection.
///
/// It never retries a call: only its caller knows whether a write may be sent again. After a
/// failure to connect or to receive the answer, the next call goes to the next address.
#[derive(Clone, Debug)]
pub struct StoreClient {
    settings: StoreSettings,
    mapping: StoreMapping,
    shared: Arc<SharedState>,
}

/// State that the clones of a client share.
#[derive(Debug, Default)]
struct SharedState {
    /// Index of the address in use, modulo the number of addresses.
    address_index: AtomicUsize,
    connection: ConnectionSlot,
    counters: StoreCallCounters,
}

impl StoreClient {
    /// Creates a client that uses the JSON mapping of etcd. The first call opens a connection.
    #[must_use]
    pub fn new(settings: StoreSettings) -> Self {
        Self::with_mapping(settings, ETCD_MAPPING)
    }

    /// Creates a client for a store with the protocol `mapping`.
    #[must_use]
    pub fn with_mapping(settings: StoreSettings, mapping: StoreMapping) -> Self {
        Self {
            settings,
            mapping,
            shared: Arc::default(),
        }
    }

    /// Reads keys as of the latest write.
    ///
    /// # Errors
    /// If no answer came within `time_left` or the store refused.
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
    /// If no answer came within `time_left` or the store refused.
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
    /// If no answer came within `time_left` or the store refused.
    /// [`StoreError::is_effect_unknown`] says whether the transaction may have taken effect.
    pub async fn commit(
        &self,
        txn: &StoreTxn,
        time_left: Duration,
    ) -> Result<TxnReply, StoreError> {
        let kind = StoreCallKind::Txn;
        let call = (self.mapping.txn)(txn).map_err(|fault| self.unsent_error(kind, fault))?;
        self.call(kind, call, time_left, self.mapping.read_txn)
            .await
    }

    /// Grants a lease that expires unless it is kept alive.
    ///
    /// # Errors
    /// If no answer came within `time_left` or the store refused.
    pub async fn grant_lease(
        &self,
        time_to_live: Duration,
        time_left: Duration,
    ) -> Result<LeaseGrant, StoreError> {
        let call = (self.mapping.grant)(time_to_live);
        self.call(
            StoreCallKind::Lease,
            call,
            time_left,
            self.mapping.read_grant,
        )
        .await
    }

    /// Renews a lease for another time to live.
    ///
    /// # Errors
    /// [`StoreFault::LeaseExpired`] if the lease has expired; other faults if no answer came within
    /// `time_left` or the store refused.
    pub async fn keep_lease_alive(
        &self,
        lease: LeaseId,
        time_left: Duration,
    ) -> Result<LeaseGrant, StoreError> {
        let call = (self.mapping.keep_alive)(lease);
        let read = |answer: &StoreAnswer| (self.mapping.read_keep_alive)(lease, answer);
        self.call(StoreCallKind::Lease, call, time_left, read).await
    }

    /// Revokes a lease and deletes the keys bound to it.
    ///
    /// # Errors
    /// [`StoreFault::LeaseExpired`] if the lease had expired; other faults if no answer came within
    /// `time_left` or the store refused.
    pub async fn revoke_lease(
        &self,
        lease: LeaseId,
        time_left: Duration,
    ) -> Result<(), StoreError> {
        let call = (self.mapping.revoke)(lease);
        self.call(
            StoreCallKind::Lease,
            call,
            time_left,
            self.mapping.read_revoke,
        )
        .await
    }

    /// Watches keys for changes from `from_revision` on, over a connection of its own.
    ///
    /// # Errors
    /// If the watch did not open within `time_left` or the store refused.
    pub async fn watch(
        &self,
        range: &KeyRange,
        from_revision: i64,
        time_left: Duration,
    ) -> Result<StoreWatch, StoreError> {
        let peer = self.peer();
        let opening = StoreWatch::open(peer, &self.mapping.watch, range, from_revision);
        let opened = tokio::time::timeout(time_left, opening).await;
        let timed_out = || Err(StoreFault::AnswerLost("the watch did not open".into()));
        let opened = opened.unwrap_or_else(|_elapsed| timed_out());
        self.shared
            .counters
            .count(StoreCallKind::Watch, opened.is_ok());
        opened.map_err(|fault| self.fail_call(StoreCallKind::Watch, peer, fault))
    }

    /// Reads all pages of `range`.
    async fn read(
        &self,
        range: &KeyRange,
        is_stale_allowed: bool,
        time_left: Duration,
    ) -> Result<RangeReply, StoreError> {
        let kind = StoreCallKind::Range;
        let mut merged = RangeReply::default();
        loop {
            let page = RangePage {
                range,
                is_stale_allowed,
                after: merged.values.last().map(|value| value.key.as_str()),
            };
            let call = (self.mapping.range)(&page);
            let reading = self.call(kind, call, time_left, self.mapping.read_range);
            let (reply, has_more) = reading.await?;
            let is_empty = reply.values.is_empty();
            // The pages are not one snapshot: a watch has to start at the revision of the first
            // page.
            if merged.revision == 0 {
                merged.revision = reply.revision;
            }
            merged.values.extend(reply.values);
            if !has_more || is_empty {
                return Ok(merged);
            }
        }
    }

    /// Makes one call and parses its answer.
    async fn call<T>(
        &self,
        kind: StoreCallKind,
        call: StoreCall,
        time_left: Duration,
        read: impl Fn(&StoreAnswer) -> Result<T, StoreFault>,
    ) -> Result<T, StoreError> {
        let peer = self.peer();
        let calling = self.shared.connection.call(peer, call);
        let answer = tokio::time::timeout(time_left, calling).await;
        let timed_out = || {
            Err(StoreFault::AnswerLost(format!(
                "no answer within {time_left:?}"
            )))
        };
        let answer = answer.unwrap_or_else(|_elapsed| timed_out());
        let answer = answer.and_then(|answer| read(&answer));
        self.shared.counters.count(kind, answer.is_ok());
        answer.map_err(|fault| self.fail_call(kind, peer, fault))
    }

    /// Counts of the calls so far, by kind.
    #[must_use]
    pub fn counts(&self) -> impl IntoIterator<Item = StoreCallCount> + use<> {
        self.shared.counters.counts()
    }

    /// The address that the next call goes to.
    #[must_use]
    pub fn peer(&self) -> SocketAddr {
        let address_index = self.shared.address_index.load(Ordering::Relaxed);
        self.settings.addresses[address_index % self.settings.addresses.len()]
    }

    /// Creates the error of a failed call. If `peer` could not be reached or its answer was lost,
    /// the next call goes to the next address.
    fn fail_call(&self, kind: StoreCallKind, peer: SocketAddr, fault: StoreFault) -> StoreError {
        if matches!(
            fault,
            StoreFault::Unreachable(_) | StoreFault::AnswerLost(_)
        ) {
            self.shared.address_index.fetch_add(1, Ordering::Relaxed);
        }
        StoreError { kind, peer, fault }
    }

    /// Creates the error of a call that was not sent.
    fn unsent_error(&self, kind: StoreCallKind, fault: StoreFault) -> StoreError {
        StoreError {
            kind,
            peer: self.peer(),
            fault,
        }
    }
}
