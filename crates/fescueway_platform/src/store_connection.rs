//! HTTP connections to the store.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, sync::Mutex};

use crate::{StoreAnswer, StoreCall, StoreFault};

/// Maximum size of the read buffer of a connection.
const READ_BUFFER_BYTES: usize = 16 * 1_024;

/// Maximum size of the body of an answer.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Idle time before the first TCP keepalive probe, and interval between probes. With
/// [`KEEPALIVE_PROBES`] unanswered probes, a dead connection is detected in three seconds.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes before the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Time that sent bytes may stay unacknowledged before the connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends requests over one connection.
pub(crate) type Sender = SendRequest<Full<Bytes>>;

/// Holds at most one idle connection. A call takes it out; concurrent calls open their own.
#[derive(Debug, Default)]
pub(crate) struct ConnectionSlot {
    /// The idle connection and its remote address.
    idle: Mutex<Option<(SocketAddr, Sender)>>,
}

impl ConnectionSlot {
    /// Makes a call and reads its whole answer. A failed call drops the connection.
    pub(crate) async fn call(
        &self,
        peer: SocketAddr,
        call: StoreCall,
    ) -> Result<StoreAnswer, StoreFault> {
        let mut sender = self.take(peer).await?;
        let answer = exchange(&mut sender, peer, call).await?;
        *self.idle.lock().await = Some((peer, sender));
        Ok(answer)
    }

    /// Returns the idle connection if it is open and leads to `peer`, otherwise a new one.
    async fn take(&self, peer: SocketAddr) -> Result<Sender, StoreFault> {
        let idle = self.idle.lock().await.take();
        match idle {
            Some((address, sender)) if address == peer && sender.is_ready() => Ok(sender),
            _ => connect(peer).await,
        }
    }
}

/// Makes a call on a connection and reads its whole answer.
pub(crate) async fn exchange(
    sender: &mut Sender,
    peer: SocketAddr,
    call: StoreCall,
) -> Result<StoreAnswer, StoreFault> {
    let response = send(sender, peer, call).await?;
    read_answer(response).await
}

/// Makes a streaming call on a new connection. An answer with a status other than 200 is read
/// whole.
pub(crate) async fn open_stream(
    peer: SocketAddr,
    call: StoreCall,
) -> Result<Result<Incoming, StoreAnswer>, StoreFault> {
    let mut sender = connect(peer).await?;
    let response = send(&mut sender, peer, call).await?;
    if response.status() == StatusCode::OK {
        return Ok(Ok(response.into_body()));
    }
    Ok(Err(read_answer(response).await?))
}

/// Opens a connection and spawns a task that drives it until it is closed.
pub(crate) async fn connect(peer: SocketAddr) -> Result<Sender, StoreFault> {
    let unreachable = |reason: String| StoreFault::Unreachable(reason);
    let stream = TcpStream::connect(peer)
        .await
        .map_err(|error| unreachable(error.to_string()))?;
    set_socket_options(&stream).map_err(|error| unreachable(error.to_string()))?;
    let opened = Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (sender, connection) = opened.map_err(|error| unreachable(error.to_string()))?;
    tokio::spawn(async move {
        // The call in flight receives the error as well.
        let _ = connection.await;
    });
    Ok(sender)
}

/// Lets the kernel detect a dead connection, as opposed to an idle one.
fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Sends one request and waits for the status and header of its answer.
async fn send(
    sender: &mut Sender,
    peer: SocketAddr,
    call: StoreCall,
) -> Result<Response<Incoming>, StoreFault> {
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.target)
        .header(header::HOST, peer.to_string());
    if !call.body.is_empty() {
        request = request.header(header::CONTENT_TYPE, "application/json");
    }
    let request = request
        .body(Full::new(call.body))
        .map_err(|error| StoreFault::Unexpected(error.to_string()))?;
    let answer = sender.send_request(request).await;
    answer.map_err(|error| StoreFault::AnswerLost(error.to_string()))
}

/// Reads a whole answer.
async fn read_answer(response: Response<Incoming>) -> Result<StoreAnswer, StoreFault> {
    let (parts, body) = response.into_parts();
    let collected = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    let whole = collected.map_err(|error| StoreFault::AnswerLost(error.to_string()))?;
    Ok(StoreAnswer {
        status: parts.status,
        headers: parts.headers,
        body: whole.to_bytes(),
    })
}
