//! The announcement of a backend server.

use std::{net::SocketAddr, time::Duration};

use fescueway_core::{ServerStart, ServiceName, fnv1a_64};
use http::HeaderValue;

/// The announcement of a backend server: its service, address and capacity.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendAnnouncement {
    /// The service that it provides.
    pub service: ServiceName,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// Requests that it can run at once, from 1 to
    /// [`TargetCapacity::MAX`](fescueway_core::TargetCapacity::MAX).
    pub slots: u32,
    /// Connections that it accepts at once, from 1 to the same number.
    pub connections: u32,
    /// Identifies one start of the backend server, if announced. A different identity at the same
    /// address is a different target.
    pub identity: Option<HeaderValue>,
    /// When it started, in milliseconds of its VM's wall clock. Zero if it isn't announced.
    pub born_ms: u64,
    /// Duration of the slow start of its slots, if announced.
    pub warmup_left: Option<Duration>,
    /// How long it stays cold, if announced. Meanwhile the service's warm-up rate applies.
    pub cold_left: Option<Duration>,
}

impl BackendAnnouncement {
    /// Identifies the start of the backend server.
    #[must_use]
    pub fn server_start(&self) -> ServerStart {
        let identity = self.identity.as_ref();
        ServerStart {
            name_digest: identity.map_or(0, |identity| fnv1a_64(identity.as_bytes())),
            born_ms: self.born_ms,
        }
    }

    /// The announcement of a backend server without an identity and a warm-up time.
    #[must_use]
    pub fn new(service: ServiceName, address: SocketAddr, slots: u32, connections: u32) -> Self {
        Self {
            service,
            address,
            slots,
            connections,
            identity: None,
            born_ms: 0,
            warmup_left: None,
            cold_left: None,
        }
    }
}
