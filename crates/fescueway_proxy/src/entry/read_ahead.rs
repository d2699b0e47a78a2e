//! Reads a caller's requests ahead of the answer to the one before them.
//!
//! The HTTP library reads the next request of a connection when it has answered the last. Callers
//! that pipeline would wait for one after the other, so requests that may repeat are begun as soon as
//! their head has arrived, and answered in their order.

use std::{
    collections::BTreeMap,
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

/// Bytes of a connection that are read ahead of the HTTP library at most.
const MOST_PENDING: usize = 64 * 1_024;

/// Bytes that are read from the socket at once.
const READ_BYTES: usize = 4 * 1_024;

/// Requests of one connection that are begun ahead at most.
const MOST_AHEAD: usize = 16;

/// An answer that is under way.
pub type AheadAnswer = oneshot::Receiver<Response<CountedBody>>;

/// What the reader, the HTTP library's socket and its service share. Cheap to clone.
#[derive(Clone, Debug)]
pub struct ReadAhead(Arc<AheadShared>);

/// What the clones of a [`ReadAhead`] share.
#[derive(Debug)]
struct AheadShared {
    /// Bytes and requests.
    state: Mutex<AheadState>,
    /// Tells the reader that there is room.
    room: Notify,
    /// Tells that no request is begun ahead any more.
    drained: Notify,
}

/// Bytes and requests of one connection.
#[derive(Debug)]
struct AheadState {
    /// Bytes that the HTTP library has not taken.
    pending: BytesMut,
    /// Whether nothing follows them.
    is_ended: bool,
    /// The HTTP library, when it waits for bytes.
    reader: Option<Waker>,
    /// Finds heads.
    scanner: RequestScanner,
    /// Heads found so far.
    found: u64,
    /// Requests that the HTTP library has read so far.
    taken: u64,
    /// Requests that were begun ahead, by their place on the connection.
    begun: BTreeMap<u64, (Parts, AheadAnswer)>,
    /// Whether no further one is begun.
    is_stopped: bool,
}

/// Reads what was read ahead.
#[derive(Debug)]
pub struct AheadReader(ReadAhead);

/// The socket as the HTTP library sees it.
pub type AheadSocket = Join<AheadReader, OwnedWriteHalf>;

impl ReadAhead {
    /// Splits a new connection whose heads have at most `head_bytes`.
    pub fn split(socket: TcpStream, head_bytes: usize) -> (Self, OwnedReadHalf, AheadSocket) {
        let (reader, writer) = socket.into_split();
        let ahead = Self(Arc::new(AheadShared {
            state: Mutex::new(AheadState {
                pending: BytesMut::new(),
                is_ended: false,
                reader: None,
                scanner: RequestScanner::new(head_bytes),
                found: 0,
                taken: 0,
                begun: BTreeMap::new(),
                is_stopped: false,
            }),
            room: Notify::new(),
            drained: Notify::new(),
        }));
        let socket = join(AheadReader(ahead.clone()), writer);
        (ahead, reader, socket)
    }

    /// Reads the connection to its end. `begin` starts a request ahead, or declines; it hears of
    /// those only that wait behind another, which `is_busy` tells of the one that the HTTP library
    /// reads next.
    pub async fn run(
        &self,
        reader: OwnedReadHalf,
        is_busy: impl Fn() -> bool,
        begin: impl Fn(&Parts) -> Option<AheadAnswer>,
    ) {
        let mut buffer = [0; READ_BYTES];
        loop {
            while self.state().pending.len() >= MOST_PENDING {
                self.0.room.notified().await;
            }
            if reader.readable().await.is_err() {
                break;
            }
            match reader.try_read(&mut buffer) {
                Ok(0) => break,
                Ok(length) => self.take_in(&buffer[..length], &is_busy, &begin),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_broken) => break,
            }
        }
        let mut state = self.state();
        state.is_ended = true;
        state.wake();
    }

    /// Takes bytes in, and begins the requests that wait behind another.
    fn take_in(
        &self,
        bytes: &[u8],
        is_busy: &impl Fn() -> bool,
        begin: &impl Fn(&Parts) -> Option<AheadAnswer>,
    ) {
        let mut state = self.state();
        state.pending.extend_from_slice(bytes);
        for parts in state.scanner.feed(bytes) {
            let place = state.found;
            state.found += 1;
            let is_next = place <= state.taken && !is_busy();
            if is_next || state.is_stopped || state.begun.len() >= MOST_AHEAD {
                continue;
            }
            if let Some(answer) = begin(&parts) {
                state.begun.insert(place, (parts, answer));
            }
        }
        state.wake();
    }

    /// The answer that was begun ahead to the request that the HTTP library has just read.
    pub fn take(&self, parts: &Parts) -> Option<AheadAnswer> {
        let mut state = self.state();
        let place = state.taken;
        state.taken += 1;
        let (begun, answer) = state.begun.remove(&place)?;
        if state.begun.is_empty() {
            self.0.drained.notify_waiters();
        }
        drop(state);
        let is_same = begun.method == parts.method
            && begun.uri == parts.uri
            && begun.headers == parts.headers;
        is_same.then_some(answer)
    }

    /// Begins nothing more, and waits until what was begun has been read.
    pub async fn drain(&self) {
        loop {
            let drained = self.0.drained.notified();
            {
                let mut state = self.state();
                state.is_stopped = true;
                if state.begun.is_empty() {
                    return;
                }
            }
            drained.await;
        }
    }

    /// Bytes and requests, locked.
    fn state(&self) -> MutexGuard<'_, AheadState> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AheadState {
    /// Wakes the HTTP library.
    fn wake(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

impl AsyncRead for AheadReader {
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
            state.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let length = state.pending.len().min(buf.remaining());
        buf.put_slice(&state.pending[..length]);
        state.pending.advance(length);
        if state.pending.is_empty() {
            // An idle connection keeps no buffer.
            state.pending = BytesMut::new();
        }
        drop(state);
        self.0.0.room.notify_one();
        Poll::Ready(Ok(()))
    }
}
