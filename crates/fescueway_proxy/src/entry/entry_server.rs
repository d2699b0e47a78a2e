//! Accepts and serves connections of callers.

use std::{convert::Infallible, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

use fescueway_telemetry::{emit, events::path};
use http::{Request, request::Parts};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::conn::auto::Builder,
};
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};
use tokio_util::sync::CancellationToken;

use super::{
    answer_request::{answer_request, start_pipelined},
    read_ahead::ReadAhead,
};
use crate::{
    accept_loop::AcceptLoop,
    connection_activity::{CLOSE_GRACE_PERIOD, ConnectionActivity},
    proxy_state::ProxyState,
    socket_options::set_socket_options,
    task_group::TaskGroup,
    watched_socket::WatchedSocket,
};

/// Maximum number of header fields of a request.
pub const MAX_HEADERS: usize = 100;

/// Time that a connection is still read after the node began to close. A busy node reads late what its
/// callers sent in time.
const CLOSE_DELAY: Duration = Duration::from_millis(20);

/// Concurrent streams of one HTTP/2 connection of a caller.
const MAX_CALLER_STREAMS: u32 = 128;

/// Serves connections of callers until `closing` is cancelled. Requests in flight are finished.
pub async fn serve_callers(state: ProxyState, listener: TcpListener, closing: CancellationToken) {
    let builder = Arc::new(server_builder(&state));
    let accepting = AcceptLoop {
        name: "callers",
        limit: state.limits().caller_connections,
        closing: closing.clone(),
    };
    let serve = |socket, caller| {
        let (state, closing) = (state.clone(), closing.clone());
        serve_connection(state, Arc::clone(&builder), socket, caller, closing)
    };
    accepting.run(state.tasks(), listener, serve).await;
}

/// The HTTP server with its limits applied.
fn server_builder(state: &ProxyState) -> Builder<TaskGroup> {
    let mut builder = Builder::new(state.tasks().clone());
    let limits = state.limits();
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes)
        .max_headers(MAX_HEADERS);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_CALLER_STREAMS)
        .max_header_list_size(limits.header_bytes as u32);
    builder
}

/// Serves one connection.
async fn serve_connection(
    state: ProxyState,
    builder: Arc<Builder<TaskGroup>>,
    socket: TcpStream,
    caller: SocketAddr,
    closing: CancellationToken,
) {
    let _open = state.open_counts().caller_connections.open();
    if let Err(error) = set_socket_options(&socket, state.limits().body_idle) {
        return emit(&path::CALLER_FAILED, &[&caller, &error]);
    }
    let (ahead, reader, socket) = ReadAhead::split(socket, state.limits().header_bytes);
    let socket = WatchedSocket::new(socket);
    let activity = Arc::new(ConnectionActivity::new(socket.blocked()));
    let start = |parts: &Parts| start_pipelined(&state, parts, caller, &activity);
    let reading = ahead.run(reader, || activity.has_requests(), start);
    let (service_state, service_activity, service_ahead) =
        (state.clone(), Arc::clone(&activity), ahead.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let (parts, incoming) = request.into_parts();
        let pipelined_answer = service_ahead.take_answer(&parts);
        let (state, activity) = (service_state.clone(), Arc::clone(&service_activity));
        async move {
            // Only idempotent requests are started ahead, so a request whose task ended without an
            // answer runs again.
            if let Some(answer) = pipelined_answer
                && let Ok(answer) = answer.await
            {
                return Ok(answer);
            }
            let answering = answer_request(&state, parts, Some(incoming), caller, &activity);
            Ok::<_, Infallible>(answering.await)
        }
    });
    let connection = builder.serve_connection(TokioIo::new(socket), service);
    let mut connection = std::pin::pin!(connection);
    let mut reading = std::pin::pin!(reading);
    let mut drained = std::pin::pin!(async {
        closing.cancelled().await;
        ahead.drain().await;
        sleep(CLOSE_DELAY).await;
    });
    let mut is_reader_ended = false;
    let result = loop {
        tokio::select! {
            result = connection.as_mut() => break result,
            // The caller left: dropping the connection cancels its requests.
            () = reading.as_mut(), if !is_reader_ended => {
                is_reader_ended = true;
                if activity.has_requests() {
                    break Ok(());
                }
            }
            () = drained.as_mut() => {
                connection.as_mut().graceful_shutdown();
                tokio::select! {
                    result = connection => break result,
                    // A caller that is frozen never closes its side.
                    () = activity.idle_for(CLOSE_GRACE_PERIOD) => break Ok(()),
                    () = caller_left(reading, is_reader_ended, &activity) => break Ok(()),
                }
            }
        }
    };
    if let Err(error) = result {
        emit(&path::CALLER_FAILED, &[&caller, &error]);
    }
}

/// Waits until the caller has left with requests open. Never returns when none is open then.
async fn caller_left(
    reading: Pin<&mut impl Future<Output = ()>>,
    is_reader_ended: bool,
    activity: &ConnectionActivity,
) {
    if !is_reader_ended {
        reading.await;
        if activity.has_requests() {
            return;
        }
    }
    std::future::pending::<()>().await;
}
