//! Reads frames from a stream between nodes.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fescueway_wire::{PREFIX_BYTES, decode_payload, decode_prefix};
use h2::RecvStream;
use serde::de::DeserializeOwned;

use super::peer_error::PeerCause;
use crate::body::PeerBody;

/// Reads frames from a stream between nodes. The rest of the stream is a body.
#[derive(Debug)]
pub struct FrameReader {
    /// Stream to read from.
    stream: RecvStream,
    /// Bytes received but not yet decoded.
    buffer: Bytes,
}

impl FrameReader {
    /// Creates a reader at the start of `stream`.
    #[must_use]
    pub fn new(stream: RecvStream) -> Self {
        Self {
            stream,
            buffer: Bytes::new(),
        }
    }

    /// Reads the next frame, with a payload of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// If the stream fails or ends, or the frame is too large or malformed.
    pub async fn read<T: DeserializeOwned>(&mut self, limit: usize) -> Result<T, PeerCause> {
        loop {
            if let Some(length) = decode_prefix(&self.buffer, limit)? {
                let end = PREFIX_BYTES + length;
                if self.buffer.len() >= end {
                    let frame = self.buffer.split_to(end);
                    return Ok(decode_payload(&frame[PREFIX_BYTES..])?);
                }
            }
            self.read_more().await?;
        }
    }

    /// Converts the rest of the stream into a body with the idle timeout `idle`.
    #[must_use]
    pub fn into_body(self, idle: Duration) -> PeerBody {
        PeerBody::new(self.buffer, self.stream, idle)
    }

    /// Whether the stream has no more data.
    #[must_use]
    pub fn is_end(&self) -> bool {
        self.buffer.is_empty() && self.stream.is_end_stream()
    }

    /// Appends the next data of the stream to the buffer.
    async fn read_more(&mut self) -> Result<(), PeerCause> {
        let data = self.stream.data().await.ok_or(PeerCause::Ended)??;
        self.stream.flow_control().release_capacity(data.len())?;
        if self.buffer.is_empty() {
            self.buffer = data;
            return Ok(());
        }
        // The buffer grows with the bytes received, not with the length that the sender declared.
        let mut joined = BytesMut::from(std::mem::take(&mut self.buffer));
        joined.extend_from_slice(&data);
        self.buffer = joined.freeze();
        Ok(())
    }
}
