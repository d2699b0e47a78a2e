//! Takes streams from other nodes.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use fescueway_telemetry::{emit, events::path};
use fescueway_wire::{MAX_PAYLOAD_BYTES, StreamHead};
use h2::{
    RecvStream,
    server::{Builder, SendResponse},
};
use http::{Request, StatusCode};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};
use tokio_util::sync::CancellationToken;

use super::{
    FrameReader, PeerReply,
    peer_error::PeerCause,
    peer_link::{LINK_WINDOW_BYTES, PEER_SILENCE, STREAM_WINDOW_BYTES, STREAMS_PER_LINK},
};
use crate::{host::serve_offer, proxy_state::ProxyState, socket_options::set_socket_options};

/// The largest list of HTTP/2 header fields in bytes. Ours are a handful.
const HEADER_LIST_BYTES: u32 = 4_096;

/// Takes connections of peers until `closing` is cancelled.
pub async fn serve_peers(state: ProxyState, listener: TcpListener, closing: CancellationToken) {
    let places = Arc::new(Semaphore::new(state.limits().peer_connections));
    loop {
        let Ok(place) = Arc::clone(&places).acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing.cancelled() => return,
        };
        match accepted {
            Ok((socket, peer)) => {
                let connection = serve_connection(state.clone(), socket, peer, closing.clone());
                state.tasks().spawn(hold(place, connection));
            }
            Err(error) => emit(&path::ACCEPT_FAILED, &[&"peers", &error]),
        }
    }
}

/// Keeps `place` while `work` runs.
async fn hold(place: OwnedSemaphorePermit, work: impl Future<Output = ()>) {
    work.await;
    drop(place);
}

/// Takes the streams of one connection.
async fn serve_connection(
    state: ProxyState,
    socket: TcpStream,
    peer: SocketAddr,
    closing: CancellationToken,
) {
    let _open = state.peer_connection();
    if let Err(error) = set_socket_options(&socket, PEER_SILENCE) {
        return emit(&path::PEER_REFUSED, &[&peer, &error]);
    }
    let handshake = Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(LINK_WINDOW_BYTES)
        .max_concurrent_streams(STREAMS_PER_LINK)
        .max_header_list_size(HEADER_LIST_BYTES)
        .handshake(socket);
    let mut connection = match timeout(state.limits().header_timeout, handshake).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => return emit(&path::PEER_REFUSED, &[&peer, &error]),
        Err(elapsed) => return emit(&path::PEER_REFUSED, &[&peer, &elapsed]),
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
        };
        match accepted {
            Some(Ok((request, opener))) => {
                let stream = serve_stream(state.clone(), peer, request, opener);
                state.tasks().spawn(stream);
            }
            Some(Err(error)) if error.is_io() => return,
            Some(Err(error)) => return emit(&path::PEER_REFUSED, &[&peer, &error]),
            None => return,
        }
    }
}

/// Takes one stream.
async fn serve_stream(
    state: ProxyState,
    peer: SocketAddr,
    request: Request<RecvStream>,
    opener: SendResponse<Bytes>,
) {
    let mut reader = FrameReader::new(request.into_body());
    let reply = PeerReply::new(opener);
    let reading = reader.read(MAX_PAYLOAD_BYTES);
    match timeout(state.limits().header_timeout, reading).await {
        Ok(Ok(StreamHead::Offer(head))) => serve_offer(&state, head, reader, reply).await,
        Ok(Ok(StreamHead::Control(request))) => {
            let mut reply = reply;
            let answer = state.controls().answer(peer, request).await;
            // A peer that went away needs no answer.
            let _ = reply.send(&answer, true);
        }
        Ok(Err(PeerCause::Frame(error))) => {
            emit(&path::PEER_REFUSED, &[&peer, &error]);
            reply.reject(StatusCode::BAD_REQUEST);
        }
        Ok(Err(_)) => {}
        Err(elapsed) => {
            emit(&path::PEER_REFUSED, &[&peer, &elapsed]);
            reply.reject(StatusCode::REQUEST_TIMEOUT);
        }
    }
}
