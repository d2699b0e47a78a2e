//! Callers, which open an HTTP/1.1 connection for each send.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

use crate::call_record::{CallRecord, SendResult};

/// Kind of request that a caller sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// An idempotent request with a small response.
    Read,
    /// An idempotent request with a response of this number of bytes.
    Download(usize),
    /// A non-idempotent request with an idempotency key.
    Booking,
    /// An idempotent request that crashes its backend server.
    CrashingRead,
}

/// Sends a request through one entry after another until it succeeds. Entries that refuse the
/// connection are skipped.
pub async fn call(kind: CallKind, key: String, entries: &[SocketAddr]) -> CallRecord {
    let mut results = Vec::new();
    for &entry in entries {
        let Ok(sender) = connect(entry).await else {
            continue;
        };
        let result = send(kind, &key, sender).await;
        let is_done = result.is_success();
        results.push(result);
        if is_done {
            break;
        }
    }
    let is_booking = kind == CallKind::Booking;
    CallRecord {
        key,
        is_booking,
        results,
    }
}

/// Opens a connection to an entry.
async fn connect(entry: SocketAddr) -> std::io::Result<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(entry).await?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(std::io::Error::other)?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Sends a request once.
pub async fn send(kind: CallKind, key: &str, mut sender: SendRequest<Full<Bytes>>) -> SendResult {
    let Ok(response) = sender.send_request(request(kind, key)).await else {
        return SendResult {
            status: None,
            outcome: None,
            reason: None,
            is_interrupted: true,
            is_mismatched: false,
        };
    };
    let status = response.status().as_u16();
    let outcome = header_text(&response, "fescueway-outcome");
    let reason = header_text(&response, "fescueway-reason");
    let body = response.into_body().collect().await;
    let is_interrupted = body.is_err();
    let is_mismatched =
        status == 200 && body.is_ok_and(|body| !is_own_response(kind, key, &body.to_bytes()));
    SendResult {
        status: Some(status),
        outcome,
        reason,
        is_interrupted,
        is_mismatched,
    }
}

/// Builds the request with `key`.
fn request(kind: CallKind, key: &str) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .header("host", "test")
        .header("x-request-id", key)
        .header("x-run-key", key);
    let mut body = Full::default();
    builder = match kind {
        CallKind::Read => builder.uri(format!("/windows/{key}")),
        CallKind::Download(bytes) => builder.uri(format!("/windows/{key}/download/{bytes}")),
        CallKind::CrashingRead => builder
            .uri(format!("/windows/{key}"))
            .header("x-crash", "yes"),
        CallKind::Booking => {
            body = Full::from(format!("booking {key}"));
            let quoted = format!("\"{key}\"");
            builder
                .method("POST")
                .uri("/bookings")
                .header("idempotency-key", quoted)
        }
    };
    builder.body(body).expect("a valid request")
}

/// The value of a response header, if it is present.
fn header_text(response: &Response<Incoming>, name: &str) -> Option<String> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

/// Whether `body` is the complete response to the request with `key`.
fn is_own_response(kind: CallKind, key: &str, body: &Bytes) -> bool {
    if let CallKind::Download(bytes) = kind {
        return body.len() == bytes;
    }
    let echo = serde_json::from_slice::<Value>(body).unwrap_or_default();
    echo["request_id"] == Value::String(key.to_owned())
}
