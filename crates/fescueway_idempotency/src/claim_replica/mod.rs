//! One node's replica of one partition.

mod key_transfer;
mod maintenance;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fescueway_core::{KeyDigest, MonoTime, NodeId};
use statig::blocking::{InitializedStateMachine, IntoStateMachineExt};

use crate::{
    ClaimLimits, ClaimReply, ClaimTable, KeyClaim, PartitionId, PartitionRecord, Replica,
    ReplicaState,
    failure_detector::FailureDetector,
    replica_state::{ReplicaEvent, ReplicaStateMachine},
};

/// One node's replica of one partition: its state, the newest record and the claimed keys.
///
/// Invariant: while it serves, it knows every key that may have run, except keys past their
/// retention. A key runs only when the primary and the backup of one epoch both recorded it, so
/// no key runs under an epoch once one of its replicas has learned a later one.
#[derive(Debug)]
pub struct ClaimReplica {
    /// This node, as records name it.
    own: Replica,
    /// The partition.
    partition: PartitionId,
    /// The newest record known.
    record: Option<PartitionRecord>,
    /// When the read or swap was sent with which the store last confirmed that record.
    confirmed_at: Option<MonoTime>,
    /// The newest epoch in which this node had all claimed keys.
    complete_epoch: Option<u64>,
    /// When recovery ends because all missing keys are past their retention.
    recovery_ends_at: Option<MonoTime>,
    /// The last key fetched from each source.
    fetch_positions: BTreeMap<NodeId, KeyDigest>,
    /// When each fetch that waits for a reply was sent, by source.
    fetches_in_flight: BTreeMap<NodeId, MonoTime>,
    /// Nodes that know the record, or were sent it once and can read it from the store.
    informed_nodes: BTreeSet<NodeId>,
    /// The state machine of the replica.
    state_machine: InitializedStateMachine<ReplicaStateMachine>,
    /// The claimed keys.
    table: ClaimTable,
    /// Nodes of the record that are absent, and since when.
    absent_since: BTreeMap<NodeId, MonoTime>,
    /// Detects whether the other replica and its possible successors are up.
    failure_detector: FailureDetector,
    /// Earliest time of the next store call.
    next_store_call_at: MonoTime,
    /// When the newest record was learned.
    learned_at: MonoTime,
    /// Earliest time of the next read of a record that is unknown or unconfirmed.
    next_read_at: MonoTime,
    /// Number of reads that found no record, up to a maximum.
    empty_reads: u32,
    /// Whether a claim under the known record failed, so that it may be out of date.
    is_read_requested: bool,
    /// When this node began to manage the partition.
    started_at: MonoTime,
    /// Whether the record names no backup although another host is up. Then nothing is granted: a
    /// crash of this node would make the partition unavailable until all its keys have expired.
    awaits_backup: bool,
    /// The epoch in which this node proposed a record that treats its claimed keys as lost. It
    /// can't become complete in that epoch any more, as the proposal may take effect late.
    abandoned_epoch: Option<u64>,
    /// Whether the node is leaving.
    is_leaving: bool,
    /// The epoch of which a replica fetched all claimed keys from this node.
    handed_over_epoch: Option<u64>,
}

impl ClaimReplica {
    /// Creates the replica of a node that is not assigned to the partition.
    #[must_use]
    pub fn new(own: Replica, partition: PartitionId, now: MonoTime) -> Self {
        Self {
            own,
            partition,
            record: None,
            confirmed_at: None,
            complete_epoch: None,
            recovery_ends_at: None,
            fetch_positions: BTreeMap::new(),
            fetches_in_flight: BTreeMap::new(),
            informed_nodes: BTreeSet::new(),
            state_machine: ReplicaStateMachine.uninitialized_state_machine().init(),
            table: ClaimTable::default(),
            absent_since: BTreeMap::new(),
            failure_detector: FailureDetector::default(),
            next_store_call_at: now,
            learned_at: now,
            next_read_at: now,
            empty_reads: 0,
            is_read_requested: false,
            started_at: now,
            awaits_backup: false,
            abandoned_epoch: None,
            is_leaving: false,
            handed_over_epoch: None,
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

    /// The state of the replica.
    #[must_use]
    pub fn state(&self) -> ReplicaState {
        ReplicaState::from(self.state_machine.state())
    }

    /// Whether a record is known and the node, if the record names it, grants claims.
    #[must_use]
    pub fn is_claimable(&self, now: MonoTime, limits: &ClaimLimits) -> bool {
        let named = self
            .record
            .as_ref()
            .map(|record| record.has_replica(self.own.node));
        named.is_some_and(|is_named| !is_named || self.is_granting(now, limits))
    }

    /// Whether a record is known and no replica that it names is suspected or absent.
    #[must_use]
    pub fn has_live_replicas(&self) -> bool {
        let is_present = |replica: &Replica| {
            let is_suspected = self
                .failure_detector
                .suspected_since(replica.node)
                .is_some();
            !is_suspected && !self.absent_since.contains_key(&replica.node)
        };
        let record = self.record.as_ref();
        record.is_some_and(|record| record.replicas().all(is_present))
    }

    /// Number of claimed keys held in memory.
    #[must_use]
    pub fn keys_held(&self) -> usize {
        self.table.len()
    }

    /// Starts to hand the partition over, if it is assigned to this node.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Whether the node may stop without losing claimed keys that no other node has.
    #[must_use]
    pub fn has_left(&self) -> bool {
        match self.state() {
            ReplicaState::Closed => true,
            ReplicaState::Retired => self.handed_over_epoch == self.epoch() || !self.is_orphan(),
            ReplicaState::Recovering | ReplicaState::Serving => false,
        }
    }

    /// Stores a record from another node. Ignores one that is not newer than the known record.
    pub fn learn(&mut self, now: MonoTime, limits: &ClaimLimits, record: &PartitionRecord) {
        if Some(record.epoch) <= self.epoch() {
            return;
        }
        self.confirmed_at = None;
        self.is_read_requested = false;
        // The other replica is probed first, as the store may have confirmed the record to it.
        self.learned_at = now;
        self.next_read_at = now + limits.store_call_interval;
        self.failure_detector.restart_probing();
        self.fetch_positions.clear();
        self.fetches_in_flight.clear();
        self.informed_nodes.clear();
        self.recovery_ends_at = self.recovery_deadline(now, limits, record);
        self.record = Some(record.clone());
        let event = self.event_for(record);
        if event == ReplicaEvent::NamedComplete {
            self.complete_epoch = Some(record.epoch);
        }
        self.state_machine.handle(&event);
    }

    /// Processes the record found in the store by a read or a swap that was sent at `sent_at`.
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
            self.is_read_requested = false;
            self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        }
    }

    /// The newest epoch known here, and how long ago the store confirmed it.
    #[must_use]
    pub fn standing(&self, now: MonoTime) -> ClaimReply {
        ClaimReply::Standing {
            epoch: self.epoch(),
            confirmed_ago: self.confirmed_at.map(|at| now.since(at)),
        }
    }

    /// Processes the standing of `node`, probed at `probed_at`. A confirmation by the store counts
    /// here too, from the earliest time at which `node` can have received it.
    pub fn receive_standing(
        &mut self,
        now: MonoTime,
        node: NodeId,
        probed_at: MonoTime,
        epoch: Option<u64>,
        confirmed_ago: Option<Duration>,
    ) {
        self.failure_detector.record_reply(now, node);
        if epoch != self.epoch() {
            return;
        }
        let ago_us = confirmed_ago.and_then(|ago| u64::try_from(ago.as_micros()).ok());
        let confirmed_us = ago_us.and_then(|ago_us| probed_at.as_micros().checked_sub(ago_us));
        let confirmed_at = confirmed_us.map(MonoTime::from_micros);
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
    }

    /// Suspects the other replica, from which a host got no reply. An incomplete replica ignores
    /// this and waits longer for the other one, whose claimed keys it needs.
    pub fn suspect_peer(&mut self, now: MonoTime, epoch: u64, silent: NodeId) {
        let peer = self
            .record
            .as_ref()
            .filter(|record| record.epoch == epoch)
            .and_then(|record| record.peer_of(self.own.node));
        let is_peer = peer.is_some_and(|peer| peer.node == silent);
        if is_peer && self.state() == ReplicaState::Serving {
            self.failure_detector.suspect(now, silent);
        }
    }

    /// Records that `node` knows `record`.
    pub fn record_announced(&mut self, node: NodeId, record: &PartitionRecord) {
        if self.record.as_ref() == Some(record) {
            self.informed_nodes.insert(node);
        }
    }

    /// When all keys of the orphans of `record` have expired. The deadline of the previous record
    /// is kept if it has the same orphans.
    fn recovery_deadline(
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
        let known_end = self.recovery_ends_at.filter(|_| before == Some(orphans));
        Some(known_end.unwrap_or(now + limits.recovery_wait()))
    }

    /// The state change that a new record causes at this node.
    fn event_for(&self, record: &PartitionRecord) -> ReplicaEvent {
        if !record.has_replica(self.own.node) {
            return ReplicaEvent::Unnamed;
        }
        let is_first = record.epoch == 1;
        // Nothing ran without this node between two consecutive epochs, and nothing ran at all
        // in the epochs after that of the orphans.
        let is_next = self.complete_epoch == Some(record.epoch - 1);
        if is_first || is_next || self.has_orphaned_keys(record) {
            return ReplicaEvent::NamedComplete;
        }
        ReplicaEvent::NamedIncomplete
    }

    /// Whether this node has the claimed keys that the orphans of `record` held.
    fn has_orphaned_keys(&self, record: &PartitionRecord) -> bool {
        let orphans = record.orphans.as_ref();
        orphans.is_some_and(|orphans| self.complete_epoch == Some(orphans.epoch))
    }

    /// Whether the newest record lists this node as an orphan.
    fn is_orphan(&self) -> bool {
        let orphans = self
            .record
            .as_ref()
            .and_then(|known| known.orphans.as_ref());
        orphans.is_some_and(|set| set.replicas.iter().any(|lost| lost.node == self.own.node))
    }

    /// Grants or refuses a host's claim.
    pub fn claim(&mut self, now: MonoTime, limits: &ClaimLimits, claim: &KeyClaim) -> ClaimReply {
        let Some(record) = self.record.clone() else {
            return ClaimReply::Unavailable;
        };
        if claim.epoch < record.epoch {
            return ClaimReply::Stale(Box::new(record));
        }
        let is_addressed = claim.replica == self.own.node && claim.epoch == record.epoch;
        if !is_addressed || !self.is_granting(now, limits) {
            return ClaimReply::Unavailable;
        }
        self.table.expire(now, limits.key_retention());
        if record.primary.node == self.own.node {
            let holders = self.table.holders(claim);
            if !holders.is_empty() {
                return ClaimReply::Held(holders);
            }
        }
        if !claim.is_peek && !self.table.record(now, claim, limits.max_keys) {
            return ClaimReply::Unavailable;
        }
        ClaimReply::Granted {
            epoch: record.epoch,
        }
    }

    /// Releases a claim that was not used.
    pub fn release(&mut self, key: KeyDigest, attempt_id: crate::ClaimAttemptId) {
        self.table.release(key, attempt_id);
    }

    /// Whether the node serves and the store has recently confirmed its record.
    fn is_granting(&self, now: MonoTime, limits: &ClaimLimits) -> bool {
        let is_confirmed = self
            .confirmed_at
            .is_some_and(|at| now.since(at) <= limits.confirmation_validity());
        is_confirmed && !self.awaits_backup && self.state() == ReplicaState::Serving
    }
}
