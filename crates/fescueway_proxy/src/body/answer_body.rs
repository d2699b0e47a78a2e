//! Body of an answer to a caller.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::time::Instant;

use super::{BodyError, PeerBody};
use crate::{
    host::BackendBody,
    open_guard::OpenGuard,
    peer::{AbortOnDrop, StreamPermit},
};

/// Body of an answer, by its source. An error aborts the stream to the caller.
#[derive(Debug)]
pub enum AnswerBody {
    /// Complete body in memory.
    Full(Bytes),
    /// Body from a host on another node.
    Peer {
        /// Body on the stream from the host.
        body: Box<PeerBody>,
        /// Task that sends the request body, if it was streamed.
        body_task: Option<AbortOnDrop>,
        /// Permit for the stream on its connection.
        permit: StreamPermit,
    },
    /// Body from a backend server of this node.
    Backend(Box<BackendBody>),
}

/// Body of an answer to a caller. The request is counted as open until the body is dropped.
#[derive(Debug)]
pub struct CountedBody {
    /// Body of the answer.
    pub body: AnswerBody,
    /// Guards that count the request as open, on the node and on its connection.
    pub open: [OpenGuard; 2],
}

impl AnswerBody {
    /// Limits the wait for the next byte from another node by the deadline of the request. A body from a
    /// backend server of this node has it from its run.
    pub fn set_deadline(&mut self, deadline: Instant) {
        if let Self::Peer { body, .. } = self {
            body.set_deadline(deadline);
        }
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            Self::Full(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Full(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Peer { body, .. } => Pin::new(&mut **body).poll_frame(cx),
            Self::Backend(body) => Pin::new(&mut **body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_empty(),
            Self::Peer { body, .. } => body.is_end_stream(),
            Self::Backend(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Peer { body, .. } => body.size_hint(),
            Self::Backend(body) => body.size_hint(),
        }
    }
}
