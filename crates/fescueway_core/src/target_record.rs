//! Targets as distributed by the membership.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DomainName, NodeId, ServiceName};

/// Lifecycle state of a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// Takes requests, ramping up from a cold start.
    Starting,
    /// Takes requests.
    Serving,
    /// Finishes the requests in flight and takes no new ones.
    Draining,
}

/// One service on one backend server, announced by the node beside it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetRecord {
    /// The host node beside the backend server. Together with the service it identifies the target.
    pub node: NodeId,
    /// The service provided.
    pub service: ServiceName,
    /// Address at which the host node accepts streams from other nodes.
    pub peer_address: SocketAddr,
    /// The failure domain of the host node's VM.
    pub domain: DomainName,
    /// Requests that the backend server can run concurrently.
    pub slots: u32,
    /// Connections that the backend server accepts concurrently.
    pub connections: u32,
    /// Lifecycle state of the target.
    pub state: TargetState,
}
