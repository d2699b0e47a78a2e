//! What a backend server says of itself.

use std::net::SocketAddr;

use fescueway_core::ServiceName;

/// What a backend server says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendAnnouncement {
    /// The service that it serves.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Requests that it can run at once. At least one.
    pub slots: u32,
    /// Connections that it accepts at once. At least one.
    pub connections: u32,
}
