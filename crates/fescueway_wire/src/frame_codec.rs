//! Frame codec: one version byte, the payload length, then the payload encoded with bincode.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Version of the protocol between nodes. Nodes of different versions reject each other's frames.
pub const WIRE_VERSION: u8 = 3;

/// Bytes before the payload: the version and the length.
pub const PREFIX_BYTES: usize = 5;

/// Maximum payload size in bytes. Larger payloads are not read, and no decoder allocates more.
pub const MAX_PAYLOAD_BYTES: usize = 1_114_112;

/// Maximum size of an offer or answer head in bytes.
pub const MAX_HEAD_BYTES: usize = 131_072;

/// Initial capacity that fits most frames, to avoid reallocations.
const INITIAL_CAPACITY_BYTES: usize = 512;

/// Encodes integers with variable length; decoding stops at the size limit.
type PayloadConfig = Configuration<LittleEndian, Varint, Limit<MAX_PAYLOAD_BYTES>>;

/// Why a frame can't be encoded or decoded.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum FrameError {
    /// The sender uses another protocol version.
    #[error("frame of version {found}, this node speaks {WIRE_VERSION}")]
    WrongVersion {
        /// The version byte.
        found: u8,
    },
    /// The payload is longer than this kind of message may be.
    #[error("frame of {length} bytes, at most {limit} are allowed")]
    TooLarge {
        /// The announced length in bytes.
        length: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The payload doesn't decode.
    #[error("frame does not decode: {detail}")]
    Malformed {
        /// The codec's error message.
        detail: String,
    },
    /// The message can't be encoded within the limit.
    #[error("message does not encode: {detail}")]
    Unencodable {
        /// The codec's error message.
        detail: String,
    },
}

/// The codec's configuration.
const fn payload_config() -> PayloadConfig {
    bincode::config::standard().with_limit::<MAX_PAYLOAD_BYTES>()
}

/// Encodes a message as one frame.
///
/// # Errors
///
/// [`FrameError::Unencodable`] if encoding fails; [`FrameError::TooLarge`] if the payload is above
/// [`MAX_PAYLOAD_BYTES`].
pub fn encode_frame(message: &impl Serialize) -> Result<Vec<u8>, FrameError> {
    let mut frame = Vec::with_capacity(INITIAL_CAPACITY_BYTES);
    frame.extend_from_slice(&[WIRE_VERSION, 0, 0, 0, 0]);
    bincode::serde::encode_into_std_write(message, &mut frame, payload_config()).map_err(
        |error| FrameError::Unencodable {
            detail: error.to_string(),
        },
    )?;
    let length = frame.len() - PREFIX_BYTES;
    if length > MAX_PAYLOAD_BYTES {
        return Err(FrameError::TooLarge {
            length,
            limit: MAX_PAYLOAD_BYTES,
        });
    }
    frame[1..PREFIX_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(frame)
}

/// Reads a frame's prefix: the payload length, or `None` while the prefix is incomplete.
///
/// # Errors
///
/// If the version differs from [`WIRE_VERSION`], or the payload is longer than `limit` bytes.
pub fn decode_prefix(bytes: &[u8], limit: usize) -> Result<Option<usize>, FrameError> {
    let Some(&found) = bytes.first() else {
        return Ok(None);
    };
    if found != WIRE_VERSION {
        return Err(FrameError::WrongVersion { found });
    }
    let Some(length) = bytes.get(1..PREFIX_BYTES) else {
        return Ok(None);
    };
    let length = length
        .iter()
        .fold(0, |sum, byte| sum << 8 | usize::from(*byte));
    if length > limit {
        return Err(FrameError::TooLarge { length, limit });
    }
    Ok(Some(length))
}

/// Decodes a frame's payload, which must be consumed completely.
///
/// # Errors
///
/// [`FrameError::Malformed`] if it isn't exactly one `T`.
pub fn decode_payload<'a, T: Deserialize<'a>>(payload: &'a [u8]) -> Result<T, FrameError> {
    let (message, used) = bincode::serde::borrow_decode_from_slice(payload, payload_config())
        .map_err(|error| FrameError::Malformed {
            detail: error.to_string(),
        })?;
    if used != payload.len() {
        return Err(FrameError::Malformed {
            detail: format!("{} bytes too many", payload.len() - used),
        });
    }
    Ok(message)
}
