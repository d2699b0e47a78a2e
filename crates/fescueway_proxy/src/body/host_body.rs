//! Request body that a host sends to its backend server.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::{BodyError, PeerBody, RequestBody};

/// Request body that a host sends to its backend server.
#[derive(Debug)]
pub enum HostBody {
    /// Body from the entry on the same node.
    Local(RequestBody),
    /// Body from an entry on another node.
    Peer(Box<PeerBody>),
}

impl Body for HostBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            Self::Local(body) => Pin::new(body).poll_frame(cx),
            Self::Peer(body) => Pin::new(&mut **body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Local(body) => body.is_end_stream(),
            Self::Peer(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Local(body) => body.size_hint(),
            Self::Peer(body) => body.size_hint(),
        }
    }
}
