//! Messages about claims between nodes.

use std::{net::SocketAddr, time::Duration};

use fescueway_core::{KeyDigest, NodeId};
use serde::{Deserialize, Serialize};

use crate::{PartitionId, PartitionRecord};

/// One try of one host to claim one key. Never used again.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimAttemptId {
    /// The host node that wants to run the request.
    pub host: NodeId,
    /// Counts the tries of this host.
    pub serial: u64,
}

/// A host asks a replica to record its claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyClaim {
    /// The replica that is meant. Its successor at the same address must not answer for it.
    pub replica: NodeId,
    /// The partition.
    pub partition: PartitionId,
    /// The epoch of the record that the host goes by.
    pub epoch: u64,
    /// The key.
    pub key: KeyDigest,
    /// The try.
    pub ask: ClaimAttemptId,
    /// Where the host takes control messages.
    pub address: SocketAddr,
    /// Earlier tries of which their hosts said that they did not run and never will.
    pub cleared: Vec<ClaimAttemptId>,
    /// Only ask whether the key is free; record nothing.
    pub is_peek: bool,
}

/// A try that holds a key, and where to ask about it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holder {
    /// The try.
    pub ask: ClaimAttemptId,
    /// Where its host takes control messages, `None` when that isn't known any more.
    pub address: Option<SocketAddr>,
}

/// What became of one try, as its host tells.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunState {
    /// It did not run and never will.
    NotRun,
    /// It was handed to the backend server, which has not answered yet.
    Running,
    /// The backend server answered with this status.
    Ended(u16),
    /// It was handed to the backend server, and its end is not known.
    Unknown,
}

/// A part of a partition's memory, in the order of the keys.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableChunk {
    /// Keys with the tries that hold them.
    pub entries: Vec<(KeyDigest, Vec<Holder>)>,
    /// Whether no key follows.
    pub is_last: bool,
}

/// A message about claims, answered by a [`ClaimReply`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimRequest {
    /// Record a claim.
    Claim(KeyClaim),
    /// A claim was not used and never will be.
    Release {
        /// The partition.
        partition: PartitionId,
        /// The key.
        key: KeyDigest,
        /// The try.
        ask: ClaimAttemptId,
    },
    /// Tell what became of a try of yours, and give it up when it is still asking.
    Query {
        /// The partition.
        partition: PartitionId,
        /// The try.
        ask: ClaimAttemptId,
    },
    /// Hand over memory as a replica of an epoch before this record's.
    Fetch {
        /// The partition.
        partition: PartitionId,
        /// The record that entitles the asker.
        record: PartitionRecord,
        /// Keys after this one, `None` for the first.
        after: Option<KeyDigest>,
    },
    /// The partition has a new record.
    Learn {
        /// The partition.
        partition: PartitionId,
        /// The record.
        record: PartitionRecord,
    },
    /// The other replica of the partition left the asker without a reply.
    Doubt {
        /// The partition.
        partition: PartitionId,
        /// The epoch of the record that the asker goes by.
        epoch: u64,
        /// The replica that gave no reply.
        silent: NodeId,
    },
    /// Tell how you stand, so that the asker knows that you are there.
    Stand {
        /// The partition.
        partition: PartitionId,
        /// The node that is meant. Its successor at the same address must not answer for it.
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
    /// Other tries hold the key.
    Held(Vec<Holder>),
    /// The asker's record is out of date; this is a newer one.
    Stale(Box<PartitionRecord>),
    /// This node can't answer for the partition now. Nothing was recorded.
    Unavailable,
    /// What became of a try.
    Run(RunState),
    /// A part of the partition's memory.
    Chunk(TableChunk),
    /// Done.
    Done,
    /// How a node stands with the partition.
    Standing {
        /// The epoch of the newest record that it knows.
        epoch: Option<u64>,
        /// How long ago the store confirmed that record, if it did.
        confirmed_ago: Option<Duration>,
    },
}

impl ClaimRequest {
    /// The partition that the message is about.
    #[must_use]
    pub fn partition(&self) -> &PartitionId {
        match self {
            Self::Claim(ask) => &ask.partition,
            Self::Release { partition, .. }
            | Self::Query { partition, .. }
            | Self::Fetch { partition, .. }
            | Self::Learn { partition, .. }
            | Self::Doubt { partition, .. }
            | Self::Stand { partition, .. } => partition,
        }
    }
}
