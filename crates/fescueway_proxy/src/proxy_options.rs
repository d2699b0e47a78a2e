//! The options that a node's proxy is started with.

use std::{net::SocketAddr, time::Duration};

use fescueway_core::{DomainName, NodeId, SiteName};

use crate::{edge_profile::EdgeProfile, proxy_limits::ProxyLimits};

/// The options that a node's proxy is started with.
#[derive(Clone, Debug)]
pub struct ProxyOptions {
    /// The id of the node.
    pub node: NodeId,
    /// The failure domain of its VM.
    pub domain: DomainName,
    /// The site whose configuration it serves.
    pub site: SiteName,
    /// The address at which the node accepts streams from other nodes.
    pub peer_address: SocketAddr,
    /// Limits on connections, headers, bodies and times.
    pub limits: ProxyLimits,
    /// Header fields that callers and backend servers use.
    pub profile: EdgeProfile,
    /// Whether idempotency keys of non-idempotent requests are used to detect duplicates.
    pub takes_keys: bool,
    /// Age of a proof of the configuration up to which the keys of client accounts are accepted; `None`
    /// for no bound.
    pub key_proof: Option<Duration>,
    /// Maximum number of log lines per second for each kind of event of single requests. Above
    /// zero.
    pub log_lines_per_s: f64,
    /// Seed of the random choice of targets.
    pub seed: u64,
    /// Secret part of the call tokens, so that they can't be guessed.
    pub secret: u128,
}
