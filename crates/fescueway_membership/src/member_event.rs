//! Input events and output actions of a [`crate::MemberList`].

use std::net::SocketAddr;

use fescueway_core::{ConfigMark, NodeId, ServiceName, SiteName, TargetRecord};

/// An input event of a [`crate::MemberList`].
#[derive(Clone, Debug)]
pub enum MemberEvent {
    /// A datagram was received.
    Datagram {
        /// Address of the sender.
        from: SocketAddr,
        /// The encoded datagram.
        bytes: Vec<u8>,
    },
    /// The time returned by [`crate::MemberList::next_wake`] has come. Extra ticks do no harm.
    Tick,
    /// All targets of the backend server beside this node. Replaces the previous ones.
    LocalTargets(Vec<TargetRecord>),
    /// Additional addresses for joining the fleet, besides the configured ones.
    Seeds(Vec<SocketAddr>),
    /// The configuration that this node has in force.
    Mark(ConfigMark),
    /// Sends a small message to another node.
    Note {
        /// The receiver.
        to: NodeId,
        /// At most 800 bytes; a longer one is dropped.
        body: Vec<u8>,
    },
    /// Sends this node's record directly to these members until they acknowledge it. Replaces the
    /// recipients of the previous such event.
    DeliverRecord(Vec<NodeId>),
    /// This node is about to stop.
    Leave,
}

/// An action that a [`crate::MemberList`] requests from its owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberAction {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The encoded datagram.
        bytes: Vec<u8>,
    },
    /// A target was added or changed.
    SetTarget {
        /// The site of its host node.
        site: SiteName,
        /// The target.
        target: TargetRecord,
    },
    /// A target was removed.
    RemoveTarget {
        /// Its host node.
        node: NodeId,
        /// Its service.
        service: ServiceName,
    },
    /// A node has become reachable.
    NodeUp(NodeId),
    /// A node is no longer reachable.
    NodeDown {
        /// The node.
        node: NodeId,
        /// Why the node is considered gone.
        cause: DownCause,
    },
    /// A node has a newer configuration in force than the last one reported.
    NewerMark {
        /// The node.
        node: NodeId,
        /// Address at which the node accepts streams.
        peer_address: SocketAddr,
        /// The configuration it has in force.
        mark: ConfigMark,
    },
    /// A small message was received.
    Note {
        /// The sender.
        from: NodeId,
        /// The message.
        body: Vec<u8>,
    },
}

/// Why a node is considered gone.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum DownCause {
    /// It didn't answer a ping of this or another node and didn't refute the suspicion.
    Silent,
    /// It announced that it leaves.
    Left,
    /// Another node answered from its address.
    Replaced,
}

impl DownCause {
    /// The cause as written to logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Left => "left",
            Self::Replaced => "replaced",
        }
    }
}
