//! Reply of a host on a stream between nodes.

use std::{
    future::poll_fn,
    task::{Context, Poll},
};

use bytes::Bytes;
use fescueway_wire::encode_frame;
use h2::{Reason, SendStream, server::SendResponse};
use http::{Response, StatusCode};
use serde::Serialize;

use super::peer_error::PeerCause;

/// Reply of a host: one or more frames and an optional body.
#[derive(Debug)]
pub struct PeerReply {
    /// Sends the HTTP/2 response head, which opens the reply.
    responder: SendResponse<Bytes>,
    /// Sends the frames and the body. `None` until the reply is open.
    stream: Option<SendStream<Bytes>>,
}

impl PeerReply {
    /// Creates a reply that is not open yet.
    #[must_use]
    pub fn new(responder: SendResponse<Bytes>) -> Self {
        Self {
            responder,
            stream: None,
        }
    }

    /// Sends one frame, and ends the reply if `is_end`.
    ///
    /// # Errors
    ///
    /// If the message can't be encoded or the stream is closed.
    pub fn send(&mut self, message: &impl Serialize, is_end: bool) -> Result<(), PeerCause> {
        let frame = encode_frame(message)?;
        self.open()?.send_data(frame.into(), is_end)?;
        Ok(())
    }

    /// Rejects the stream with an HTTP status, for example after an invalid frame.
    pub fn reject(mut self, status: StatusCode) {
        let mut response = Response::new(());
        *response.status_mut() = status;
        if self.responder.send_response(response, true).is_err() {
            self.responder.send_reset(Reason::PROTOCOL_ERROR);
        }
    }

    /// Opens the reply if necessary and returns its stream.
    ///
    /// # Errors
    ///
    /// If the stream is closed.
    pub fn open(&mut self) -> Result<&mut SendStream<Bytes>, PeerCause> {
        let stream = match self.stream.take() {
            Some(stream) => stream,
            None => self.responder.send_response(Response::new(()), false)?,
        };
        Ok(self.stream.insert(stream))
    }

    /// Waits until the entry resets the stream.
    pub async fn wait_for_reset(&mut self) {
        poll_fn(|context| self.poll_reset(context)).await;
    }

    /// Polls for a reset of the stream by the entry.
    fn poll_reset(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let reset = match &mut self.stream {
            Some(stream) => stream.poll_reset(context),
            None => self.responder.poll_reset(context),
        };
        reset.map(|_| ())
    }
}
