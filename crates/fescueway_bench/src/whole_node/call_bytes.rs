//! Bytes on the wire for a call that fetches a change of configuration from a peer.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fescueway_core::SiteName;
use fescueway_proxy::{MonoClock, PeerPool, ProxyLimits, TaskGroup};
use fescueway_rollout::ConfigRequest;
use fescueway_wire::ControlKind;
use tokio::{runtime::Builder, time::sleep};

use super::ByteCounter;

/// Bytes of TCP and IP headers for each piece and each acknowledgement, with time stamps.
const HEADER_BYTES: u64 = 52;

/// Segments that open and close a connection.
const OPENING_SEGMENTS: u64 = 7;

/// Time that a call has.
const CALL_TIME: Duration = Duration::from_secs(5);

/// Time in which what follows an answer is sent, such as acknowledgements of HTTP/2.
const REST_TIME: Duration = Duration::from_millis(100);

/// Bytes on the wire for a call that fetches a change of configuration from a peer, both ways.
#[derive(Clone, Copy, Debug)]
pub struct CallBytes {
    /// Bytes of request and reply.
    pub message: u64,
    /// Bytes around them on a connection that is opened for the call.
    pub around_first: u64,
    /// Bytes around them on a connection that is open.
    pub around_later: u64,
}

impl CallBytes {
    /// Fetches what is newer than revision `have` from the node at `peer`, twice. The headers of
    /// TCP and IP are worked out: each piece is one segment and is acknowledged.
    ///
    /// # Panics
    ///
    /// When the node does not answer.
    #[must_use]
    pub fn measure(peer: SocketAddr, have: u64) -> Self {
        let runtime = Builder::new_current_thread().enable_all().build();
        runtime
            .expect("a runtime")
            .block_on(fetch_twice(peer, have))
    }
}

/// Fetches twice on one connection.
async fn fetch_twice(peer: SocketAddr, have: u64) -> CallBytes {
    let counter = ByteCounter::default();
    let address = counter.start(peer).await.expect("a port");
    let limits = Arc::new(ProxyLimits::default());
    let pool = PeerPool::new(limits, TaskGroup::default(), MonoClock::start());
    let request = ConfigRequest {
        site: SiteName::from("site"),
        have,
    };
    let mut bytes = [0; 2];
    let mut message = 0;
    for spent in &mut bytes {
        let before = on_wire(&counter);
        let body = request.to_bytes();
        message = body.len() as u64;
        let calling = pool.call(address, ControlKind::Config, body, CALL_TIME);
        message += calling.await.expect("an answer").len() as u64;
        sleep(REST_TIME).await;
        *spent = on_wire(&counter) - before;
    }
    CallBytes {
        message,
        around_first: bytes[0] - message,
        around_later: bytes[1] - message,
    }
}

/// Bytes so far with the headers of TCP and IP.
fn on_wire(counter: &ByteCounter) -> u64 {
    let segments = 2 * counter.pieces() + OPENING_SEGMENTS * counter.connections();
    counter.bytes() + segments * HEADER_BYTES
}
