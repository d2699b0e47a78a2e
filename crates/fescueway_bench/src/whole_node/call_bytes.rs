//! Size on the wire of a call that fetches a configuration change from a peer.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fescueway_core::SiteName;
use fescueway_proxy::{MonoClock, PeerPool, ProxyLimits, TaskGroup};
use fescueway_rollout::ConfigRequest;
use fescueway_wire::ControlKind;
use tokio::{runtime::Builder, time::sleep};

use super::CountingProxy;

/// Bytes of TCP and IP headers per segment or acknowledgement, with the timestamps option.
const HEADER_BYTES: u64 = 52;

/// Number of segments that open and close a connection.
const CONNECTION_SEGMENTS: u64 = 7;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Time to wait for frames that follow an answer, such as HTTP/2 acknowledgements.
const TRAILING_TIME: Duration = Duration::from_millis(100);

/// Bytes on the wire of a call that fetches a configuration change from a peer, both ways.
#[derive(Clone, Copy, Debug)]
pub struct CallBytes {
    /// Bytes of the request and the reply.
    pub message: u64,
    /// Overhead in bytes of a call on a new connection.
    pub new_connection_overhead: u64,
    /// Overhead in bytes of a call on an open connection.
    pub open_connection_overhead: u64,
}

impl CallBytes {
    /// Fetches the changes since revision `have` twice from the node at `peer`. TCP and IP headers
    /// are estimated: each chunk is taken as one segment with one acknowledgement.
    ///
    /// # Panics
    ///
    /// Panics if the node does not answer.
    #[must_use]
    pub fn measure(peer: SocketAddr, have: u64) -> Self {
        let runtime = Builder::new_current_thread().enable_all().build();
        runtime
            .expect("a runtime")
            .block_on(fetch_twice(peer, have))
    }
}

/// Fetches twice over one connection.
async fn fetch_twice(peer: SocketAddr, have: u64) -> CallBytes {
    let proxy = CountingProxy::default();
    let address = proxy.start(peer).await.expect("a port");
    let limits = Arc::new(ProxyLimits::default());
    let pool = PeerPool::new(limits, TaskGroup::default(), MonoClock::start());
    let request = ConfigRequest {
        site: SiteName::from("site"),
        have,
    };
    let mut bytes = [0; 2];
    let mut message = 0;
    for call_bytes in &mut bytes {
        let before = wire_bytes(&proxy);
        let body = request.to_bytes();
        message = body.len() as u64;
        let call = pool.call(address, ControlKind::Config, body, CALL_TIMEOUT);
        message += call.await.expect("an answer").len() as u64;
        sleep(TRAILING_TIME).await;
        *call_bytes = wire_bytes(&proxy) - before;
    }
    CallBytes {
        message,
        new_connection_overhead: bytes[0] - message,
        open_connection_overhead: bytes[1] - message,
    }
}

/// Returns the bytes so far, including the estimated TCP and IP headers.
fn wire_bytes(proxy: &CountingProxy) -> u64 {
    let segments = 2 * proxy.chunks() + CONNECTION_SEGMENTS * proxy.connections();
    proxy.bytes() + segments * HEADER_BYTES
}
