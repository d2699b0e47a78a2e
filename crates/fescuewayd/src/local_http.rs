//! A small HTTP server for the backend servers of the VM and for operators.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use fescueway_proxy::{AcceptLoop, TaskGroup};
use http::{Method, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::sync::CancellationToken;

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 16 * 1_024;

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 64;

/// Timeout for reading the head, and again for reading the body, of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// A complete response.
pub type LocalAnswer = Response<Full<Bytes>>;

/// A complete request.
#[derive(Clone, Debug)]
pub struct LocalRequest {
    /// HTTP method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The body.
    pub body: Bytes,
}

/// Serves requests with `answer` until the tasks end. `name` identifies the listener in events.
pub async fn serve_local(
    tasks: TaskGroup,
    listener: TcpListener,
    name: &'static str,
    answer: impl Fn(LocalRequest) -> LocalAnswer + Send + Sync + 'static,
) {
    let answer = Arc::new(answer);
    let accept_loop = AcceptLoop {
        name,
        limit: MAX_CONNECTIONS,
        closing: CancellationToken::new(),
    };
    let serve = |socket, _peer| {
        let answer = Arc::clone(&answer);
        async move { serve_connection(socket, &*answer).await }
    };
    accept_loop.run(&tasks, listener, serve).await;
}

/// Serves one connection.
async fn serve_connection(
    socket: TcpStream,
    answer: &(impl Fn(LocalRequest) -> LocalAnswer + Send + Sync),
) {
    let service = service_fn(async |request| Ok::<_, Infallible>(serve(request, answer).await));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(REQUEST_TIMEOUT);
    // A broken connection needs no handling.
    let _ = builder
        .serve_connection(TokioIo::new(socket), service)
        .await;
}

/// Reads one request and answers it.
async fn serve(
    request: Request<Incoming>,
    answer: &(impl Fn(LocalRequest) -> LocalAnswer + Send + Sync),
) -> LocalAnswer {
    let (parts, body) = request.into_parts();
    let body_read = Limited::new(body, MAX_BODY_BYTES).collect();
    match timeout(REQUEST_TIMEOUT, body_read).await {
        Ok(Ok(body)) => answer(LocalRequest {
            method: parts.method,
            path: parts.uri.path().to_owned(),
            body: body.to_bytes(),
        }),
        Ok(Err(error)) => text(StatusCode::PAYLOAD_TOO_LARGE, &error.to_string()),
        Err(elapsed) => text(StatusCode::REQUEST_TIMEOUT, &elapsed.to_string()),
    }
}

/// A response of one line of text.
pub fn text(status: StatusCode, line: &str) -> LocalAnswer {
    content(status, "text/plain", format!("{line}\n"))
}

/// A response in JSON.
pub fn json(value: &impl Serialize) -> LocalAnswer {
    match serde_json::to_string(value) {
        Ok(body) => content(StatusCode::OK, "application/json", body),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// A response of the content type `kind`.
pub fn content(status: StatusCode, kind: &'static str, body: String) -> LocalAnswer {
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    let kind = http::HeaderValue::from_static(kind);
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
