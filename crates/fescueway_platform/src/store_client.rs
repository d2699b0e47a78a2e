//! The store client's calls.

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
    /// The store's protocol.
    mapping: StoreMapping,
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
    /// Counts calls.
    counters: StoreCallCounters,
}

impl StoreClient {
    /// A client of the store at `settings`, which speaks etcd's JSON mapping. Opens nothing yet.
    #[must_use]
    pub fn new(settings: StoreSettings) -> Self {
        Self::with_mapping(settings, ETCD_MAPPING)
    }

    /// A client of a store that speaks another protocol.
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
        let kind = StoreCallKind::Txn;
        let call = (self.mapping.txn)(txn).map_err(|fault| self.error(kind, fault))?;
        self.call(kind, call, time_left, self.mapping.read_txn)
            .await
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
        let call = (self.mapping.grant)(time_to_live);
        self.call(
            StoreCallKind::Lease,
            call,
            time_left,
            self.mapping.read_grant,
        )
        .await
    }

    /// Keeps a lease alive for another of its time to live.
    ///
    /// # Errors
    /// [`StoreFault::LeaseExpired`] when it has lapsed; else when no answer came within
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

    /// Ends a lease and deletes the keys bound to it.
    ///
    /// # Errors
    /// [`StoreFault::LeaseExpired`] when it had lapsed; else when no answer came within
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
        let opening = StoreWatch::open(peer, &self.mapping.watch, range, from_revision);
        let opened = tokio::time::timeout(time_left, opening).await;
        let timed_out = || Err(StoreFault::AnswerLost("the watch did not open".into()));
        let opened = opened.unwrap_or_else(|_elapsed| timed_out());
        self.shared
            .counters
            .count(StoreCallKind::Watch, opened.is_ok());
        opened.map_err(|fault| self.failed(StoreCallKind::Watch, peer, fault))
    }

    /// Reads keys, page by page.
    async fn read(
        &self,
        range: &KeyRange,
        is_stale_allowed: bool,
        time_left: Duration,
    ) -> Result<RangeReply, StoreError> {
        let kind = StoreCallKind::Range;
        let mut found = RangeReply::default();
        loop {
            let page = RangePage {
                range,
                is_stale_allowed,
                after: found.values.last().map(|value| value.key.as_str()),
            };
            let call = (self.mapping.range)(&page);
            let reading = self.call(kind, call, time_left, self.mapping.read_range);
            let (reply, has_more) = reading.await?;
            let is_empty = reply.values.is_empty();
            // Pages are no snapshot: a watch has to begin where the first was read.
            if found.revision == 0 {
                found.revision = reply.revision;
            }
            found.values.extend(reply.values);
            if !has_more || is_empty {
                return Ok(found);
            }
        }
    }

    /// Makes one call and reads its answer.
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
                "nothing within {time_left:?}"
            )))
        };
        let answer = answer.unwrap_or_else(|_elapsed| timed_out());
        let answer = answer.and_then(|answer| read(&answer));
        self.shared.counters.count(kind, answer.is_ok());
        answer.map_err(|fault| self.failed(kind, peer, fault))
    }

    /// How many calls of each kind were answered so far, and how many were not.
    #[must_use]
    pub fn counts(&self) -> impl IntoIterator<Item = StoreCallCount> + use<> {
        self.shared.counters.counts()
    }

    /// The address in use.
    #[must_use]
    pub fn peer(&self) -> SocketAddr {
        let position = self.shared.position.load(Ordering::Relaxed);
        self.settings.addresses[position % self.settings.addresses.len()]
    }

    /// Notes that a call to `peer` failed. When the member itself is at fault, the next call goes
    /// to the next one.
    fn failed(&self, kind: StoreCallKind, peer: SocketAddr, fault: StoreFault) -> StoreError {
        if matches!(
            fault,
            StoreFault::Unreachable(_) | StoreFault::AnswerLost(_)
        ) {
            self.shared.position.fetch_add(1, Ordering::Relaxed);
        }
        StoreError { kind, peer, fault }
    }

    /// An error that is not the member's fault.
    fn error(&self, kind: StoreCallKind, fault: StoreFault) -> StoreError {
        StoreError {
            kind,
            peer: self.peer(),
            fault,
        }
    }
}
