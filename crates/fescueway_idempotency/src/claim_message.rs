//! Messages about claims between nodes.

use std::{net::SocketAddr, time::Duration};

use fescueway_core::{KeyDigest, NodeId};
use serde::{Deserialize, Serialize};

use crate::{PartitionId, PartitionRecord};

/// Identifies one attempt of one host to claim one key. Never reused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimAttemptId {
    /// The host node that wants to run the request.
    pub host: NodeId,
    /// Serial number of the attempt at this host.
    pub serial: u64,
}

/// A claim of one key, sent by a host to one replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyClaim {
    /// The intended replica. A new node at the same address must not answer for it.
    pub replica: NodeId,
    /// The partition.
    pub partition: PartitionId,
    /// The epoch of the record that the host uses.
    pub epoch: u64,
    /// The key.
    pub key: KeyDigest,
    /// The attempt.
    pub ask: ClaimAttemptId,
    /// Where the host accepts control messages.
    pub address: SocketAddr,
    /// Earlier attempts that, according to their hosts, did not run and never will.
    pub cleared: Vec<ClaimAttemptId>,
    /// Whether to only check that the key is free, without recording the claim.
    pub is_peek: bool,
}

/// An attempt that holds a key, and where to query its state.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holder {
    /// The attempt.
    pub ask: ClaimAttemptId,
    /// Where its host accepts control messages, `None` when that is no longer known.
    pub address: Option<SocketAddr>,
}

/// The state of one attempt's run, as its host reports it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunState {
    /// The request did not run and never will.
    NotRun,
    /// The request was handed to the backend server, which has not answered yet.
    Running,
    /// The backend server answered with this status.
    Ended(u16),
    /// The request was handed to the backend server, and its result is not known.
    Unknown,
}

/// A part of a partition's claimed keys, in the order of the keys.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableChunk {
    /// Keys with the attempts that hold them.
    pub entries: Vec<(KeyDigest, Vec<Holder>)>,
    /// Whether this is the last chunk.
    pub is_last: bool,
}

/// A message about claims, answered by a [`ClaimReply`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimRequest {
    /// Records a claim.
    Claim(KeyClaim),
    /// Releases a claim that was not used and never will be.
    Release {
        /// The partition.
        partition: PartitionId,
        /// The key.
        key: KeyDigest,
        /// The attempt.
        ask: ClaimAttemptId,
    },
    /// Queries the state of an attempt of the receiver, and cancels it if it still waits for
    /// replicas.
    Query {
        /// The partition.
        partition: PartitionId,
        /// The attempt.
        ask: ClaimAttemptId,
    },
    /// Fetches claimed keys from a replica of this record's or an earlier epoch.
    Fetch {
        /// The partition.
        partition: PartitionId,
        /// The record that names the sender as a replica.
        record: PartitionRecord,
        /// Fetch the keys after this one, `None` for the first.
        after: Option<KeyDigest>,
    },
    /// Announces a new record of the partition.
    Learn {
        /// The partition.
        partition: PartitionId,
        /// The record.
        record: PartitionRecord,
    },
    /// Reports that the other replica of the partition did not reply to the sender.
    Doubt {
        /// The partition.
        partition: PartitionId,
        /// The epoch of the record that the sender uses.
        epoch: u64,
        /// The replica that did not reply.
        silent: NodeId,
    },
    /// Queries the standing of the receiver, which also shows that it is up.
    Stand {
        /// The partition.
        partition: PartitionId,
        /// The intended node. A new node at the same address must not answer for it.
        node: NodeId,
    },
}

/// The answer to a [`ClaimRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimReply {
    /// The claim is recorded; for a peek, the key is free.
    Granted {
        /// The epoch of the replica.
        epoch: u64,
    },
    /// Other attempts hold the key.
    Held(Vec<Holder>),
    /// The sender's record is out of date; this is a newer one.
    Stale(Box<PartitionRecord>),
    /// This node can't serve the partition now. Nothing was recorded.
    Unavailable,
    /// The state of an attempt's run.
    Run(RunState),
    /// A part of the partition's claimed keys.
    Chunk(TableChunk),
    /// The message was processed.
    Done,
    /// The newest record that a node knows of the partition.
    Standing {
        /// The epoch of that record, `None` when it knows none.
        epoch: Option<u64>,
        /// How long ago the store last confirmed that record, if it did.
        confirmed_ago: Option<Duration>,
    },
}

impl ClaimRequest {
    /// The partition that the message is about.
    #[must_use]
    pub fn partition(&self) -> &PartitionId {
        match self {
            Self::Claim(claim) => &claim.partition,
            Self::Release { partition, .. }
            | Self::Query { partition, .. }
            | Self::Fetch { partition, .. }
            | Self::Learn { partition, .. }
            | Self::Doubt { partition, .. }
            | Self::Stand { partition, .. } => partition,
        }
    }
}
