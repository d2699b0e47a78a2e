//! The messages that membership instances exchange.

use fescueway_core::{ConfigMark, NodeId};
use serde::{Deserialize, Serialize};

use crate::{MemberStatus, Rumor};

/// One datagram: a message with piggybacked rumors.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Datagram {
    /// The sender.
    pub from: NodeId,
    /// Live members known to the sender, itself included.
    pub live_count: u32,
    /// The configuration that the sender has in force.
    pub mark: ConfigMark,
    /// The message.
    pub body: MessageBody,
    /// Piggybacked rumors.
    pub rumors: Vec<Rumor>,
}

/// The request or response that a datagram carries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MessageBody {
    /// Requests an [`MessageBody::Ack`].
    Ping {
        /// Echoed in the ack.
        sequence: u32,
    },
    /// Answers a ping, or forwards the answer to an indirect ping.
    Ack {
        /// The sequence of the ping.
        sequence: u32,
        /// The node that answered.
        node: NodeId,
    },
    /// Requests an indirect ping: the receiver pings another member on the sender's behalf.
    PingRequest {
        /// Echoed in the ack.
        sequence: u32,
        /// The member to ping.
        node: NodeId,
    },
    /// Carries rumors only.
    Gossip,
    /// Starts an anti-entropy exchange: a digest of each bucket of the sender's view.
    Digests(Vec<u32>),
    /// Answers digests: the stamps of the members in buckets whose digests differ.
    Stamps {
        /// The first of the buckets.
        bucket: u8,
        /// Members of these buckets known to the sender.
        stamps: Vec<MemberStamp>,
    },
    /// Requests the state and records of these members.
    Want(Vec<NodeId>),
    /// Requests all live members of a range of buckets.
    Pull {
        /// The first bucket.
        first: u8,
        /// Number of buckets, at least one.
        count: u8,
    },
    /// One page of the response to a pull; the members are the datagram's rumors.
    Page {
        /// The first bucket of the pull.
        first: u8,
        /// Index of this page, from zero.
        page: u8,
        /// Number of pages in the response.
        pages: u8,
    },
    /// A small message of another subsystem, sent without any delivery guarantee.
    Note(Vec<u8>),
}

/// The version of a member's state that a node holds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberStamp {
    /// The member.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: u32,
    /// The member's status at that incarnation.
    pub status: MemberStatus,
    /// Version of its record, 0 without one.
    pub version: u32,
}
