//! Reads frames off a stream between nodes.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fescueway_wire::{PREFIX_BYTES, decode_payload, decode_prefix};
use h2::RecvStream;
use serde::de::DeserializeOwned;

use super::peer_error::PeerCause;
use crate::body::PeerBody;

/// Reads frames off a stream between nodes. What follows them is a body.
#[derive(Debug)]
pub struct FrameReader {
    /// The stream.
    stream: RecvStream,
    /// What came and is not read yet.
    buffer: Bytes,
}

impl FrameReader {
    /// Reads `stream` from its start.
    #[must_use]
    pub fn new(stream: RecvStream) -> Self {
        Self {
            stream,
            buffer: Bytes::new(),
        }
    }

    /// The next frame, whose payload is `limit` bytes at most.
    ///
    /// # Errors
    ///
    /// When the stream breaks or ends, and when its bytes are no such frame.
    pub async fn read<T: DeserializeOwned>(&mut self, limit: usize) -> Result<T, PeerCause> {
        loop {
            if let Some(length) = decode_prefix(&self.buffer, limit)? {
                let end = PREFIX_BYTES + length;
                if self.buffer.len() >= end {
                    let frame = self.buffer.split_to(end);
                    return Ok(decode_payload(&frame[PREFIX_BYTES..])?);
                }
            }
            self.fill().await?;
        }
    }

    /// The rest of the stream as a body, with no wait longer than `idle`.
    #[must_use]
    pub fn into_body(self, idle: Duration) -> PeerBody {
        PeerBody::new(self.buffer, self.stream, idle)
    }

    /// Whether nothing follows.
    #[must_use]
    pub fn is_end(&self) -> bool {
        self.buffer.is_empty() && self.stream.is_end_stream()
    }

    /// Takes in the next data.
    async fn fill(&mut self) -> Result<(), PeerCause> {
        let data = self.stream.data().await.ok_or(PeerCause::Ended)??;
        self.stream.flow_control().release_capacity(data.len())?;
        if self.buffer.is_empty() {
            self.buffer = data;
            return Ok(());
        }
        // Grows with what came, never with what the sender claims.
        let mut joined = BytesMut::from(std::mem::take(&mut self.buffer));
        joined.extend_from_slice(&data);
        self.buffer = joined.freeze();
        Ok(())
    }
}
