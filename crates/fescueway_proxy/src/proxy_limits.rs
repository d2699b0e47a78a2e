//! Limits on the resources that callers, peers and backend servers use at a node.

use std::time::Duration;

/// Limits on the resources that callers, peers and backend servers use at a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProxyLimits {
    /// Maximum number of open connections of callers. At least one.
    pub caller_connections: usize,
    /// Maximum number of open connections of peers. At least one.
    pub peer_connections: usize,
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// Timeout for receiving a request head.
    pub header_timeout: Duration,
    /// Idle timeout of a body: its transfer is aborted when no byte moves for this long.
    pub body_idle: Duration,
    /// Timeout for opening a connection to a peer or a backend server.
    pub connect_timeout: Duration,
    /// Idle timeout of a connection to a peer or a backend server.
    pub connection_idle: Duration,
}

impl Default for ProxyLimits {
    fn default() -> Self {
        Self {
            caller_connections: 1_024,
            peer_connections: 1_024,
            header_bytes: 32 * 1_024,
            body_bytes: 64 * 1_024 * 1_024,
            header_timeout: Duration::from_secs(10),
            body_idle: Duration::from_secs(30),
            connect_timeout: Duration::from_millis(500),
            connection_idle: Duration::from_secs(30),
        }
    }
}
