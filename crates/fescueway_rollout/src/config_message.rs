//! What nodes ask each other for a configuration.

use bincode::config::standard;
use fescueway_core::{ServiceName, SiteName};
use serde::{Deserialize, Serialize};

use crate::ConfigHead;

/// Longest message in bytes, as the connections between nodes allow it.
const MAX_MESSAGE: usize = 1 << 20;

/// Asks a node for the newest configuration of a site.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigRequest {
    /// The site.
    pub site: SiteName,
    /// The revision that the sender has; only what changed since is sent. Zero for all.
    pub have: u64,
}

/// The newest configuration that a node has in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigReply {
    /// The head.
    pub head: ConfigHead,
    /// Whether `values` are all of the site's services; else what changed since the revision that
    /// the sender named.
    pub is_full: bool,
    /// The canonical form of each service that changed.
    pub values: Vec<(ServiceName, Vec<u8>)>,
    /// Services that are gone.
    pub removed: Vec<ServiceName>,
}

/// Bytes that are no message.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not a configuration message: {0}")]
pub struct MessageError(String);

impl ConfigRequest {
    /// The request as bytes.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(self)
    }

    /// Reads a request.
    ///
    /// # Errors
    /// When the bytes are none.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, MessageError> {
        decode(bytes)
    }
}

impl ConfigReply {
    /// The reply as bytes.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(self)
    }

    /// Reads a reply.
    ///
    /// # Errors
    /// When the bytes are none.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, MessageError> {
        decode(bytes)
    }
}

pub fn encode(message: &impl Serialize) -> Vec<u8> {
    bincode::serde::encode_to_vec(message, standard()).unwrap_or_default()
}

pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    let layout = standard().with_limit::<MAX_MESSAGE>();
    let decoded = bincode::serde::decode_from_slice(bytes, layout);
    let (message, read) = decoded.map_err(|error| MessageError(error.to_string()))?;
    if read == bytes.len() {
        Ok(message)
    } else {
        Err(MessageError("bytes follow its end".to_owned()))
    }
}
