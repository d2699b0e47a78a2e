//! What the platform's store holds of one partition.

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
    /// Number of the partition, below the service's count of partitions.
    pub index: u16,
}

/// A node that keeps, or may keep, the memory of a partition.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Replica {
    /// The node.
    pub node: NodeId,
    /// Where it takes control messages.
    pub address: SocketAddr,
    /// The failure domain of its VM.
    pub domain: DomainName,
}

/// Replicas that were lost together. The memory of any one of them makes a new one complete.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrphanSet {
    /// The epoch in which they served.
    pub epoch: u64,
    /// The lost replicas.
    pub replicas: Vec<Replica>,
}

/// Who keeps a partition. Changed in the store by compare-and-swap only.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartitionRecord {
    /// Counts the changes, from 1. A higher epoch always wins.
    pub epoch: u64,
    /// Decides who may run a key.
    pub primary: Replica,
    /// Records what the primary decides. `None` while the service has one host only.
    pub backup: Option<Replica>,
    /// Set while the memory of the last complete replicas is not known to be held by these.
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
