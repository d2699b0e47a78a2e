//! A small HTTP/1.1 caller: one connection for each open call, reused for later calls.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

use bytes::Bytes;
use eyre::Result;
use http::{Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{SendRequest, handshake},
};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

use crate::{
    call_result::CallResult,
    site_spec::{CallKind, ServiceSpec},
};

/// The sending half of a connection to an entry.
type Sender = SendRequest<Full<Bytes>>;

/// Calls services through one entry.
#[derive(Clone, Debug)]
pub struct CallClient {
    /// Address of the entry.
    entry: SocketAddr,
    /// Idle connections.
    idle: Arc<Mutex<Vec<Sender>>>,
}

impl CallClient {
    /// Creates a caller of the entry at `entry`.
    pub fn new(entry: SocketAddr) -> Self {
        Self {
            entry,
            idle: Arc::default(),
        }
    }

    /// Makes call number `id` to a service.
    pub async fn call(&self, service: &ServiceSpec, id: u64) -> CallResult {
        let start = Instant::now();
        let result = self.try_call(service, id, start).await;
        result.unwrap_or_else(|_error| CallResult {
            status: None,
            outcome: None,
            reason: None,
            latency: start.elapsed(),
            is_incomplete: true,
            is_mismatched: false,
        })
    }

    /// Makes a call that began at `start`.
    ///
    /// # Errors
    /// When no response arrived.
    async fn try_call(&self, service: &ServiceSpec, id: u64, start: Instant) -> Result<CallResult> {
        let mut sender = self.get_connection().await?;
        let response = sender.send_request(request(service, id)?).await?;
        let status = response.status().as_u16();
        let outcome = header_text(&response, "fescueway-outcome");
        let reason = header_text(&response, "fescueway-reason");
        let body = response
            .into_body()
            .collect()
            .await
            .map(http_body_util::Collected::to_bytes);
        let is_incomplete = body.is_err();
        if !is_incomplete {
            self.idle
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(sender);
        }
        let is_mismatched =
            status == 200 && body.is_ok_and(|bytes| !is_response_to(service, id, &bytes));
        let status = Some(status);
        Ok(CallResult {
            status,
            outcome,
            reason,
            latency: start.elapsed(),
            is_incomplete,
            is_mismatched,
        })
    }

    /// Takes an idle connection or opens a new one.
    async fn get_connection(&self) -> Result<Sender> {
        loop {
            let idle = self
                .idle
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .pop();
            match idle {
                Some(sender) if sender.is_ready() => return Ok(sender),
                Some(_closed) => {}
                None => return self.connect().await,
            }
        }
    }

    /// Opens a connection.
    async fn connect(&self) -> Result<Sender> {
        let stream = TcpStream::connect(self.entry).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        // The open call gets a connection's error, so it is ignored here.
        tokio::spawn(async move { drop(connection.await) });
        Ok(sender)
    }
}

/// The key by which backend servers count the runs of call number `id`.
pub fn run_key(service: &ServiceSpec, id: u64) -> String {
    format!("{}-{id}", service.name)
}

/// The request of call number `id`.
fn request(service: &ServiceSpec, id: u64) -> Result<Request<Full<Bytes>>> {
    let builder = Request::builder()
        .header(header::HOST, service.authority)
        .header("x-request-id", id.to_string())
        .header("x-run-key", run_key(service, id));
    let request = match service.kind {
        CallKind::Read => builder
            .uri(format!("{}{id}", service.path))
            .body(Full::default())?,
        CallKind::Download(bytes) => builder
            .uri(format!("{}/download/{bytes}", service.path))
            .body(Full::default())?,
        CallKind::Booking => builder
            .method("POST")
            .uri(service.path)
            .header("idempotency-key", format!("\"{}\"", run_key(service, id)))
            .body(Full::from(format!("booking {id}")))?,
    };
    Ok(request)
}

/// The value of a response header as text.
fn header_text(response: &Response<Incoming>, name: &str) -> Option<String> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

/// Whether `body` is the response to call number `id`.
fn is_response_to(service: &ServiceSpec, id: u64, body: &Bytes) -> bool {
    if let CallKind::Download(bytes) = service.kind {
        return body.len() == bytes;
    }
    let echo = serde_json::from_slice::<Value>(body).unwrap_or_default();
    echo["request_id"] == Value::String(id.to_string())
}
