//! Balances the replicas of a service's partitions over its hosts.

use std::{cmp::Reverse, collections::BTreeMap};

use fescueway_core::NodeId;

use crate::{
    PartitionId, PartitionRecord, Replica,
    replica_choice::{LiveHosts, backup_rank},
};

/// How many replicas of a service's partitions each host holds, as far as one host knows.
#[derive(Debug)]
pub(crate) struct RoleBalance<'a> {
    /// Hosts that are up.
    live: &'a LiveHosts,
    /// Partitions of which each host is the primary or the backup.
    replica_counts: BTreeMap<NodeId, usize>,
    /// Partitions of which each host is the primary.
    primary_counts: BTreeMap<NodeId, usize>,
}

impl<'a> RoleBalance<'a> {
    /// Counts the replicas in `records`, which must hold the record of every partition.
    pub(crate) fn new<'b>(
        records: impl Iterator<Item = &'b PartitionRecord>,
        live: &'a LiveHosts,
    ) -> Self {
        let mut balance = Self {
            live,
            replica_counts: BTreeMap::new(),
            primary_counts: BTreeMap::new(),
        };
        for record in records {
            for replica in record.replicas() {
                *balance.replica_counts.entry(replica.node).or_default() += 1;
            }
            *balance
                .primary_counts
                .entry(record.primary.node)
                .or_default() += 1;
        }
        balance
    }

    /// The record that should replace `record`, if any. It names another backup where the present
    /// one holds at least two more replicas or shares the primary's failure domain, or else swaps
    /// primary and backup. Each move reduces the imbalance, so the moves terminate.
    pub(crate) fn next_record(
        &self,
        partition: &PartitionId,
        record: &PartitionRecord,
    ) -> Option<PartitionRecord> {
        let backup = record.backup.as_ref()?;
        let (primary, backup) = match self.less_loaded_backup(partition, record, backup) {
            Some(less_loaded) => (&record.primary, less_loaded),
            None if self.is_overloaded(&record.primary, backup) => (backup, &record.primary),
            None => return None,
        };
        Some(PartitionRecord {
            epoch: record.epoch + 1,
            primary: primary.clone(),
            backup: Some(backup.clone()),
            orphans: None,
        })
    }

    /// The host with the fewest replicas, where it holds at least two less than `backup` and both
    /// or neither are in another failure domain than the primary. Also any host in another failure
    /// domain, where `backup` is not.
    fn less_loaded_backup(
        &self,
        partition: &PartitionId,
        record: &PartitionRecord,
        backup: &Replica,
    ) -> Option<&'a Replica> {
        let rank = |host: &Replica| backup_rank(partition, &record.primary, host);
        let (is_apart, _) = rank(backup);
        let others = self
            .live
            .values()
            .filter(|host| !record.has_replica(host.node));
        let order = |host: &&Replica| {
            let (is_apart, rank) = rank(host);
            (!is_apart, self.replica_count(host), Reverse(rank))
        };
        let best = others.min_by_key(order)?;
        let (is_best_apart, _) = rank(best);
        if is_best_apart != is_apart {
            return is_best_apart.then_some(best);
        }
        (self.replica_count(best) + 2 <= self.replica_count(backup)).then_some(best)
    }

    /// Whether `primary` is the primary of at least two partitions more than `backup`.
    fn is_overloaded(&self, primary: &Replica, backup: &Replica) -> bool {
        let primary_count =
            |host: &Replica| self.primary_counts.get(&host.node).copied().unwrap_or(0);
        primary_count(primary) >= primary_count(backup) + 2
    }

    /// Partitions of which `host` is the primary or the backup.
    fn replica_count(&self, host: &Replica) -> usize {
        self.replica_counts.get(&host.node).copied().unwrap_or(0)
    }
}
