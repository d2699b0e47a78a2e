//! The record of one partition in the platform's store.

use std::{
    fmt::{Display, Formatter, Result},
    net::SocketAddr,
};

use fescueway_core::{DomainName, KeyDigest, NodeId, ServiceName};
use serde::{Deserialize, Serialize};

/// One partition of one service's keys.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PartitionId {
    /// The service.
    pub service: ServiceName,
    /// Index of the partition, below the service's count of partitions.
    pub index: u16,
}

/// A node that is, or may become, a replica of a partition.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Replica {
    /// The node.
    pub node: NodeId,
    /// Where it accepts control messages.
    pub address: SocketAddr,
    /// The failure domain of its VM.
    pub domain: DomainName,
}

/// Replicas that were lost together. A new replica is complete once it has all claimed keys of any
/// one of them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrphanSet {
    /// The epoch in which these served.
    pub epoch: u64,
    /// The lost replicas.
    pub replicas: Vec<Replica>,
}

/// The replicas of a partition. Changed in the store by compare-and-swap only.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartitionRecord {
    /// Number of the change, from 1. A record with a higher epoch replaces one with a lower epoch.
    pub epoch: u64,
    /// Decides which claim of a key is granted.
    pub primary: Replica,
    /// Records what the primary decides. `None` while the service has only one host.
    pub backup: Option<Replica>,
    /// The last complete replicas. Set until primary and backup are known to have all their keys.
    pub orphans: Option<OrphanSet>,
}

impl PartitionId {
    /// The partition of `service` that `key` belongs to.
    #[must_use]
    pub fn of_key(service: &ServiceName, key: KeyDigest, partitions: u16) -> Self {
        let [first, second, ..] = key.0;
        let index = u16::from_be_bytes([first, second]) % partitions.max(1);
        Self {
            service: service.clone(),
            index,
        }
    }
}

impl Display for PartitionId {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(f, "{}/{}", self.service, self.index)
    }
}

impl PartitionRecord {
    /// The primary and the backup.
    pub fn replicas(&self) -> impl Iterator<Item = &Replica> {
        std::iter::once(&self.primary).chain(&self.backup)
    }

    /// Whether `node` is the primary or the backup.
    #[must_use]
    pub fn has_replica(&self, node: NodeId) -> bool {
        self.replicas().any(|replica| replica.node == node)
    }

    /// The other one of primary and backup, as seen from `node`.
    #[must_use]
    pub fn peer_of(&self, node: NodeId) -> Option<&Replica> {
        self.replicas().find(|replica| replica.node != node)
    }
}
