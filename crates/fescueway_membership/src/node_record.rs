//! What a node tells of itself.

use std::net::SocketAddr;

use fescueway_core::{DomainName, NodeId, ServiceName, SiteName, TargetRecord, TargetState};
use serde::{Deserialize, Serialize};

/// What a node tells of itself: where it is and what its backend server serves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeRecord {
    /// Grows with each change of the record. Of two records the higher version is in force.
    pub version: u32,
    /// Where the node takes membership datagrams, and from where it sends them.
    pub gossip_address: SocketAddr,
    /// Where the node takes streams from other nodes.
    pub peer_address: SocketAddr,
    /// The failure domain of the node's VM.
    pub domain: DomainName,
    /// The site whose configuration the node has.
    pub site: SiteName,
    /// What its backend server serves. Each service at most once.
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
    /// Where the target stands.
    pub state: TargetState,
}

impl NodeRecord {
    /// The targets that the record stands for.
    pub fn targets(&self, node: NodeId) -> impl Iterator<Item = TargetRecord> + '_ {
        self.services.iter().map(move |served| TargetRecord {
            node,
            service: served.service.clone(),
            peer_address: self.peer_address,
            domain: self.domain.clone(),
            slots: served.slots,
            connections: served.connections,
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
