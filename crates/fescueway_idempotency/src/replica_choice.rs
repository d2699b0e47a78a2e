//! Chooses the replicas of a partition.

use std::collections::BTreeMap;

use fescueway_core::{DomainName, NodeId};

use crate::{PartitionId, Replica};

/// The hosts of a service that are up, this node included.
pub(crate) type LiveHosts = BTreeMap<NodeId, Replica>;

/// The host that ranks first for `partition`, by rendezvous hashing.
pub(crate) fn first_host<'a>(partition: &PartitionId, live: &'a LiveHosts) -> Option<&'a Replica> {
    live.values()
        .max_by_key(|host| rank_of(partition, host.node))
}

/// The best backup for a primary: another host than `excluded`, in another failure domain when
/// there is one.
pub(crate) fn best_backup<'a>(
    partition: &PartitionId,
    live: &'a LiveHosts,
    primary: &Replica,
    excluded: Option<NodeId>,
) -> Option<&'a Replica> {
    let others = live
        .values()
        .filter(|host| host.node != primary.node && Some(host.node) != excluded);
    others.max_by_key(|host| backup_rank(partition, primary, host))
}

/// The backups for a primary, the best one first.
pub(crate) fn best_backups<'a>(
    partition: &PartitionId,
    live: &'a LiveHosts,
    primary: &Replica,
) -> Vec<&'a Replica> {
    let others = live.values().filter(|host| host.node != primary.node);
    let mut others: Vec<_> = others.collect();
    others.sort_by_key(|host| std::cmp::Reverse(backup_rank(partition, primary, host)));
    others
}

/// Sort key of `host` as the backup of `primary`, higher is better: another failure domain wins.
pub(crate) fn backup_rank(
    partition: &PartitionId,
    primary: &Replica,
    host: &Replica,
) -> (bool, (u64, NodeId)) {
    let is_apart = is_different_domain(&host.domain, &primary.domain);
    (is_apart, rank_of(partition, host.node))
}

/// Whether the failure of one domain leaves the other unaffected.
fn is_different_domain(one: &DomainName, other: &DomainName) -> bool {
    one != other
}

/// The rank of a node for a partition: the same on every node, and evenly distributed.
fn rank_of(partition: &PartitionId, node: NodeId) -> (u64, NodeId) {
    let name = partition.service.as_str().bytes();
    let seed = name.fold(u64::from(partition.index), |hash, byte| {
        mix(hash ^ u64::from(byte))
    });
    (mix(seed ^ node.0), node)
}

/// A deterministic fraction from 0 to 1 that differs by partition and by epoch.
pub(crate) fn jitter_fraction(partition: &PartitionId, epoch: u64) -> f64 {
    let (rank, _) = rank_of(partition, NodeId(epoch));
    rank as f64 / u64::MAX as f64
}

/// The finalizer of `SplitMix64` (Steele, Lea and Flood, 2014).
fn mix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}
