//! Limits that bound what callers, peers and backend servers can take from a node.

use std::time::Duration;

/// Limits that bound what callers, peers and backend servers can take from a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProxyLimits {
    /// Connections of callers that are open at once. At least one.
    pub caller_connections: usize,
    /// Connections of peers that are open at once. At least one.
    pub peer_connections: usize,
    /// The largest request head in bytes.
    pub header_bytes: usize,
    /// The largest request body in bytes.
    pub body_bytes: u64,
    /// A request head has to arrive within this long.
    pub header_timeout: Duration,
    /// A body that moves no byte for this long is given up.
    pub body_idle: Duration,
    /// Opening a connection to a peer or a backend server may take this long.
    pub connect_timeout: Duration,
    /// A connection to a peer or a backend server closes after this long without use.
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
