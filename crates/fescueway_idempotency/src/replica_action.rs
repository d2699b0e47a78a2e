//! Actions that a replica requests from its caller.

use std::net::SocketAddr;

use fescueway_core::{KeyDigest, MonoTime};

use crate::{ClaimRequest, PartitionId, PartitionRecord, Replica};

/// An action that a replica requests from its caller. One that fails is requested again later.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaAction {
    /// Read the record from the store and give it to [`crate::ClaimReplica::confirm`].
    Read,
    /// Compare and swap the record in the store, and give the resulting record to
    /// [`crate::ClaimReplica::confirm`].
    Propose {
        /// The record that the store must hold before, `None` for no record.
        expected: Option<PartitionRecord>,
        /// The new record.
        record: PartitionRecord,
    },
    /// Fetch claimed keys from `from` and give them to [`crate::ClaimReplica::receive`].
    Fetch {
        /// A node that may hold all claimed keys.
        from: Replica,
        /// The record that names this node as a replica.
        record: PartitionRecord,
        /// Fetch the keys after this one, `None` for the first.
        after: Option<KeyDigest>,
    },
    /// Send `record` to `to`. Call [`crate::ClaimReplica::record_announced`] once it has arrived.
    Announce {
        /// The receiver.
        to: Replica,
        /// The newest record known.
        record: PartitionRecord,
    },
    /// Ask `to` for its standing: its epoch and when the store last confirmed it. Give the reply to
    /// [`crate::ClaimReplica::receive_standing`].
    Probe {
        /// The node to probe.
        to: Replica,
        /// When the probe was requested, which is before it is sent.
        probed_at: MonoTime,
    },
}

impl ReplicaAction {
    /// The message to another node and its address, `None` for an action on the store.
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
