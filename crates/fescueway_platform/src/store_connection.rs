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

/// Bytes that are read from the store at once.
const READ_BUFFER_BYTES: usize = 16 * 1_024;

/// The largest answer that is read, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;

/// Idle time after which the kernel asks whether the store is still there. With [`KEEPALIVE_TRIES`]
/// unanswered questions a connection that went silent is known in three seconds.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Questions that stay unanswered before a connection is given up.
const KEEPALIVE_TRIES: u32 = 2;

/// Bytes that the store doesn't acknowledge for this long end the connection.
const UNACKNOWLEDGED_TIME: Duration = Duration::from_secs(2);

/// A connection that waits for requests.
pub(crate) type Sender = SendRequest<Full<Bytes>>;

/// The connection in use. A call takes it out; another call meanwhile opens one of its own.
#[derive(Debug, Default)]
pub(crate) struct ConnectionSlot {
    /// The idle connection and the address it leads to.
    idle: Mutex<Option<(SocketAddr, Sender)>>,
}

impl ConnectionSlot {
    /// Makes a call and reads its whole answer.
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

    /// The idle connection when it leads to `peer` and is live, else a new one.
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
    let status = response.status();
    let body = read_answer(response).await?;
    Ok(StoreAnswer { status, body })
}

/// Opens a streaming call on a connection of its own. An answer that isn't 200 is read whole.
pub(crate) async fn open_stream(
    peer: SocketAddr,
    call: StoreCall,
) -> Result<Result<Incoming, StoreAnswer>, StoreFault> {
    let mut sender = connect(peer).await?;
    let response = send(&mut sender, peer, call).await?;
    let status = response.status();
    if status == StatusCode::OK {
        return Ok(Ok(response.into_body()));
    }
    let body = read_answer(response).await?;
    Ok(Err(StoreAnswer { status, body }))
}

/// Opens a connection. Its driver ends with the connection.
pub(crate) async fn connect(peer: SocketAddr) -> Result<Sender, StoreFault> {
    let unreachable = |reason: String| StoreFault::Unreachable(reason);
    let stream = TcpStream::connect(peer)
        .await
        .map_err(|error| unreachable(error.to_string()))?;
    set_options(&stream).map_err(|error| unreachable(error.to_string()))?;
    let opened = Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (sender, connection) = opened.map_err(|error| unreachable(error.to_string()))?;
    tokio::spawn(async move {
        // The call in flight is told of the error; nothing is left to do with it here.
        let _ = connection.await;
    });
    Ok(sender)
}

/// Lets the kernel tell a store that went silent from one that has nothing to say.
fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE)
        .with_retries(KEEPALIVE_TRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIME))
}

/// Sends one request and waits for the head of its answer.
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

/// Reads an answer's body.
async fn read_answer(response: Response<Incoming>) -> Result<Bytes, StoreFault> {
    let body = Limited::new(response.into_body(), ANSWER_LIMIT);
    let collected = body.collect().await;
    let whole = collected.map_err(|error| StoreFault::AnswerLost(error.to_string()))?;
    Ok(whole.to_bytes())
}
