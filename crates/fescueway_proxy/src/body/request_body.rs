//! The body of a request, which can be offered again until its first byte is taken.

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

/// The body of a request. Clones share a streaming body.
#[derive(Clone, Debug)]
pub enum RequestBody {
    /// There is none.
    Empty,
    /// It was read whole, and may be sent any number of times.
    Buffered(Bytes),
    /// It is read as the backend server takes it, once.
    Streaming(SharedBody),
}

/// A caller's body that several offers may hold and one of them reads.
#[derive(Clone)]
pub struct SharedBody(Arc<Mutex<SharedState>>);

/// What the clones of a [`SharedBody`] share.
struct SharedState {
    /// The caller's body.
    incoming: Incoming,
    /// Whether a byte was asked for. From then on it can't be offered again.
    is_touched: bool,
    /// The status for the caller, once the body broke off.
    failure_status: Option<StatusCode>,
    /// Bytes that may still come.
    bytes_left: u64,
    /// The limit on the whole body in bytes.
    limit: u64,
    /// Bounds the wait for the next byte.
    timer: IdleTimer,
}

impl RequestBody {
    /// Whether there is no body.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Empty)
    }

    /// What is known of it before it is sent.
    #[must_use]
    pub fn buffered_bytes(&self) -> &[u8] {
        match self {
            Self::Empty | Self::Streaming(_) => &[],
            Self::Buffered(bytes) => bytes,
        }
    }

    /// Whether it can be sent from its first byte on.
    #[must_use]
    pub fn is_unconsumed(&self) -> bool {
        match self {
            Self::Empty | Self::Buffered(_) => true,
            Self::Streaming(body) => !body.is_touched(),
        }
    }

    /// The status for the caller, when its body broke off.
    #[must_use]
    pub fn failure_status(&self) -> Option<StatusCode> {
        match self {
            Self::Empty | Self::Buffered(_) => None,
            Self::Streaming(body) => body.with(|state| state.failure_status),
        }
    }
}

impl SharedBody {
    /// Shares a caller's body of `limit` bytes at most, with no wait longer than `idle`.
    #[must_use]
    pub fn new(incoming: Incoming, limit: u64, idle: Duration) -> Self {
        Self(Arc::new(Mutex::new(SharedState {
            incoming,
            is_touched: false,
            failure_status: None,
            bytes_left: limit,
            limit,
            timer: IdleTimer::new(idle),
        })))
    }

    /// Whether a byte was asked for.
    #[must_use]
    pub fn is_touched(&self) -> bool {
        self.with(|state| state.is_touched)
    }

    /// Runs `action` on the shared state.
    fn with<T>(&self, action: impl FnOnce(&mut SharedState) -> T) -> T {
        action(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl SharedState {
    /// The next frame. Keeps in mind whether the body broke off.
    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.is_touched = true;
        let frame = ready!(self.poll_in_time(context));
        if let Some(Err(error)) = &frame {
            self.failure_status = Some(error.caller_status());
        }
        Poll::Ready(frame)
    }

    /// The next frame, or an error when it doesn't come in time.
    fn poll_in_time(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = Pin::new(&mut self.incoming).poll_frame(context);
        let frame = frame.map_err(BodyError::Caller);
        let frame = ready!(self.timer.bound(context, frame));
        Poll::Ready(frame.map(|frame| self.count(frame?)))
    }

    /// Counts a frame against the limit.
    fn count(&mut self, frame: Frame<Bytes>) -> Result<Frame<Bytes>, BodyError> {
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
