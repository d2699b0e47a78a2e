//! One node's standing with one partition: what it remembers, grants and changes.

use std::collections::{BTreeMap, BTreeSet};

use fescueway_core::{KeyDigest, MonoTime, NodeId};
use statig::blocking::{InitializedStateMachine, IntoStateMachineExt};

use crate::{
    ClaimAsk, ClaimLimits, ClaimReply, ClaimTable, PartitionId, PartitionRecord, Replica,
    TableChunk, Tenure,
    record_change::RecordChange,
    replica_choice::LiveHosts,
    tenure::{TenureEvent, TenureMachine},
};

/// What a replica wants done. Each is tried again later when it doesn't succeed.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaAction {
    /// Read the record from the store and give it to [`ClaimReplica::confirm`].
    Read,
    /// Swap the record in the store, and give [`ClaimReplica::confirm`] what stands afterwards.
    Propose {
        /// What must stand there before, `None` for nothing.
        expected: Option<PartitionRecord>,
        /// What is to stand there.
        record: PartitionRecord,
    },
    /// Ask `from` for its memory and give it to [`ClaimReplica::receive`].
    Fetch {
        /// A node that may hold the whole memory.
        from: Replica,
        /// The record that entitles this node.
        record: PartitionRecord,
        /// Keys after this one.
        after: Option<KeyDigest>,
    },
    /// Send `record` to `to`, and call [`ClaimReplica::told`] when it has come there.
    Tell {
        /// The other replica.
        to: Replica,
        /// The record that names it.
        record: PartitionRecord,
    },
}

/// One node's standing with one partition.
///
/// Invariant: while it serves, it knows every key that may have run, but for keys that are past
/// their retention. A key runs only when the primary and the backup of one epoch both recorded
/// it, so no key runs under an epoch after one of its replicas has learned of a later one.
#[derive(Debug)]
pub struct ClaimReplica {
    /// This node, as a record names it.
    own: Replica,
    /// The partition.
    partition: PartitionId,
    /// The newest record known.
    record: Option<PartitionRecord>,
    /// When the read was sent by which the store confirmed that record.
    confirmed_at: Option<MonoTime>,
    /// The newest epoch in which this node's memory was whole.
    complete_epoch: Option<u64>,
    /// When the memory is whole because what is missing is past its retention.
    recovered_at: Option<MonoTime>,
    /// How far the fetch from each source has come.
    fetched: BTreeMap<NodeId, KeyDigest>,
    /// Replicas of the record that know it.
    told: BTreeSet<NodeId>,
    /// Where it stands.
    tenure: InitializedStateMachine<TenureMachine>,
    /// The memory.
    table: ClaimTable,
    /// Nodes of the record that are absent, and since when.
    absent: BTreeMap<NodeId, MonoTime>,
    /// Earliest time of the next call of the store.
    store_at: MonoTime,
    /// Since when the node has looked after the partition.
    started_at: MonoTime,
    /// Whether the record names no backup though another host is up. Then nothing is granted:
    /// a crash of this node would close the partition for as long as keys are remembered.
    awaits_backup: bool,
    /// The epoch for which this node proposed a record that takes its memory for lost. It can't
    /// become whole in that epoch any more, as the proposal may take effect late.
    abandoned_epoch: Option<u64>,
    /// Whether the node is leaving.
    is_leaving: bool,
    /// The epoch whose replicas fetched the whole memory.
    handed_on_epoch: Option<u64>,
}

impl ClaimReplica {
    /// A node without a part in the partition.
    #[must_use]
    pub fn new(own: Replica, partition: PartitionId, now: MonoTime) -> Self {
        Self {
            own,
            partition,
            record: None,
            confirmed_at: None,
            complete_epoch: None,
            recovered_at: None,
            fetched: BTreeMap::new(),
            told: BTreeSet::new(),
            tenure: TenureMachine.uninitialized_state_machine().init(),
            table: ClaimTable::default(),
            absent: BTreeMap::new(),
            store_at: now,
            started_at: now,
            awaits_backup: false,
            abandoned_epoch: None,
            is_leaving: false,
            handed_on_epoch: None,
        }
    }

    /// The newest record known.
    #[must_use]
    pub fn record(&self) -> Option<&PartitionRecord> {
        self.record.as_ref()
    }

    /// The epoch of the newest record known.
    fn epoch(&self) -> Option<u64> {
        self.record.as_ref().map(|record| record.epoch)
    }

    /// Where the node stands.
    #[must_use]
    pub fn tenure(&self) -> Tenure {
        Tenure::from(self.tenure.state())
    }

    /// Keys held in memory.
    #[must_use]
    pub fn keys_held(&self) -> usize {
        self.table.len()
    }

    /// From now on hands its partition over, if it keeps it.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Whether the node may stop without taking memory with it that nobody else has.
    #[must_use]
    pub fn has_left(&self) -> bool {
        match self.tenure() {
            Tenure::Closed => true,
            Tenure::Retired => self.handed_on_epoch == self.epoch() || !self.is_orphan(),
            Tenure::Recovering | Tenure::Serving => false,
        }
    }

    // --- Records ---

    /// Takes a record from another node. An older one than is known is passed over.
    pub fn learn(&mut self, now: MonoTime, limits: &ClaimLimits, record: &PartitionRecord) {
        if Some(record.epoch) <= self.epoch() {
            return;
        }
        self.confirmed_at = None;
        self.fetched.clear();
        self.told.clear();
        self.recovered_at = self.recovery_end(now, limits, record);
        self.record = Some(record.clone());
        let event = self.tenure_event(record);
        if event == TenureEvent::NamedComplete {
            self.complete_epoch = Some(record.epoch);
        }
        self.tenure.handle(&event);
    }

    /// Takes what the store holds, by a read or a swap that was sent at `sent_at`.
    pub fn confirm(
        &mut self,
        now: MonoTime,
        limits: &ClaimLimits,
        sent_at: MonoTime,
        found: Option<&PartitionRecord>,
    ) {
        let Some(record) = found else {
            return;
        };
        self.learn(now, limits, record);
        if self.record.as_ref() == Some(record) {
            self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        }
    }

    /// `node` knows `record`.
    pub fn told(&mut self, node: NodeId, record: &PartitionRecord) {
        if self.record.as_ref() == Some(record) {
            self.told.insert(node);
        }
    }

    /// When the keys of the orphans of `record` are past their retention. The wait goes on when
    /// the record before waited for the same ones.
    fn recovery_end(
        &self,
        now: MonoTime,
        limits: &ClaimLimits,
        record: &PartitionRecord,
    ) -> Option<MonoTime> {
        let orphans = record.orphans.as_ref()?;
        let before = self
            .record
            .as_ref()
            .and_then(|known| known.orphans.as_ref());
        let known_end = self.recovered_at.filter(|_| before == Some(orphans));
        Some(known_end.unwrap_or(now + limits.recovery_wait()))
    }

    /// What a new record means to this node.
    fn tenure_event(&self, record: &PartitionRecord) -> TenureEvent {
        if !record.names(self.own.node) {
            return TenureEvent::Dropped;
        }
        let is_first = record.epoch == 1;
        // Between two epochs that follow each other nothing ran without this node, and in
        // the epochs since those of the orphans nothing ran at all.
        let is_next = self.complete_epoch == Some(record.epoch - 1);
        if is_first || is_next || self.is_source_of(record) {
            return TenureEvent::NamedComplete;
        }
        TenureEvent::NamedIncomplete
    }

    /// Whether this node's memory is the one that the orphans of `record` held.
    fn is_source_of(&self, record: &PartitionRecord) -> bool {
        let orphans = record.orphans.as_ref();
        orphans.is_some_and(|orphans| self.complete_epoch == Some(orphans.epoch))
    }

    /// Whether the newest record counts this node among its orphans.
    fn is_orphan(&self) -> bool {
        let orphans = self
            .record
            .as_ref()
            .and_then(|known| known.orphans.as_ref());
        orphans.is_some_and(|set| set.replicas.iter().any(|lost| lost.node == self.own.node))
    }

    // --- Claims ---

    /// Decides on a host's claim.
    pub fn claim(&mut self, now: MonoTime, limits: &ClaimLimits, ask: &ClaimAsk) -> ClaimReply {
        let Some(record) = self.record.clone() else {
            return ClaimReply::Unavailable;
        };
        if ask.epoch < record.epoch {
            return ClaimReply::Stale(Box::new(record));
        }
        let is_meant = ask.replica == self.own.node && ask.epoch == record.epoch;
        if !is_meant || !self.is_granting(now, limits) {
            return ClaimReply::Unavailable;
        }
        self.table.expire(now, limits.key_retention());
        if record.primary.node == self.own.node {
            let holders = self.table.holders(ask);
            if !holders.is_empty() {
                return ClaimReply::Held(holders);
            }
        }
        if !ask.is_peek && !self.table.record(now, ask, limits.max_keys) {
            return ClaimReply::Unavailable;
        }
        ClaimReply::Granted {
            epoch: record.epoch,
        }
    }

    /// Drops a claim that was not used.
    pub fn release(&mut self, key: KeyDigest, ask: crate::AskId) {
        self.table.release(key, ask);
    }

    /// Whether the node serves and the store has confirmed its record lately.
    fn is_granting(&self, now: MonoTime, limits: &ClaimLimits) -> bool {
        let is_confirmed = self
            .confirmed_at
            .is_some_and(|at| now.since(at) <= limits.confirmed_for());
        is_confirmed && !self.awaits_backup && self.tenure() == Tenure::Serving
    }

    // --- Memory of other replicas ---

    /// Hands memory to a replica that `record` names. `None` when this node hasn't the whole.
    pub fn fetch(
        &mut self,
        now: MonoTime,
        limits: &ClaimLimits,
        record: &PartitionRecord,
        after: Option<KeyDigest>,
    ) -> Option<TableChunk> {
        self.learn(now, limits, record);
        let is_same = self.record.as_ref() == Some(record);
        let is_whole = self.complete_epoch == Some(record.epoch)
            || self.complete_epoch == Some(record.epoch - 1)
            || self.is_source_of(record);
        if !is_same || !is_whole {
            return None;
        }
        let chunk = self.table.chunk(after);
        if chunk.is_last {
            self.handed_on_epoch = Some(record.epoch);
        }
        Some(chunk)
    }

    /// Takes memory that was fetched from `from` under `record`.
    pub fn receive(
        &mut self,
        now: MonoTime,
        from: NodeId,
        record: &PartitionRecord,
        chunk: &TableChunk,
    ) {
        let is_due = self.record.as_ref() == Some(record) && self.tenure() == Tenure::Recovering;
        if !is_due {
            return;
        }
        self.table.merge(now, chunk);
        if let Some((key, _)) = chunk.entries.last() {
            self.fetched.insert(from, *key);
        }
        if chunk.is_last {
            self.complete(record.epoch);
        }
    }

    /// The memory is whole in `epoch`.
    fn complete(&mut self, epoch: u64) {
        if self.abandoned_epoch == Some(epoch) {
            return;
        }
        self.complete_epoch = Some(epoch);
        self.recovered_at = None;
        self.tenure.handle(&TenureEvent::Completed);
    }

    // --- Time ---

    /// Time passed. `live` are the hosts of the service that are up, this node included.
    pub fn tick(
        &mut self,
        now: MonoTime,
        limits: &ClaimLimits,
        live: &LiveHosts,
    ) -> Vec<ReplicaAction> {
        self.table.expire(now, limits.key_retention());
        self.track_absent(now, live);
        let is_alone = self
            .record
            .as_ref()
            .is_some_and(|held| held.backup.is_none());
        self.awaits_backup = is_alone && live.keys().any(|host| *host != self.own.node);
        self.end_recovery(now);
        let mut actions = self.fetches(live);
        actions.extend(self.tells(live));
        if now < self.store_at {
            return actions;
        }
        let action = self.proposal(now, limits, live);
        if action.is_some() && self.tenure() == Tenure::Recovering {
            self.abandoned_epoch = self.epoch();
        }
        let action =
            action.or_else(|| self.is_read_due(now, limits).then_some(ReplicaAction::Read));
        if action.is_some() {
            self.store_at = now + limits.store_pause;
        }
        actions.extend(action);
        actions
    }

    /// Asks for a read of the record at the next tick, as after a claim that found no replica.
    pub fn doubt(&mut self) {
        let is_named = self
            .record
            .as_ref()
            .is_some_and(|record| record.names(self.own.node));
        if !is_named {
            self.confirmed_at = None;
        }
    }

    /// Notes since when replicas of the record are absent.
    fn track_absent(&mut self, now: MonoTime, live: &LiveHosts) {
        let Some(record) = &self.record else {
            return;
        };
        let mut absent = BTreeMap::new();
        for replica in record
            .replicas()
            .filter(|held| !live.contains_key(&held.node))
        {
            let since = self.absent.get(&replica.node).copied().unwrap_or(now);
            absent.insert(replica.node, since);
        }
        self.absent = absent;
    }

    /// Ends the wait for memory that is past its retention.
    fn end_recovery(&mut self, now: MonoTime) {
        let is_over = self.recovered_at.is_some_and(|at| now >= at);
        if !is_over || self.tenure() != Tenure::Recovering {
            return;
        }
        if let Some(epoch) = self.epoch() {
            self.complete(epoch);
        }
    }

    /// Tells the replicas of a record that this node had a part in.
    fn tells(&self, live: &LiveHosts) -> Vec<ReplicaAction> {
        let Some(record) = self
            .record
            .as_ref()
            .filter(|_| self.tenure() != Tenure::Closed)
        else {
            return Vec::new();
        };
        let is_known = |to: &Replica| to.node == self.own.node || self.told.contains(&to.node);
        let is_due = |to: &&Replica| live.contains_key(&to.node) && !is_known(to);
        let tell = |to: &Replica| ReplicaAction::Tell {
            to: to.clone(),
            record: record.clone(),
        };
        record.replicas().filter(is_due).map(tell).collect()
    }

    /// Fetches from every node that may have the whole memory.
    fn fetches(&self, live: &LiveHosts) -> Vec<ReplicaAction> {
        let Some(record) = &self.record else {
            return Vec::new();
        };
        if self.tenure() != Tenure::Recovering {
            return Vec::new();
        }
        let orphans = record.orphans.iter().flat_map(|set| &set.replicas);
        let peers = record
            .replicas()
            .filter(|replica| live.contains_key(&replica.node));
        let sources = peers
            .chain(orphans)
            .filter(|source| source.node != self.own.node);
        let fetch = |from: &Replica| ReplicaAction::Fetch {
            from: from.clone(),
            record: record.clone(),
            after: self.fetched.get(&from.node).copied(),
        };
        sources.map(fetch).collect()
    }

    /// Whether the store should be asked if the record still stands.
    fn is_read_due(&self, now: MonoTime, limits: &ClaimLimits) -> bool {
        let Some(confirmed_at) = self.confirmed_at else {
            return true;
        };
        let is_named = self
            .record
            .as_ref()
            .is_some_and(|record| record.names(self.own.node));
        is_named && now.since(confirmed_at) >= limits.confirm_every()
    }

    /// The record that should stand instead of the known one, if any.
    fn proposal(
        &self,
        now: MonoTime,
        limits: &ClaimLimits,
        live: &LiveHosts,
    ) -> Option<ReplicaAction> {
        let change = RecordChange {
            own: &self.own,
            partition: &self.partition,
            live,
            limits,
            now,
            absent: &self.absent,
            started_at: self.started_at,
            is_whole: self.tenure() == Tenure::Serving,
            is_abandoned: self.abandoned_epoch == self.epoch() && self.record.is_some(),
            is_leaving: self.is_leaving,
        };
        let record = change.next_record(self.record.as_ref())?;
        Some(ReplicaAction::Propose {
            expected: self.record.clone(),
            record,
        })
    }
}
