//! Queries a backend server for its health and load.

use std::{net::SocketAddr, time::Instant};

use eyre::Result;
use fescueway_core::{MonoTime, ServiceName, StatementSource};
use fescueway_proxy::{
    HostTarget, OverlongAnswer, ProxyState,
    body::{DiscardError, discard_body},
};
use http::{HeaderMap, Request, StatusCode, header::HOST};
use http_body_util::Empty;
use hyper::{body::Bytes, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Size of the read buffer. Responses consist of a head and hardly any body.
const READ_BUFFER_BYTES: usize = 8 * 1_024;

/// Longest body of a response, in bytes. What counts is in the head, and a body is a line of text.
const MAX_BODY_BYTES: u64 = 64 * 1_024;

/// The response of a backend server.
#[derive(Clone, Debug)]
pub struct QueryAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// When the query was sent.
    pub asked_at: Instant,
}

impl QueryAnswer {
    /// Applies what the backend server of `target` states about itself in this response.
    pub fn apply_statement(&self, proxy: &ProxyState, service: &ServiceName, target: &HostTarget) {
        let source = StatementSource::Query;
        let age_us = self.asked_at.elapsed().as_micros() as u64;
        let asked_us = proxy.now().as_micros().saturating_sub(age_us);
        let asked_at = MonoTime::from_micros(asked_us);
        let (status, fields) = (self.status, &self.headers);
        proxy.learn_statement(service, target, asked_at, source, status, fields);
    }
}

/// A connection for repeated queries of a backend server.
#[derive(Debug)]
pub struct QueryConnection {
    /// The backend server.
    address: SocketAddr,
    /// The open connection, if any.
    sender: Option<http1::SendRequest<Empty<Bytes>>>,
}

impl QueryConnection {
    /// Creates a connection to the backend server at `address`, which is opened by the first query.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            sender: None,
        }
    }

    /// Gets `path`; reuses the connection of the last query while it is open.
    ///
    /// # Errors
    ///
    /// When no complete response arrives, or its body is longer than [`MAX_BODY_BYTES`]. The next query
    /// opens a new connection then.
    pub async fn query(&mut self, proxy: &ProxyState, path: &str) -> Result<QueryAnswer> {
        let mut sender = match self.sender.take() {
            Some(sender) if sender.is_ready() => sender,
            _ => self.connect().await?,
        };
        let request = Request::get(path)
            .header(HOST, self.address.to_string())
            .body(Empty::<Bytes>::new())?;
        let asked_at = Instant::now();
        let response = sender.send_request(request).await?;
        let (parts, mut body) = response.into_parts();
        if let Err(error) = discard_body(&mut body, MAX_BODY_BYTES).await {
            if matches!(error, DiscardError::Overlong { .. }) {
                proxy.record_overlong_answer(self.address, OverlongAnswer::Query);
            }
            return Err(error.into());
        }
        self.sender = Some(sender);
        Ok(QueryAnswer {
            status: parts.status,
            headers: parts.headers,
            asked_at,
        })
    }

    /// Opens a connection.
    async fn connect(&self) -> Result<http1::SendRequest<Empty<Bytes>>> {
        let socket = TcpStream::connect(self.address).await?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let (sender, connection) = builder.handshake(TokioIo::new(socket)).await?;
        tokio::spawn(async move {
            // An error is returned to the query that was in flight.
            let _ = connection.await;
        });
        Ok(sender)
    }
}

/// Gets `path` of the backend server at `address` on a new connection.
///
/// # Errors
///
/// When no complete response arrives.
pub async fn query_backend(
    proxy: &ProxyState,
    address: SocketAddr,
    path: &str,
) -> Result<QueryAnswer> {
    QueryConnection::new(address).query(proxy, path).await
}
