//! What a replica wants done.

use std::net::SocketAddr;

use fescueway_core::{KeyDigest, MonoTime};

use crate::{ClaimRequest, PartitionId, PartitionRecord, Replica};

/// What a replica wants done. Each is tried again later when it doesn't succeed.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaAction {
    /// Read the record from the store and give it to [`crate::ClaimReplica::confirm`].
    Read,
    /// Swap the record in the store, and give [`crate::ClaimReplica::confirm`] what stands afterwards.
    Propose {
        /// What must stand there before, `None` for nothing.
        expected: Option<PartitionRecord>,
        /// What is to stand there.
        record: PartitionRecord,
    },
    /// Ask `from` for its memory and give it to [`crate::ClaimReplica::receive`].
    Fetch {
        /// A node that may hold the whole memory.
        from: Replica,
        /// The record that entitles this node.
        record: PartitionRecord,
        /// Keys after this one.
        after: Option<KeyDigest>,
    },
    /// Send `record` to `to`, and call [`crate::ClaimReplica::record_announced`] when it has come there.
    Announce {
        /// The other replica.
        to: Replica,
        /// The record that names it.
        record: PartitionRecord,
    },
    /// Ask `to` how it stands, and give the reply to [`crate::ClaimReplica::receive_standing`].
    Probe {
        /// The node that may be there.
        to: Replica,
        /// When this was asked for, which is before it is sent.
        probed_at: MonoTime,
    },
}

impl ReplicaAction {
    /// The message to another node and its address, `None` for what is wanted of the store.
    #[must_use]
    pub fn message(&self, partition: &PartitionId) -> Option<(SocketAddr, ClaimRequest)> {
        let partition = partition.clone();
        match self {
            Self::Fetch {
                from,
                record,
                after,
            } => {
                let request = ClaimRequest::Fetch {
                    partition,
                    record: record.clone(),
                    after: *after,
                };
                Some((from.address, request))
            }
            Self::Announce { to, record } => {
                let record = record.clone();
                Some((to.address, ClaimRequest::Learn { partition, record }))
            }
            Self::Probe { to, .. } => {
                let node = to.node;
                Some((to.address, ClaimRequest::Stand { partition, node }))
            }
            Self::Read | Self::Propose { .. } => None,
        }
    }
}
