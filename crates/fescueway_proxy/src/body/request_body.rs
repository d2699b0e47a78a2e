//! Body of a request, which can be offered again until its first byte is read.

use std::{
    fmt::{Debug, Formatter, Result as FmtResult},
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http::StatusCode;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

use super::{BodyError, IdleTimer};

/// Body of a request. Clones share a streaming body.
#[derive(Clone, Debug)]
pub enum RequestBody {
    /// The request has no body.
    Empty,
    /// Body that was read completely. It can be sent any number of times.
    Buffered(Bytes),
    /// Body that is read while the backend server accepts it. It can be sent only once.
    Streaming(SharedBody),
}

/// Streaming body of a caller. Several offers may share it, but only one reads it.
#[derive(Clone)]
pub struct SharedBody(Arc<Mutex<SharedState>>);

/// State shared by the clones of a [`SharedBody`].
struct SharedState {
    /// Body received from the caller.
    incoming: Incoming,
    /// Whether reading has started. From then on the body can't be offered again.
    is_started: bool,
    /// Status for the caller if reading the body failed.
    failure_status: Option<StatusCode>,
    /// Number of bytes left until the limit.
    bytes_left: u64,
    /// Size limit of the body in bytes.
    limit: u64,
    /// Limits the wait for the next byte.
    timer: IdleTimer,
}

impl RequestBody {
    /// Whether the request has no body.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Empty)
    }

    /// The buffered bytes, empty for a streaming body.
    #[must_use]
    pub fn buffered_bytes(&self) -> &[u8] {
        match self {
            Self::Empty | Self::Streaming(_) => &[],
            Self::Buffered(bytes) => bytes,
        }
    }

    /// Whether the body can still be sent from its first byte.
    #[must_use]
    pub fn is_unconsumed(&self) -> bool {
        match self {
            Self::Empty | Self::Buffered(_) => true,
            Self::Streaming(body) => !body.is_started(),
        }
    }

    /// Status for the caller, `None` unless reading its body failed.
    #[must_use]
    pub fn failure_status(&self) -> Option<StatusCode> {
        match self {
            Self::Empty | Self::Buffered(_) => None,
            Self::Streaming(body) => body.with(|state| state.failure_status),
        }
    }
}

impl SharedBody {
    /// Creates a shared body of at most `limit` bytes, with the idle timeout `idle`.
    #[must_use]
    pub fn new(incoming: Incoming, limit: u64, idle: Duration) -> Self {
        Self(Arc::new(Mutex::new(SharedState {
            incoming,
            is_started: false,
            failure_status: None,
            bytes_left: limit,
            limit,
            timer: IdleTimer::new(idle),
        })))
    }

    /// Whether reading has started.
    #[must_use]
    pub fn is_started(&self) -> bool {
        self.with(|state| state.is_started)
    }

    /// Runs `action` on the shared state.
    fn with<T>(&self, action: impl FnOnce(&mut SharedState) -> T) -> T {
        action(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl SharedState {
    /// Polls for the next frame. Records the status for the caller on failure.
    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.is_started = true;
        let frame = ready!(self.poll_with_timeout(context));
        if let Some(Err(error)) = &frame {
            self.failure_status = Some(error.caller_status());
        }
        Poll::Ready(frame)
    }

    /// Polls for the next frame, with the idle timeout and the size limit.
    fn poll_with_timeout(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = Pin::new(&mut self.incoming).poll_frame(context);
        let frame = frame.map_err(BodyError::Caller);
        let frame = ready!(self.timer.bound(context, frame));
        Poll::Ready(frame.map(|frame| self.count_bytes(frame?)))
    }

    /// Subtracts the length of a frame from the bytes left. Fails if the limit is exceeded.
    fn count_bytes(&mut self, frame: Frame<Bytes>) -> Result<Frame<Bytes>, BodyError> {
        let length = frame.data_ref().map_or(0, |data| data.len() as u64);
        let limit = self.limit;
        let left = self.bytes_left.checked_sub(length);
        self.bytes_left = left.ok_or(BodyError::TooLarge { limit })?;
        Ok(frame)
    }
}

impl Debug for SharedBody {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        f.debug_struct("SharedBody").finish_non_exhaustive()
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            Self::Empty => Poll::Ready(None),
            Self::Buffered(bytes) => {
                let data = std::mem::take(bytes);
                *self = Self::Empty;
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Self::Streaming(body) => body.with(|state| state.poll_frame(cx)),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Buffered(_) => false,
            Self::Streaming(body) => body.with(|state| state.incoming.is_end_stream()),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Empty => SizeHint::with_exact(0),
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streaming(body) => body.with(|state| state.incoming.size_hint()),
        }
    }
}
