//! What a [`crate::MemberList`] is told, and what it asks for.

use std::net::SocketAddr;

use fescueway_core::{ConfigMark, NodeId, ServiceName, SiteName, TargetRecord};

/// What a [`crate::MemberList`] is told.
#[derive(Clone, Debug)]
pub enum MemberEvent {
    /// Bytes came in.
    Datagram {
        /// Where from.
        from: SocketAddr,
        /// What.
        bytes: Vec<u8>,
    },
    /// The time that [`crate::MemberList::next_wake`] named has come, or any other.
    Tick,
    /// The targets beside this node, all of them.
    LocalTargets(Vec<TargetRecord>),
    /// Addresses through which the fleet can be joined, besides those of the settings.
    Seeds(Vec<SocketAddr>),
    /// The configuration that this node has in force.
    Mark(ConfigMark),
    /// Send a small message to another node.
    Note {
        /// The receiver.
        to: NodeId,
        /// At most 800 bytes; a longer one is dropped.
        body: Vec<u8>,
    },
    /// Tell these members of this node's own record directly, until they acknowledge it. Replaces
    /// the members of the last such event.
    DeliverRecord(Vec<NodeId>),
    /// This node is about to stop.
    Leave,
}

/// What a [`crate::MemberList`] asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberAction {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        bytes: Vec<u8>,
    },
    /// A target is new or has changed.
    SetTarget {
        /// The site of its host node.
        site: SiteName,
        /// The target.
        target: TargetRecord,
    },
    /// A target is gone.
    RemoveTarget {
        /// Its host node.
        node: NodeId,
        /// Its service.
        service: ServiceName,
    },
    /// A node is there.
    NodeUp(NodeId),
    /// A node is gone.
    NodeDown {
        /// The node.
        node: NodeId,
        /// How it is known.
        cause: DownCause,
    },
    /// A node has a configuration in force that is newer than the last one told of.
    NewerMark {
        /// The node.
        node: NodeId,
        /// Where it takes streams.
        peer_address: SocketAddr,
        /// What it has in force.
        mark: ConfigMark,
    },
    /// A small message came in.
    Note {
        /// The sender.
        from: NodeId,
        /// The message.
        body: Vec<u8>,
    },
}

/// How it is known that a node is gone.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum DownCause {
    /// It did not answer this node or another one, and did not refute the suspicion.
    Silent,
    /// It said that it leaves.
    Left,
    /// Another node answered from its address.
    Replaced,
}

impl DownCause {
    /// The cause as it stands in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Left => "left",
            Self::Replaced => "replaced",
        }
    }
}
