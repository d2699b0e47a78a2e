//! A host's reply on a stream between nodes.

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

/// A host's reply: frames, then perhaps a body.
#[derive(Debug)]
pub struct PeerReply {
    /// Opens the reply.
    opener: SendResponse<Bytes>,
    /// The reply, once it is open.
    stream: Option<SendStream<Bytes>>,
}

impl PeerReply {
    /// A reply that is not open yet.
    #[must_use]
    pub fn new(opener: SendResponse<Bytes>) -> Self {
        Self {
            opener,
            stream: None,
        }
    }

    /// Sends one frame; `is_end` ends the reply.
    ///
    /// # Errors
    ///
    /// When the stream is gone.
    pub fn send(&mut self, message: &impl Serialize, is_end: bool) -> Result<(), PeerCause> {
        let frame = encode_frame(message)?;
        self.open()?.send_data(frame.into(), is_end)?;
        Ok(())
    }

    /// Refuses the stream as none of ours.
    pub fn reject(mut self, status: StatusCode) {
        let mut response = Response::new(());
        *response.status_mut() = status;
        if self.opener.send_response(response, true).is_err() {
            self.opener.send_reset(Reason::PROTOCOL_ERROR);
        }
    }

    /// The open stream, for the body.
    ///
    /// # Errors
    ///
    /// When the stream is gone.
    pub fn open(&mut self) -> Result<&mut SendStream<Bytes>, PeerCause> {
        let stream = match self.stream.take() {
            Some(stream) => stream,
            None => self.opener.send_response(Response::new(()), false)?,
        };
        Ok(self.stream.insert(stream))
    }

    /// Waits until the entry gives the stream up.
    pub async fn reset(&mut self) {
        poll_fn(|context| self.poll_reset(context)).await;
    }

    /// Ready when the entry gave the stream up.
    fn poll_reset(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let reset = match &mut self.stream {
            Some(stream) => stream.poll_reset(context),
            None => self.opener.poll_reset(context),
        };
        reset.map(|_| ())
    }
}
