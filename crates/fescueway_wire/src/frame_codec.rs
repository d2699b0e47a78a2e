//! Frames: one version byte, the payload's length, then the payload in bincode.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The version of the messages between nodes. Nodes of different versions refuse each other.
pub const WIRE_VERSION: u8 = 2;

/// Bytes before the payload: the version and the length.
pub const PREFIX_BYTES: usize = 5;

/// The largest payload in bytes. Nothing larger is read, and no decoder allocates more.
pub const MAX_PAYLOAD_BYTES: usize = 1_114_112;

/// The largest head of an offer or an answer in bytes.
pub const MAX_HEAD_BYTES: usize = 131_072;

/// Room for most frames, so that few grow while they are written.
const FIRST_BYTES: usize = 512;

/// Integers take as few bytes as they need; reading stops at the limit.
type PayloadConfig = Configuration<LittleEndian, Varint, Limit<MAX_PAYLOAD_BYTES>>;

/// Why bytes are no message of ours.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum FrameError {
    /// The sender speaks another version.
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
        /// What the codec says.
        detail: String,
    },
    /// The message can't be encoded within the limit.
    #[error("message does not encode: {detail}")]
    Unencodable {
        /// What the codec says.
        detail: String,
    },
}

/// The codec's settings.
const fn payload_config() -> PayloadConfig {
    bincode::config::standard().with_limit::<MAX_PAYLOAD_BYTES>()
}

/// Encodes a message as one frame.
///
/// # Errors
///
/// [`FrameError::TooLarge`] when the payload is above [`MAX_PAYLOAD_BYTES`].
pub fn encode_frame(message: &impl Serialize) -> Result<Vec<u8>, FrameError> {
    let mut frame = Vec::with_capacity(FIRST_BYTES);
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

/// Reads a frame's prefix: `None` while there are too few bytes, else the payload's length.
///
/// # Errors
///
/// When the version is another, or the payload is longer than `limit` bytes.
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

/// Decodes a frame's payload, which has to be used up.
///
/// # Errors
///
/// [`FrameError::Malformed`] when it is no `T`, or more than one.
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
