//! What a backend server says of itself.

use std::{net::SocketAddr, time::Duration};

use fescueway_core::ServiceName;
use http::HeaderValue;

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
    /// Which start of the backend server this is, when it says so. Another one at the same address is
    /// another target.
    pub identity: Option<HeaderValue>,
    /// How long it stays slow after its start, when it says so.
    pub warmup_left: Option<Duration>,
}

impl BackendAnnouncement {
    /// The announcement of a backend server that tells neither its identity nor its warm-up.
    #[must_use]
    pub fn new(service: ServiceName, address: SocketAddr, slots: u32, connections: u32) -> Self {
        Self {
            service,
            address,
            slots,
            connections,
            identity: None,
            warmup_left: None,
        }
    }
}
