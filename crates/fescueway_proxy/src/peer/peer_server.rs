//! Serves streams of other nodes.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use fescueway_wire::{MAX_PAYLOAD_BYTES, StreamHead};
use h2::{
    RecvStream,
    server::{Builder, SendResponse},
};
use http::{Request, StatusCode};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use super::{
    FrameReader, PeerReply,
    peer_connection::{
        CONNECTION_WINDOW_BYTES, PEER_ACK_TIMEOUT, STREAM_WINDOW_BYTES, STREAMS_PER_CONNECTION,
    },
    peer_error::PeerCause,
};
use crate::{
    accept_loop::AcceptLoop,
    connection_activity::{CLOSE_GRACE_PERIOD, ConnectionActivity},
    host::serve_offer,
    proxy_state::ProxyState,
    socket_options::set_socket_options,
    watched_socket::WatchedSocket,
};

/// Largest list of HTTP/2 header fields, in bytes. Peers send only a few fields.
const HEADER_LIST_BYTES: u32 = 4_096;

/// Accepts connections of peers until `closing` is cancelled.
pub async fn serve_peers(state: ProxyState, listener: TcpListener, closing: CancellationToken) {
    let accepting = AcceptLoop {
        name: "peers",
        limit: state.limits().peer_connections,
        closing: closing.clone(),
    };
    let serve = |socket, peer| serve_connection(state.clone(), socket, peer, closing.clone());
    accepting.run(state.tasks(), listener, serve).await;
}

/// Holds `guard` until `work` completes.
async fn run_with_guard<T>(guard: T, work: impl Future<Output = ()>) {
    work.await;
    drop(guard);
}

/// Waits until `token` is cancelled, and then for `time`.
async fn sleep_after_cancelled(token: &CancellationToken, time: Duration) {
    token.cancelled().await;
    sleep(time).await;
}

/// Serves the streams of one connection.
async fn serve_connection(
    state: ProxyState,
    socket: TcpStream,
    peer: SocketAddr,
    closing: CancellationToken,
) {
    let _open = state.open_counts().peer_connections.open();
    if let Err(error) = set_socket_options(&socket, PEER_ACK_TIMEOUT) {
        return state.log_refused_peer(peer, &error);
    }
    let socket = WatchedSocket::new(socket);
    let activity = ConnectionActivity::new(socket.blocked());
    let handshake = Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(STREAMS_PER_CONNECTION)
        .max_header_list_size(HEADER_LIST_BYTES)
        .handshake(socket);
    let handshake = timeout(state.limits().header_timeout, handshake);
    let ended = tokio::select! {
        ended = handshake => ended,
        // Before the handshake completes, nothing is in flight.
        () = sleep_after_cancelled(&closing, CLOSE_GRACE_PERIOD) => return,
    };
    let mut connection = match ended {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => return state.log_refused_peer(peer, &error),
        Err(elapsed) => return state.log_refused_peer(peer, &elapsed),
    };
    let mut is_closing = false;
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            () = closing.cancelled(), if !is_closing => {
                is_closing = true;
                connection.graceful_shutdown();
                continue;
            }
            // An unresponsive peer never closes the connection after the GOAWAY frame.
            () = activity.idle_for(CLOSE_GRACE_PERIOD), if is_closing => return,
        };
        match accepted {
            Some(Ok((request, responder))) => {
                let open = activity.open_request();
                let stream = serve_stream(state.clone(), peer, request, responder);
                state.tasks().spawn(run_with_guard(open, stream));
            }
            Some(Err(error)) if error.is_io() => return,
            Some(Err(error)) => return state.log_refused_peer(peer, &error),
            None => return,
        }
    }
}

/// Serves one stream.
async fn serve_stream(
    state: ProxyState,
    peer: SocketAddr,
    request: Request<RecvStream>,
    responder: SendResponse<Bytes>,
) {
    let mut reader = FrameReader::new(request.into_body());
    let reply = PeerReply::new(responder);
    let reading = reader.read(MAX_PAYLOAD_BYTES);
    match timeout(state.limits().header_timeout, reading).await {
        Ok(Ok(StreamHead::Offer(head))) => serve_offer(&state, *head, reader, reply).await,
        Ok(Ok(StreamHead::Control(request))) => {
            let mut reply = reply;
            let answer = state.controls().answer(peer, request).await;
            // The peer may have disconnected.
            let _ = reply.send(&answer, true);
        }
        Ok(Err(PeerCause::Frame(error))) => {
            state.log_refused_peer(peer, &error);
            reply.reject(StatusCode::BAD_REQUEST);
        }
        Ok(Err(_)) => {}
        Err(elapsed) => {
            state.log_refused_peer(peer, &elapsed);
            reply.reject(StatusCode::REQUEST_TIMEOUT);
        }
    }
}
