//! One VM of the site: a backend server and the node beside it.

use std::net::SocketAddr;

use bytes::Bytes;
use fescueway_testkit::{BackendPlan, BackendStub};
use fescuewayd::{Daemon, DaemonSettings};
use http::Request;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpStream;

/// One VM of the site: a backend server and the node beside it.
#[derive(Debug)]
pub struct SiteVm {
    /// The service of its backend server.
    pub service: &'static str,
    /// The node, until it is stopped or killed.
    pub daemon: Option<Daemon>,
    /// The backend server.
    pub backend: BackendStub,
    /// Address of its node for callers.
    pub entry: SocketAddr,
}

impl SiteVm {
    /// Starts both and announces the backend server to the node.
    pub async fn start(service: &'static str, settings: DaemonSettings, plan: BackendPlan) -> Self {
        let slots = plan.slots;
        let backend = BackendStub::start(plan).await.expect("a free port");
        let daemon = Daemon::start(settings)
            .await
            .expect("free ports on loopback");
        let addresses = daemon.addresses();
        announce(addresses.backends, service, backend.address(), slots).await;
        Self {
            service,
            daemon: Some(daemon),
            backend,
            entry: addresses.callers,
        }
    }

    /// Kills the node and crashes the backend server.
    pub fn kill(&mut self) {
        if let Some(daemon) = self.daemon.take() {
            daemon.kill();
        }
        self.backend.crash();
    }
}

/// Announces a backend server to its node over HTTP, as a real one does.
async fn announce(node: SocketAddr, service: &str, address: SocketAddr, slots: u32) {
    let body = json!({
        "service": service,
        "address": address.to_string(),
        "slots": slots,
        "connections": 100,
    });
    let request = Request::post("/v1/announce")
        .header("host", node.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("a valid request");
    let stream = TcpStream::connect(node).await.expect("the node listens");
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.expect("the handshake does no I/O");
    tokio::spawn(connection);
    let response = sender.send_request(request).await.expect("a response");
    assert!(response.status().is_success(), "{}", response.status());
}
