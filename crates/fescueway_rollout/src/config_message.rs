//! The messages by which nodes fetch a configuration from each other.

use bincode::config::standard;
use fescueway_core::{ServiceName, SiteName};
use serde::{Deserialize, Serialize};

use crate::ConfigHead;

/// Maximum message size in bytes that the connections between nodes allow.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Requests the newest configuration of a site from a node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigRequest {
    /// The site.
    pub site: SiteName,
    /// The revision that the sender has in force. The reply contains only later changes. Zero
    /// requests the full configuration.
    pub have: u64,
}

/// The newest configuration that a node has in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigReply {
    /// The head.
    pub head: ConfigHead,
    /// Whether `values` holds all services of the site. Otherwise it holds the changes since the
    /// revision in the request.
    pub is_full: bool,
    /// The canonical form of each changed service, or of every service when `is_full` is set.
    pub values: Vec<(ServiceName, Vec<u8>)>,
    /// Services that were removed.
    pub removed: Vec<ServiceName>,
}

/// Bytes that could not be decoded as a message.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not a configuration message: {0}")]
pub struct MessageError(String);

impl ConfigRequest {
    /// Encodes the request.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a request.
    ///
    /// # Errors
    /// When the bytes are not a valid request.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, MessageError> {
        decode(bytes)
    }
}

impl ConfigReply {
    /// Encodes the reply.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a reply.
    ///
    /// # Errors
    /// When the bytes are not a valid reply.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, MessageError> {
        decode(bytes)
    }
}

pub fn encode(message: &impl Serialize) -> Vec<u8> {
    bincode::serde::encode_to_vec(message, standard()).unwrap_or_default()
}

pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    let config = standard().with_limit::<MAX_MESSAGE_BYTES>();
    let decoded = bincode::serde::decode_from_slice(bytes, config);
    let (message, read) = decoded.map_err(|error| MessageError(error.to_string()))?;
    if read == bytes.len() {
        Ok(message)
    } else {
        Err(MessageError("bytes follow its end".to_owned()))
    }
}
