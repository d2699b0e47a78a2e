//! HTTP connections to the store.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{SendRequest, handshake},
};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::{net::TcpStream, sync::Mutex};

use crate::StoreFault;

/// The largest answer that is read, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;

/// A connection that waits for requests.
type Sender = SendRequest<Full<Bytes>>;

/// The connection in use. A call takes it out; another call meanwhile opens one of its own.
#[derive(Debug, Default)]
pub(crate) struct ConnectionSlot {
    /// The idle connection and the address it leads to.
    idle: Mutex<Option<(SocketAddr, Sender)>>,
}

impl ConnectionSlot {
    /// Posts `body` to `path` and reads the answer.
    pub(crate) async fn call(
        &self,
        peer: SocketAddr,
        path: &str,
        body: &Value,
    ) -> Result<Bytes, StoreFault> {
        let mut sender = self.take(peer).await?;
        let response = send(&mut sender, peer, path, body).await?;
        let status = response.status();
        let bytes = read_answer(response).await?;
        *self.idle.lock().await = Some((peer, sender));
        match status {
            StatusCode::OK => Ok(bytes),
            _ => Err(refusal(status, &bytes)),
        }
    }

    /// The idle connection when it leads to `peer` and is live, else a new one.
    async fn take(&self, peer: SocketAddr) -> Result<Sender, StoreFault> {
        let idle = self.idle.lock().await.take();
        match idle {
            Some((address, sender)) if address == peer && sender.is_ready() => Ok(sender),
            _ => connect(peer).await,
        }
    }
}

/// Opens a streaming call on a connection of its own.
pub(crate) async fn open_stream(
    peer: SocketAddr,
    path: &str,
    body: &Value,
) -> Result<Incoming, StoreFault> {
    let mut sender = connect(peer).await?;
    let response = send(&mut sender, peer, path, body).await?;
    let status = response.status();
    if status == StatusCode::OK {
        return Ok(response.into_body());
    }
    let bytes = read_answer(response).await?;
    Err(refusal(status, &bytes))
}

/// Opens a connection. Its driver ends with the connection.
async fn connect(peer: SocketAddr) -> Result<Sender, StoreFault> {
    let unreachable = |reason: String| StoreFault::Unreachable(reason);
    let stream = TcpStream::connect(peer)
        .await
        .map_err(|error| unreachable(error.to_string()))?;
    stream
        .set_nodelay(true)
        .map_err(|error| unreachable(error.to_string()))?;
    let opened = handshake(TokioIo::new(stream)).await;
    let (sender, connection) = opened.map_err(|error| unreachable(error.to_string()))?;
    tokio::spawn(async move {
        // The call in flight is told of the error; nothing is left to do with it here.
        let _ = connection.await;
    });
    Ok(sender)
}

/// Sends one request and waits for the head of its answer.
async fn send(
    sender: &mut Sender,
    peer: SocketAddr,
    path: &str,
    body: &Value,
) -> Result<Response<Incoming>, StoreFault> {
    let request = Request::post(path)
        .header(header::HOST, peer.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
        .map_err(|error| StoreFault::Unexpected(error.to_string()))?;
    let answer = sender.send_request(request).await;
    answer.map_err(|error| StoreFault::AnswerLost(error.to_string()))
}

/// Reads an answer's body.
async fn read_answer(response: Response<Incoming>) -> Result<Bytes, StoreFault> {
    let body = Limited::new(response.into_body(), ANSWER_LIMIT);
    let collected = body.collect().await;
    let whole = collected.map_err(|error| StoreFault::AnswerLost(error.to_string()))?;
    Ok(whole.to_bytes())
}

/// What an answer that isn't 200 means.
fn refusal(status: StatusCode, bytes: &Bytes) -> StoreFault {
    let text = String::from_utf8_lossy(bytes);
    match status {
        StatusCode::TOO_MANY_REQUESTS => StoreFault::Limited,
        StatusCode::NOT_FOUND if text.contains("lease") => StoreFault::LeaseLapsed,
        // The gateway lost its member: whether a write took effect is not known.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT => {
            StoreFault::AnswerLost(format!("{status}: {text}"))
        }
        _ => StoreFault::Unexpected(format!("{status}: {text}")),
    }
}
