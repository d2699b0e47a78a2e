//! Announces a backend server to its node, as a real one does.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use eyre::Result;
use http::{Request, header};
use http_body_util::Full;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::{net::TcpStream, task::AbortHandle, time::interval};

use crate::site_spec::ServiceSpec;

/// Interval between announcements.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(2);

/// A task that announces a backend server until it is stopped or dropped.
#[derive(Debug)]
pub struct Announcer(AbortHandle);

impl Drop for Announcer {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Announcer {
    /// Starts announcing the backend server at `address` to the node at `node`.
    pub fn start(node: SocketAddr, service: &ServiceSpec, address: SocketAddr) -> Self {
        let body = json!({
            "service": service.name,
            "address": address.to_string(),
            "slots": service.slots,
            "connections": service.connections,
        });
        let body = Bytes::from(body.to_string());
        let task = tokio::spawn(async move {
            let mut heartbeat = interval(HEARTBEAT_PERIOD);
            loop {
                heartbeat.tick().await;
                if let Err(error) = announce(node, body.clone()).await {
                    eprintln!("announcing {address} to {node}: {error}");
                }
            }
        });
        Self(task.abort_handle())
    }

    /// Stops the announcements.
    pub fn stop(&self) {
        self.0.abort();
    }
}

/// Sends one announcement.
async fn announce(node: SocketAddr, body: Bytes) -> Result<()> {
    let stream = TcpStream::connect(node).await?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move { drop(connection.await) });
    let request = Request::post("/v1/announce")
        .header(header::HOST, node.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))?;
    let status = sender.send_request(request).await?.status();
    eyre::ensure!(status.is_success(), "the node answered {status}");
    Ok(())
}
