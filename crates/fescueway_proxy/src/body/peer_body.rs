//! A body that arrives on a stream between nodes.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use h2::RecvStream;
use http_body::{Body, Frame};

use super::{BodyError, IdleTimer};

/// A body that arrives on a stream between nodes.
///
/// Each frame's window is given back as the frame is taken, so what waits in memory is bounded by
/// the stream's window. Dropping it resets the stream.
#[derive(Debug)]
pub struct PeerBody {
    /// Bytes that came with the head.
    first: Option<Bytes>,
    /// The stream.
    stream: RecvStream,
    /// Whether all data came.
    is_data_done: bool,
    /// Bounds the wait for the next byte.
    timer: IdleTimer,
}

impl PeerBody {
    /// The rest of `stream`, after `first`, with no wait longer than `idle`.
    #[must_use]
    pub fn new(first: Bytes, stream: RecvStream, idle: Duration) -> Self {
        Self {
            first: Some(first).filter(|bytes| !bytes.is_empty()),
            stream,
            is_data_done: false,
            timer: IdleTimer::new(idle),
        }
    }

    /// The next data, `None` after the last.
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

    /// The next frame, however long it takes.
    fn poll_any(
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
        let frame = self.poll_any(cx);
        self.timer.bound(cx, frame)
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.stream.is_end_stream()
    }
}
