//! One node's standing with one partition: what it remembers, grants and changes.

mod memory;
mod upkeep;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fescueway_core::{KeyDigest, MonoTime, NodeId};
use statig::blocking::{InitializedStateMachine, IntoStateMachineExt};

use crate::{
    ClaimLimits, ClaimReply, ClaimTable, KeyClaim, PartitionId, PartitionRecord, Replica,
    ReplicaState,
    peer_watch::PeerWatch,
    tenure::{TenureEvent, TenureMachine},
};

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
    /// When each source was last asked for memory, while its reply is waited for.
    fetching: BTreeMap<NodeId, MonoTime>,
    /// Nodes that know the record, or were told it once and can read it.
    told: BTreeSet<NodeId>,
    /// Where it stands.
    tenure: InitializedStateMachine<TenureMachine>,
    /// The memory.
    table: ClaimTable,
    /// Nodes of the record that are absent, and since when.
    absent: BTreeMap<NodeId, MonoTime>,
    /// Whether the nodes that matter here answer.
    watch: PeerWatch,
    /// Earliest time of the next call of the store.
    store_at: MonoTime,
    /// When the newest record was learned.
    learned_at: MonoTime,
    /// Earliest time of the next read of a record that is not known or not confirmed.
    read_at: MonoTime,
    /// Reads so far that found no record.
    reads: u32,
    /// Whether hosts could not claim by the record that is known here.
    is_doubtful: bool,
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
            fetching: BTreeMap::new(),
            told: BTreeSet::new(),
            tenure: TenureMachine.uninitialized_state_machine().init(),
            table: ClaimTable::default(),
            absent: BTreeMap::new(),
            watch: PeerWatch::default(),
            store_at: now,
            learned_at: now,
            read_at: now,
            reads: 0,
            is_doubtful: false,
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
    pub fn state(&self) -> ReplicaState {
        ReplicaState::from(self.tenure.state())
    }

    /// Whether the node knows who keeps the partition and, where it is named, grants keys.
    #[must_use]
    pub fn is_claimable(&self, now: MonoTime, limits: &ClaimLimits) -> bool {
        let named = self
            .record
            .as_ref()
            .map(|record| record.has_replica(self.own.node));
        named.is_some_and(|is_named| !is_named || self.is_granting(now, limits))
    }

    /// Whether a record is known, and no replica that it names is doubted or absent.
    #[must_use]
    pub fn has_live_replicas(&self) -> bool {
        let is_there = |replica: &Replica| {
            let is_doubted = self.watch.doubted_since(replica.node).is_some();
            !is_doubted && !self.absent.contains_key(&replica.node)
        };
        let record = self.record.as_ref();
        record.is_some_and(|record| record.replicas().all(is_there))
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
        match self.state() {
            ReplicaState::Closed => true,
            ReplicaState::Retired => self.handed_on_epoch == self.epoch() || !self.is_orphan(),
            ReplicaState::Recovering | ReplicaState::Serving => false,
        }
    }

    // --- Records ---

    /// Takes a record from another node. An older one than is known is passed over.
    pub fn learn(&mut self, now: MonoTime, limits: &ClaimLimits, record: &PartitionRecord) {
        if Some(record.epoch) <= self.epoch() {
            return;
        }
        self.confirmed_at = None;
        self.is_doubtful = false;
        // The other replica is asked first whether the store confirmed the record.
        self.learned_at = now;
        self.read_at = now + limits.store_call_interval;
        self.watch.ask_soon();
        self.fetched.clear();
        self.fetching.clear();
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
            self.is_doubtful = false;
            self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        }
    }

    /// Tells how this node stands.
    #[must_use]
    pub fn standing(&self, now: MonoTime) -> ClaimReply {
        ClaimReply::Standing {
            epoch: self.epoch(),
            confirmed_ago: self.confirmed_at.map(|at| now.since(at)),
        }
    }

    /// Takes the standing of `node`, asked for at `probed_at`. What the store confirmed to it is
    /// confirmed here, at the earliest time that it can have been.
    pub fn receive_standing(
        &mut self,
        now: MonoTime,
        node: NodeId,
        probed_at: MonoTime,
        epoch: Option<u64>,
        confirmed_ago: Option<Duration>,
    ) {
        self.watch.hear(now, node);
        if epoch != self.epoch() {
            return;
        }
        let ago_us = confirmed_ago.and_then(|ago| u64::try_from(ago.as_micros()).ok());
        let confirmed_us = ago_us.and_then(|ago_us| probed_at.as_micros().checked_sub(ago_us));
        let confirmed_at = confirmed_us.map(MonoTime::from_micros);
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
    }

    /// A host got no reply from the other replica. One that lacks memory waits for it longer.
    pub fn suspect_peer(&mut self, now: MonoTime, epoch: u64, silent: NodeId) {
        let peer = self
            .record
            .as_ref()
            .filter(|record| record.epoch == epoch)
            .and_then(|record| record.peer_of(self.own.node));
        let is_peer = peer.is_some_and(|peer| peer.node == silent);
        if is_peer && self.state() == ReplicaState::Serving {
            self.watch.doubt(now, silent);
        }
    }

    /// `node` knows `record`.
    pub fn record_announced(&mut self, node: NodeId, record: &PartitionRecord) {
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
        if !record.has_replica(self.own.node) {
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
    pub fn claim(&mut self, now: MonoTime, limits: &ClaimLimits, ask: &KeyClaim) -> ClaimReply {
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
    pub fn release(&mut self, key: KeyDigest, ask: crate::ClaimAttemptId) {
        self.table.release(key, ask);
    }

    /// Whether the node serves and the store has confirmed its record lately.
    fn is_granting(&self, now: MonoTime, limits: &ClaimLimits) -> bool {
        let is_confirmed = self
            .confirmed_at
            .is_some_and(|at| now.since(at) <= limits.confirmation_validity());
        is_confirmed && !self.awaits_backup && self.state() == ReplicaState::Serving
    }
}
