//! Targets as the membership spreads them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DomainName, NodeId, ServiceName};

/// Where a target stands between its announcement and its end.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// Takes work, ramping up from a cold start.
    Starting,
    /// Takes work.
    Serving,
    /// Finishes what is in flight and takes nothing new.
    Draining,
}

/// One backend server's serving of one service, announced by the node beside it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetRecord {
    /// The host node beside the backend server. With the service it identifies the target.
    pub node: NodeId,
    /// The service that is served.
    pub service: ServiceName,
    /// Where the host node takes streams from other nodes.
    pub peer_address: SocketAddr,
    /// The failure domain of the host node's VM.
    pub domain: DomainName,
    /// Requests that the backend server can run at once.
    pub slots: u32,
    /// Connections that the backend server accepts at once.
    pub connections: u32,
    /// Where the target stands.
    pub state: TargetState,
}
