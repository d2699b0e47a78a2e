//! Starts pipelined requests of a caller before the previous ones are answered.
//!
//! The HTTP library reads the next request of a connection only after it has answered the previous
//! one, so pipelined requests would run one after the other. Idempotent requests are therefore
//! started as soon as their head has arrived, and answered in the order of arrival.

use std::{
    collections::BTreeMap,
    fmt::{Debug, Formatter, Result as FormatResult},
    io::Result as IoResult,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker},
};

use bytes::{Buf, BytesMut};
use http::{Response, request::Parts};
use tokio::{
    io::{AsyncRead, Join, ReadBuf, join},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{Notify, oneshot},
};

use super::request_scanner::RequestScanner;
use crate::body::CountedBody;

/// Maximum number of bytes of a connection that are read ahead of the HTTP library.
const MAX_PENDING_BYTES: usize = 64 * 1_024;

/// Maximum number of bytes per read from the socket.
const READ_BUFFER_BYTES: usize = 4 * 1_024;

/// Maximum number of requests of one connection that are started ahead.
const MAX_PIPELINED_REQUESTS: usize = 16;

/// The future answer to a pipelined request.
pub type PipelinedAnswer = oneshot::Receiver<Response<CountedBody>>;

/// The read-ahead buffer and the pipelined requests of a connection, shared by the task that reads
/// the socket, the HTTP library's socket and its service. Cheap to clone.
#[derive(Clone, Debug)]
pub struct ReadAhead(Arc<ReadAheadShared>);

/// The state that the clones of a [`ReadAhead`] share.
#[derive(Debug)]
struct ReadAheadShared {
    /// Pending bytes and pipelined requests.
    state: Mutex<ReadAheadState>,
    /// Notified when the HTTP library has taken bytes from the buffer.
    space_available: Notify,
    /// Notified when no pipelined request is left.
    drained_notify: Notify,
}

/// Pending bytes and pipelined requests of one connection.
struct ReadAheadState {
    /// Bytes that the HTTP library has not read yet.
    pending: BytesMut,
    /// Whether the caller has closed its side, so that no byte follows `pending`.
    is_ended: bool,
    /// Wakes the HTTP library when it waits for bytes.
    read_waker: Option<Waker>,
    /// Parses request heads.
    scanner: RequestScanner,
    /// Heads parsed so far.
    parsed_count: u64,
    /// Requests that the HTTP library has read so far.
    taken_count: u64,
    /// Requests that were started ahead, by their index on the connection.
    pipelined: BTreeMap<u64, (Parts, PipelinedAnswer)>,
    /// Whether no further request is started ahead.
    is_draining: bool,
}

/// Reads the bytes that were read ahead.
#[derive(Debug)]
pub struct ReadAheadReader(ReadAhead);

/// The socket that is passed to the HTTP library.
pub type ReadAheadSocket = Join<ReadAheadReader, OwnedWriteHalf>;

impl ReadAhead {
    /// Splits a new connection whose request heads have at most `max_head_bytes`.
    pub fn split(
        socket: TcpStream,
        max_head_bytes: usize,
    ) -> (Self, OwnedReadHalf, ReadAheadSocket) {
        let (reader, writer) = socket.into_split();
        let ahead = Self(Arc::new(ReadAheadShared {
            state: Mutex::new(ReadAheadState {
                pending: BytesMut::new(),
                is_ended: false,
                read_waker: None,
                scanner: RequestScanner::new(max_head_bytes),
                parsed_count: 0,
                taken_count: 0,
                pipelined: BTreeMap::new(),
                is_draining: false,
            }),
            space_available: Notify::new(),
            drained_notify: Notify::new(),
        }));
        let socket = join(ReadAheadReader(ahead.clone()), writer);
        (ahead, reader, socket)
    }

    /// Reads the connection to its end. Calls `start` for each request that waits behind another;
    /// it returns `None` for a request that must not be started ahead. `is_busy` tells whether
    /// requests are open, so that the one which the HTTP library reads next has to wait too.
    pub async fn run(
        &self,
        reader: OwnedReadHalf,
        is_busy: impl Fn() -> bool,
        start: impl Fn(&Parts) -> Option<PipelinedAnswer>,
    ) {
        let mut buffer = [0; READ_BUFFER_BYTES];
        loop {
            while self.state().pending.len() >= MAX_PENDING_BYTES {
                self.0.space_available.notified().await;
            }
            if reader.readable().await.is_err() {
                break;
            }
            match reader.try_read(&mut buffer) {
                Ok(0) => break,
                Ok(length) => self.push_bytes(&buffer[..length], &is_busy, &start),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_broken) => break,
            }
        }
        let mut state = self.state();
        state.is_ended = true;
        state.wake();
    }

    /// Appends bytes to the buffer, and starts the requests that wait behind another.
    fn push_bytes(
        &self,
        bytes: &[u8],
        is_busy: &impl Fn() -> bool,
        start: &impl Fn(&Parts) -> Option<PipelinedAnswer>,
    ) {
        let mut state = self.state();
        state.pending.extend_from_slice(bytes);
        for parts in state.scanner.feed(bytes) {
            let position = state.parsed_count;
            state.parsed_count += 1;
            let is_next = position <= state.taken_count && !is_busy();
            if is_next || state.is_draining || state.pipelined.len() >= MAX_PIPELINED_REQUESTS {
                continue;
            }
            if let Some(answer) = start(&parts) {
                state.pipelined.insert(position, (parts, answer));
            }
        }
        state.wake();
    }

    /// The answer to the request that the HTTP library has just read, if that was started ahead.
    pub fn take_answer(&self, parts: &Parts) -> Option<PipelinedAnswer> {
        let mut state = self.state();
        let position = state.taken_count;
        state.taken_count += 1;
        let (pipelined_parts, answer) = state.pipelined.remove(&position)?;
        if state.pipelined.is_empty() {
            self.0.drained_notify.notify_waiters();
        }
        drop(state);
        let is_same = pipelined_parts.method == parts.method
            && pipelined_parts.uri == parts.uri
            && pipelined_parts.headers == parts.headers;
        is_same.then_some(answer)
    }

    /// Starts no more requests ahead, and waits until the HTTP library has read those that were
    /// started.
    pub async fn drain(&self) {
        loop {
            let notified = self.0.drained_notify.notified();
            {
                let mut state = self.state();
                state.is_draining = true;
                if state.pipelined.is_empty() {
                    return;
                }
            }
            notified.await;
        }
    }

    /// The state, locked.
    fn state(&self) -> MutexGuard<'_, ReadAheadState> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ReadAheadState {
    /// Wakes the HTTP library.
    fn wake(&mut self) {
        if let Some(waker) = self.read_waker.take() {
            waker.wake();
        }
    }
}

impl Debug for ReadAheadState {
    /// Shows counts only, since requests hold API keys.
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        f.debug_struct("ReadAheadState")
            .field("parsed_count", &self.parsed_count)
            .field("taken_count", &self.taken_count)
            .finish_non_exhaustive()
    }
}

impl AsyncRead for ReadAheadReader {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<IoResult<()>> {
        let mut state = self.0.state();
        if state.pending.is_empty() {
            if state.is_ended {
                return Poll::Ready(Ok(()));
            }
            state.read_waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let length = state.pending.len().min(buf.remaining());
        buf.put_slice(&state.pending[..length]);
        state.pending.advance(length);
        if state.pending.is_empty() {
            // Frees the buffer, so that an idle connection holds none.
            state.pending = BytesMut::new();
        }
        drop(state);
        self.0.0.space_available.notify_one();
        Poll::Ready(Ok(()))
    }
}
