//! Body received on a stream between nodes.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use h2::RecvStream;
use http_body::{Body, Frame};
use tokio::time::Instant;

use super::{BodyError, IdleTimer};

/// Body received on a stream between nodes.
///
/// The flow-control capacity of a frame is released when the frame is read, so the stream's window
/// limits the unread bytes in memory. Dropping the body resets the stream.
#[derive(Debug)]
pub struct PeerBody {
    /// Bytes that were received together with the head.
    first: Option<Bytes>,
    /// Stream to read from.
    stream: RecvStream,
    /// Whether all data was read, so that only trailers may follow.
    is_data_done: bool,
    /// Limits the wait for the next byte.
    timer: IdleTimer,
}

impl PeerBody {
    /// Creates a body of `first` and the rest of `stream`, with the idle timeout `idle`.
    #[must_use]
    pub fn new(first: Bytes, stream: RecvStream, idle: Duration) -> Self {
        Self {
            first: Some(first).filter(|bytes| !bytes.is_empty()),
            stream,
            is_data_done: false,
            timer: IdleTimer::new(idle),
        }
    }

    /// Limits the wait for the next byte by the deadline of the answer.
    pub fn set_deadline(&mut self, deadline: Instant) {
        self.timer.set_deadline(deadline);
    }

    /// Polls for the next data, `None` after the last.
    fn poll_data(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(first)));
        }
        let Some(data) = ready!(self.stream.poll_data(context)) else {
            return Poll::Ready(None);
        };
        let released = data.and_then(|data| {
            self.stream.flow_control().release_capacity(data.len())?;
            Ok(data)
        });
        Poll::Ready(Some(released.map_err(BodyError::Peer)))
    }

    /// Polls for the next frame, without the idle timeout.
    fn poll_without_timeout(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.is_data_done {
            match ready!(self.poll_data(context)) {
                Some(data) => return Poll::Ready(Some(data.map(Frame::data))),
                None => self.is_data_done = true,
            }
        }
        let trailers = ready!(self.stream.poll_trailers(context));
        let trailers = trailers.map_err(BodyError::Peer).transpose();
        Poll::Ready(trailers.map(|fields| fields.map(Frame::trailers)))
    }
}

impl Body for PeerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = self.poll_without_timeout(cx);
        self.timer.bound(cx, frame)
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.stream.is_end_stream()
    }
}
