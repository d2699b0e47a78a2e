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
    StoreCallKind, StoreEra, StoreError, StoreFault, StoreMapping, StoreRevision, StoreTxn,
    StoreWatch, TxnReply,
    store_call_counters::{StoreCallCount, StoreCallCounters},
    store_connection::ConnectionSlot,
    store_era::EraTracker,
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
///
/// Revisions and leases carry the era of the store in which they were given out. In another era a
/// lease has expired, a watch ends, and a transaction that refers to them is not sent.
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
    era: EraTracker,
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
        let sent_at = self.shared.era.newest();
        if !txn.is_of_era(sent_at.era) {
            return Err(self.local_error(kind, StoreFault::Restored));
        }
        let call = (self.mapping.txn)(txn).map_err(|fault| self.local_error(kind, fault))?;
        let calling = self.call(kind, call, time_left, self.mapping.read_txn);
        let (mut reply, era) = calling.await?;
        reply.set_era(era);
        if !txn.is_of_era(era) {
            return Err(self.local_error(kind, StoreFault::Restored));
        }
        if reply.is_success {
            self.check_revision(kind, reply.revision, sent_at)?;
        }
        Ok(reply)
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
        let kind = StoreCallKind::Lease;
        let calling = self.call(kind, call, time_left, self.mapping.read_grant);
        let (mut grant, era) = calling.await?;
        grant.lease.era = era;
        Ok(grant)
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
        self.check_lease(lease, self.shared.era.newest().era)?;
        let call = (self.mapping.keep_alive)(lease);
        let read = |answer: &StoreAnswer| (self.mapping.read_keep_alive)(lease, answer);
        let calling = self.call(StoreCallKind::Lease, call, time_left, read);
        let (mut grant, era) = calling.await?;
        self.check_lease(lease, era)?;
        grant.lease = lease;
        Ok(grant)
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
        self.check_lease(lease, self.shared.era.newest().era)?;
        let call = (self.mapping.revoke)(lease);
        let kind = StoreCallKind::Lease;
        let calling = self.call(kind, call, time_left, self.mapping.read_revoke);
        calling.await.map(|((), _era)| ())
    }

    /// Watches keys for changes from `from_revision` on, over a connection of its own.
    ///
    /// # Errors
    /// If the watch did not open within `time_left` or the store refused. [`StoreFault::Restored`] if
    /// the revision is of a former era.
    pub async fn watch(
        &self,
        range: &KeyRange,
        from_revision: StoreRevision,
        time_left: Duration,
    ) -> Result<StoreWatch, StoreError> {
        let peer = self.peer();
        let tracker = self.shared.era.clone();
        let opening = StoreWatch::open(peer, &self.mapping, range, from_revision, tracker);
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
            let sent_at = self.shared.era.newest();
            let page = RangePage {
                range,
                is_stale_allowed,
                after: merged.values.last().map(|value| value.key.as_str()),
            };
            let call = (self.mapping.range)(&page);
            let reading = self.call(kind, call, time_left, self.mapping.read_range);
            let ((mut reply, has_more), era) = reading.await?;
            reply.set_era(era);
            if !is_stale_allowed {
                self.check_revision(kind, reply.revision, sent_at)?;
            }
            let is_empty = reply.values.is_empty();
            // The pages are not one snapshot: a watch has to start at the revision of the first
            // page.
            if merged.revision.number == 0 {
                merged.revision = reply.revision;
            }
            if merged.revision.era != era {
                return Err(self.local_error(kind, StoreFault::Restored));
            }
            merged.values.extend(reply.values);
            if !has_more || is_empty {
                return Ok(merged);
            }
        }
    }

    /// Makes one call and parses its answer. Returns the reply with the era of the answer.
    async fn call<T>(
        &self,
        kind: StoreCallKind,
        call: StoreCall,
        time_left: Duration,
        read: impl Fn(&StoreAnswer) -> Result<T, StoreFault>,
    ) -> Result<(T, StoreEra), StoreError> {
        let peer = self.peer();
        let sent_at = self.shared.era.newest();
        let calling = self.shared.connection.call(peer, call);
        let answer = tokio::time::timeout(time_left, calling).await;
        let timed_out = || {
            Err(StoreFault::AnswerLost(format!(
                "no answer within {time_left:?}"
            )))
        };
        let answer = answer.unwrap_or_else(|_elapsed| timed_out());
        let answer = answer.and_then(|answer| {
            let named = (self.mapping.read_era)(&answer.headers);
            let era = self.shared.era.observe_era(named, sent_at)?;
            Ok((read(&answer)?, era))
        });
        self.shared.counters.count(kind, answer.is_ok());
        answer.map_err(|fault| self.fail_call(kind, peer, fault))
    }

    /// Checks that the store has not come back from an older copy, by the revision of an answer.
    fn check_revision(
        &self,
        kind: StoreCallKind,
        found: StoreRevision,
        sent_at: StoreRevision,
    ) -> Result<(), StoreError> {
        let observed = self.shared.era.observe_revision(found, sent_at);
        observed.map_err(|fault| self.local_error(kind, fault))
    }

    /// Checks that `lease` is of `era`.
    fn check_lease(&self, lease: LeaseId, era: StoreEra) -> Result<(), StoreError> {
        if lease.era == era {
            return Ok(());
        }
        Err(self.local_error(StoreCallKind::Lease, StoreFault::LeaseExpired))
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

    /// Creates the error of a call that was not sent, or whose answer is of no use.
    fn local_error(&self, kind: StoreCallKind, fault: StoreFault) -> StoreError {
        StoreError {
            kind,
            peer: self.peer(),
            fault,
        }
    }
}
