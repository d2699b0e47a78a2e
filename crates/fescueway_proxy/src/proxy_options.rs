//! What a node's path of requests starts with.

use std::net::SocketAddr;

use fescueway_core::{DomainName, NodeId, SiteName};

use crate::{edge_profile::EdgeProfile, proxy_limits::ProxyLimits};

/// What a node's path starts with.
#[derive(Clone, Debug)]
pub struct ProxyOptions {
    /// The node.
    pub node: NodeId,
    /// The failure domain of its VM.
    pub domain: DomainName,
    /// The site whose configuration it serves.
    pub site: SiteName,
    /// Where it takes streams from other nodes.
    pub peer_address: SocketAddr,
    /// Limits.
    pub limits: ProxyLimits,
    /// Header fields at both edges.
    pub profile: EdgeProfile,
    /// Whether requests are told apart by their idempotency keys.
    pub takes_keys: bool,
    /// Lines of each kind about single requests that are logged in a second at most. Above zero.
    pub log_lines_per_s: f64,
    /// Seeds the choice of targets.
    pub seed: u64,
    /// Makes the tokens of calls unguessable.
    pub secret: u128,
}
