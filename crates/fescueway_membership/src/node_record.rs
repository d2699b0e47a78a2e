//! The record that each node publishes about itself.

use std::net::SocketAddr;

use fescueway_core::{
    DomainName, NodeId, ServiceName, SiteName, TargetCapacity, TargetRecord, TargetState,
};
use serde::{Deserialize, Serialize};

/// The record that a node publishes about itself: its addresses and the services of its backend
/// server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeRecord {
    /// Increased with each change of the record. Of two records the higher version is in force.
    pub version: u32,
    /// Address on which the node receives and from which it sends membership datagrams.
    pub gossip_address: SocketAddr,
    /// Address on which the node accepts streams from other nodes.
    pub peer_address: SocketAddr,
    /// The failure domain of the node's VM.
    pub domain: DomainName,
    /// The site whose configuration the node has.
    pub site: SiteName,
    /// The services of its backend server, each at most once.
    pub services: Vec<ServedService>,
}

/// One service that a node's backend server serves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServedService {
    /// The service.
    pub service: ServiceName,
    /// Requests that the backend server can run at once.
    pub slots: u32,
    /// Connections that the backend server accepts at once.
    pub connections: u32,
    /// State of the target.
    pub state: TargetState,
}

impl NodeRecord {
    /// The targets that the record describes.
    pub fn targets(&self, node: NodeId) -> impl Iterator<Item = TargetRecord> + '_ {
        self.services.iter().map(move |served| TargetRecord {
            node,
            service: served.service.clone(),
            peer_address: self.peer_address,
            domain: self.domain.clone(),
            // A node of another version may not have checked them.
            slots: served.slots.min(TargetCapacity::MAX),
            connections: served.connections.min(TargetCapacity::MAX),
            state: served.state,
        })
    }
}

impl From<&TargetRecord> for ServedService {
    fn from(record: &TargetRecord) -> Self {
        Self {
            service: record.service.clone(),
            slots: record.slots,
            connections: record.connections,
            state: record.state,
        }
    }
}
