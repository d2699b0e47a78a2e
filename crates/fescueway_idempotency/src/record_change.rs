//! Which record should stand next in the store.

use std::{collections::BTreeMap, time::Duration};

use fescueway_core::{MonoTime, NodeId};

use crate::{
    ClaimLimits, OrphanSet, PartitionId, PartitionRecord, Replica,
    replica_choice::{LiveHosts, best_backup, first_host},
};

/// What a node knows when it considers a change of a partition's record.
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
    /// The time.
    pub(crate) now: MonoTime,
    /// Nodes of the record that are absent, and since when.
    pub(crate) absent: &'a BTreeMap<NodeId, MonoTime>,
    /// Since when this node has looked after the partition.
    pub(crate) started_at: MonoTime,
    /// Whether this node serves, and so knows every key that may have run.
    pub(crate) is_whole: bool,
    /// Whether this node proposed before that its memory counts as lost.
    pub(crate) is_abandoned: bool,
    /// How long the other replica may be absent.
    pub(crate) peer_patience: Duration,
    /// Whether this node is leaving.
    pub(crate) is_leaving: bool,
}

impl RecordChange<'_> {
    /// The record that should stand instead of `known`, if any.
    pub(crate) fn next_record(&self, known: Option<&PartitionRecord>) -> Option<PartitionRecord> {
        match known {
            None => self.first_record(),
            Some(record) if record.has_replica(self.own.node) => self.changed_record(record),
            Some(record) => self.recovered_record(record),
        }
    }

    /// The first record of a partition that never had one. Other hosts get some time to appear.
    fn first_record(&self) -> Option<PartitionRecord> {
        let first = first_host(self.partition, self.live)?;
        let is_patient = self.now.since(self.started_at) < self.limits.replica_timeout;
        let is_early = self.live.len() < 2 && is_patient;
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

    /// The record after one that names this node, when its peer is gone or missing, or when this
    /// node leaves.
    fn changed_record(&self, record: &PartitionRecord) -> Option<PartitionRecord> {
        let peer = record.peer_of(self.own.node);
        let is_peer_lost = peer.is_some_and(|peer| self.is_absent(peer.node, self.peer_patience));
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
            orphans: if self.is_whole {
                None
            } else {
                Some(orphans_of(record))
            },
        })
    }

    /// The record by which this node hands its partition over, when a successor is up.
    fn record_without_own(
        &self,
        record: &PartitionRecord,
        peer: Option<&Replica>,
    ) -> Option<PartitionRecord> {
        let own = Some(self.own.node);
        let successor = peer.or_else(|| best_backup(self.partition, self.live, self.own, None))?;
        let orphans = if self.is_whole {
            lost_replicas(record)
        } else {
            orphans_of(record)
        };
        Some(PartitionRecord {
            epoch: record.epoch + 1,
            primary: successor.clone(),
            backup: best_backup(self.partition, self.live, successor, own).cloned(),
            orphans: Some(orphans),
        })
    }

    /// The record after one whose replicas are both gone.
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

    /// Whether `node` is absent for at least `patience`.
    fn is_absent(&self, node: NodeId, patience: Duration) -> bool {
        let since = self.absent.get(&node);
        since.is_some_and(|since| self.now.since(*since) >= patience)
    }
}

/// The orphans of the record after `record`, when proposed by a replica that never was whole
/// under it: those that it waits for, or else its own replicas.
fn orphans_of(record: &PartitionRecord) -> OrphanSet {
    let known = record.orphans.clone();
    known.unwrap_or_else(|| lost_replicas(record))
}

/// The replicas of `record`, whose memory its successors need.
fn lost_replicas(record: &PartitionRecord) -> OrphanSet {
    OrphanSet {
        epoch: record.epoch,
        replicas: record.replicas().cloned().collect(),
    }
}
