//! Decides on the next record of a partition.

use std::{collections::BTreeMap, time::Duration};

use fescueway_core::{MonoTime, NodeId};

use crate::{
    ClaimLimits, OrphanSet, PartitionId, PartitionRecord, Replica,
    replica_choice::{LiveHosts, best_backup, first_host},
};

/// The inputs of the decision whether a node proposes another record of a partition.
#[derive(Debug)]
pub(crate) struct RecordChange<'a> {
    /// This node.
    pub(crate) own: &'a Replica,
    /// The partition.
    pub(crate) partition: &'a PartitionId,
    /// Hosts of the service that are up, this node included.
    pub(crate) live: &'a LiveHosts,
    /// Limits.
    pub(crate) limits: &'a ClaimLimits,
    /// The current time.
    pub(crate) now: MonoTime,
    /// Nodes of the record that are absent, and since when.
    pub(crate) absent_since: &'a BTreeMap<NodeId, MonoTime>,
    /// When this node began to manage the partition.
    pub(crate) started_at: MonoTime,
    /// Whether this node serves, and thus knows every key that may have run.
    pub(crate) is_complete: bool,
    /// Whether this node already proposed a record that treats its claimed keys as lost.
    pub(crate) is_abandoned: bool,
    /// How long the other replica may be absent before it is replaced.
    pub(crate) peer_timeout: Duration,
    /// Whether this node is leaving.
    pub(crate) is_leaving: bool,
}

impl RecordChange<'_> {
    /// The record that should replace `known`, if any.
    pub(crate) fn next_record(&self, known: Option<&PartitionRecord>) -> Option<PartitionRecord> {
        match known {
            None => self.first_record(),
            Some(record) if record.has_replica(self.own.node) => self.changed_record(record),
            Some(record) => self.recovered_record(record),
        }
    }

    /// The first record of a partition that never had one. A host that knows no other host first
    /// waits [`ClaimLimits::replica_timeout`] for one to appear.
    fn first_record(&self) -> Option<PartitionRecord> {
        let first = first_host(self.partition, self.live)?;
        let is_waiting_for_hosts = self.now.since(self.started_at) < self.limits.replica_timeout;
        let is_early = self.live.len() < 2 && is_waiting_for_hosts;
        if first.node != self.own.node || self.is_leaving || is_early {
            return None;
        }
        Some(PartitionRecord {
            epoch: 1,
            primary: self.own.clone(),
            backup: best_backup(self.partition, self.live, self.own, None).cloned(),
            orphans: None,
        })
    }

    /// The record after one that names this node, when the other replica is absent, when there is
    /// none, or when this node leaves.
    fn changed_record(&self, record: &PartitionRecord) -> Option<PartitionRecord> {
        let peer = record.peer_of(self.own.node);
        let is_peer_lost = peer.is_some_and(|peer| self.is_absent(peer.node, self.peer_timeout));
        if self.is_leaving {
            return self.record_without_own(record, peer.filter(|_| !is_peer_lost));
        }
        let backup = best_backup(self.partition, self.live, self.own, None);
        let is_alone = peer.is_none() && backup.is_some();
        if !is_alone && !is_peer_lost && !self.is_abandoned {
            return None;
        }
        Some(PartitionRecord {
            epoch: record.epoch + 1,
            primary: self.own.clone(),
            backup: backup.cloned(),
            orphans: if self.is_complete {
                None
            } else {
                Some(pending_orphans(record))
            },
        })
    }

    /// The record that hands the partition over to a successor, if one is up.
    fn record_without_own(
        &self,
        record: &PartitionRecord,
        peer: Option<&Replica>,
    ) -> Option<PartitionRecord> {
        let own = Some(self.own.node);
        let successor = peer.or_else(|| best_backup(self.partition, self.live, self.own, None))?;
        let orphans = if self.is_complete {
            lost_replicas(record)
        } else {
            pending_orphans(record)
        };
        Some(PartitionRecord {
            epoch: record.epoch + 1,
            primary: successor.clone(),
            backup: best_backup(self.partition, self.live, successor, own).cloned(),
            orphans: Some(orphans),
        })
    }

    /// The record after one whose replicas are both lost.
    fn recovered_record(&self, record: &PartitionRecord) -> Option<PartitionRecord> {
        let is_lost = record
            .replicas()
            .all(|replica| self.is_absent(replica.node, self.limits.recovery_timeout));
        let is_first = first_host(self.partition, self.live)?.node == self.own.node;
        if !is_lost || !is_first || self.is_leaving {
            return None;
        }
        Some(PartitionRecord {
            epoch: record.epoch + 1,
            primary: self.own.clone(),
            backup: best_backup(self.partition, self.live, self.own, None).cloned(),
            orphans: Some(lost_replicas(record)),
        })
    }

    /// Whether `node` has been absent for at least `timeout`.
    fn is_absent(&self, node: NodeId, timeout: Duration) -> bool {
        let since = self.absent_since.get(&node);
        since.is_some_and(|since| self.now.since(*since) >= timeout)
    }
}

/// The orphans of the record after `record`, when a replica proposes it that was never complete
/// under `record`: the orphans of `record`, or else its replicas.
fn pending_orphans(record: &PartitionRecord) -> OrphanSet {
    let known = record.orphans.clone();
    known.unwrap_or_else(|| lost_replicas(record))
}

/// The replicas of `record` as orphans, whose claimed keys the new replicas need.
fn lost_replicas(record: &PartitionRecord) -> OrphanSet {
    OrphanSet {
        epoch: record.epoch,
        replicas: record.replicas().cloned().collect(),
    }
}
