//! The settings of a membership instance.

use std::net::SocketAddr;

use fescueway_core::{DomainName, NodeId, SiteName};

use crate::FleetSecret;

/// The settings of a membership instance.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// The identity of this run of the process.
    pub node: NodeId,
    /// Address on which this node receives and from which it sends membership datagrams.
    pub gossip_address: SocketAddr,
    /// Address on which this node accepts streams from other nodes.
    pub peer_address: SocketAddr,
    /// The failure domain of this node's VM.
    pub domain: DomainName,
    /// The site whose configuration this node has.
    pub site: SiteName,
    /// Gossip addresses through which the fleet can be joined.
    pub seeds: Vec<SocketAddr>,
    /// The secret that all nodes of the fleet share.
    pub secret: FleetSecret,
}
