//! The messages between membership instances.

use fescueway_core::{ConfigMark, NodeId};
use serde::{Deserialize, Serialize};

use crate::{MemberStatus, Rumor};

/// One datagram: a message, and the rumors that ride on it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Datagram {
    /// The sender.
    pub from: NodeId,
    /// Live members that the sender knows, itself included.
    pub live_count: u32,
    /// The configuration that the sender has in force.
    pub mark: ConfigMark,
    /// The message.
    pub body: MessageBody,
    /// News that rides along.
    pub rumors: Vec<Rumor>,
}

/// What a datagram asks or answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MessageBody {
    /// Asks for an [`MessageBody::Ack`].
    Ping {
        /// Returned by the answer.
        sequence: u32,
    },
    /// Answers a ping, or tells of the answer to an indirect one.
    Ack {
        /// From the question.
        sequence: u32,
        /// Who answered.
        node: NodeId,
    },
    /// Asks the receiver to ping another member on the sender's behalf.
    PingRequest {
        /// Returned by the answer.
        sequence: u32,
        /// Whom to ping.
        node: NodeId,
    },
    /// Carries rumors only.
    Gossip,
    /// Opens an exchange: a digest of each bucket of the sender's view.
    Digests(Vec<u32>),
    /// Answers digests: the stamps of the members in one bucket that differs.
    Stamps {
        /// The bucket.
        bucket: u8,
        /// Every member of it that the sender knows.
        stamps: Vec<MemberStamp>,
    },
    /// Asks for the records of these members.
    Want(Vec<NodeId>),
    /// Asks for all members of some buckets.
    Pull {
        /// The first bucket.
        first: u8,
        /// Buckets in all. At least one.
        count: u8,
    },
    /// Answers a pull; its members are the datagram's rumors.
    Page {
        /// The first bucket of the pull.
        first: u8,
        /// Number of this page, from zero.
        page: u8,
        /// Pages of the answer.
        pages: u8,
    },
    /// A small message of another part of the system, sent without any promise to arrive.
    Note(Vec<u8>),
}

/// How much a node knows of a member.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberStamp {
    /// The member.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: u32,
    /// What is held of its life.
    pub status: MemberStatus,
    /// Version of its record.
    pub version: u32,
}
