//! Whether a partition should move, so that no host keeps more than its share.

use std::{cmp::Reverse, collections::BTreeMap};

use fescueway_core::NodeId;

use crate::{
    PartitionId, PartitionRecord, Replica,
    replica_choice::{LiveHosts, backup_rank},
};

/// How the partitions of a service lie on its hosts, as far as one of them knows.
#[derive(Debug)]
pub(crate) struct RoleBalance<'a> {
    /// Hosts that are up.
    live: &'a LiveHosts,
    /// Partitions that each host keeps.
    kept: BTreeMap<NodeId, usize>,
    /// Partitions that each host keeps as their primary.
    led: BTreeMap<NodeId, usize>,
}

impl<'a> RoleBalance<'a> {
    /// The balance of partitions whose records are all known.
    pub(crate) fn new<'b>(
        records: impl Iterator<Item = &'b PartitionRecord>,
        live: &'a LiveHosts,
    ) -> Self {
        let mut balance = Self {
            live,
            kept: BTreeMap::new(),
            led: BTreeMap::new(),
        };
        for record in records {
            for replica in record.replicas() {
                *balance.kept.entry(replica.node).or_default() += 1;
            }
            *balance.led.entry(record.primary.node).or_default() += 1;
        }
        balance
    }

    /// The record that should follow `record`: another backup where the present one keeps at least
    /// two more than it or shares the primary's failure domain, or else primary and backup in exchanged roles. Each move makes the hosts
    /// more equal, so that the moves come to an end.
    pub(crate) fn next_record(
        &self,
        partition: &PartitionId,
        record: &PartitionRecord,
    ) -> Option<PartitionRecord> {
        let backup = record.backup.as_ref()?;
        let (primary, backup) = match self.lighter_backup(partition, record, backup) {
            Some(lighter) => (&record.primary, lighter),
            None if self.is_led_more(&record.primary, backup) => (backup, &record.primary),
            None => return None,
        };
        Some(PartitionRecord {
            epoch: record.epoch + 1,
            primary: primary.clone(),
            backup: Some(backup.clone()),
            orphans: None,
        })
    }

    /// A host that keeps at least two partitions less than `backup`, and is as far apart from the
    /// primary; or any that is apart, where `backup` is not.
    fn lighter_backup(
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
            (!is_apart, self.kept_by(host), Reverse(rank))
        };
        let best = others.min_by_key(order)?;
        let (is_best_apart, _) = rank(best);
        if is_best_apart != is_apart {
            return is_best_apart.then_some(best);
        }
        (self.kept_by(best) + 2 <= self.kept_by(backup)).then_some(best)
    }

    /// Whether `primary` leads at least two partitions more than `backup`.
    fn is_led_more(&self, primary: &Replica, backup: &Replica) -> bool {
        let led_by = |host: &Replica| self.led.get(&host.node).copied().unwrap_or(0);
        led_by(primary) >= led_by(backup) + 2
    }

    /// Partitions that `host` keeps.
    fn kept_by(&self, host: &Replica) -> usize {
        self.kept.get(&host.node).copied().unwrap_or(0)
    }
}
