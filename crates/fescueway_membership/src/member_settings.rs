//! What a membership instance is told of its own node.

use std::net::SocketAddr;

use fescueway_core::{DomainName, NodeId, SiteName};

use crate::FleetSecret;

/// What a membership instance is told of its own node.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// The identity of this run of the process.
    pub node: NodeId,
    /// Where this node takes membership datagrams, and from where it sends them.
    pub gossip_address: SocketAddr,
    /// Where this node takes streams from other nodes.
    pub peer_address: SocketAddr,
    /// The failure domain of this node's VM.
    pub domain: DomainName,
    /// The site whose configuration this node has.
    pub site: SiteName,
    /// Gossip addresses through which the fleet can be joined.
    pub seeds: Vec<SocketAddr>,
    /// What all nodes of the fleet share.
    pub secret: FleetSecret,
}
