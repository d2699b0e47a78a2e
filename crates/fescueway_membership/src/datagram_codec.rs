//! Datagram encoding: a version byte, an authentication tag, then the bincode body.

use bincode::config::{Configuration, Limit, LittleEndian, Varint, standard};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::Datagram;

/// Longest datagram in bytes, small enough not to be fragmented on any path of the fleet.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

const WIRE_VERSION: u8 = 1;
const TAG_BYTES: usize = 16;
const HEADER_BYTES: usize = 1 + TAG_BYTES;

/// Most memory that decoding one datagram may allocate, in bytes.
const DECODE_LIMIT: usize = 64 * 1_024;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum DatagramError {
    /// The datagram is longer than [`MAX_DATAGRAM_BYTES`].
    #[error("oversize")]
    Oversize,
    /// The datagram is truncated, has trailing bytes or doesn't decode.
    #[error("malformed")]
    Malformed,
    /// The datagram has another protocol version.
    #[error("version {0}")]
    Version(u8),
    /// The tag doesn't match the fleet's secret.
    #[error("forged")]
    Forged,
}

/// The secret that all nodes of the fleet share.
///
/// It authenticates datagrams; it doesn't encrypt them. Replayed datagrams do no harm, since rumors
/// are ordered and acks carry the sequence of their ping.
#[derive(Clone)]
pub struct FleetSecret(Hmac<Sha256>);

impl FleetSecret {
    /// Creates a secret from any number of bytes.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        // Hashing a secret of any length to a fixed size and padding it to a block makes this
        // infallible.
        let digest: [u8; 32] = <Sha256 as sha2::Digest>::digest(secret).into();
        let mut key = [0; 64];
        key[..digest.len()].copy_from_slice(&digest);
        Self(Hmac::new(&key.into()))
    }

    fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let full = self.0.clone().chain_update(bytes).finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&full[..TAG_BYTES]);
        tag
    }

    fn is_tag_valid(&self, tag: &[u8], bytes: &[u8]) -> bool {
        let mac = self.0.clone().chain_update(bytes);
        mac.verify_truncated_left(tag).is_ok()
    }
}

impl std::fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetSecret")
    }
}

/// Encodes and decodes authenticated datagrams.
#[derive(Clone, Debug)]
pub struct DatagramCodec {
    secret: FleetSecret,
}

impl DatagramCodec {
    /// A codec that signs and verifies with `secret`.
    #[must_use]
    pub const fn new(secret: FleetSecret) -> Self {
        Self { secret }
    }

    /// Encodes and signs `datagram`.
    ///
    /// # Errors
    ///
    /// [`DatagramError::Oversize`] if the result is longer than [`MAX_DATAGRAM_BYTES`].
    pub fn encode(&self, datagram: &Datagram) -> Result<Vec<u8>, DatagramError> {
        let body = bincode::serde::encode_to_vec(datagram, bincode_config())
            .map_err(|_error| DatagramError::Malformed)?;
        if HEADER_BYTES + body.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::Oversize);
        }
        Ok(self.sign(&body))
    }

    /// Prepends the version and a valid tag to `body`, which may be anything.
    #[must_use]
    pub fn sign(&self, body: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
        bytes.push(WIRE_VERSION);
        bytes.extend_from_slice(&self.secret.tag(body));
        bytes.extend_from_slice(body);
        bytes
    }

    /// Verifies and decodes a datagram. Allocates nothing before the tag is verified.
    ///
    /// # Errors
    ///
    /// Returns why the bytes are not a valid datagram of this fleet.
    pub fn decode(&self, bytes: &[u8]) -> Result<Datagram, DatagramError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::Oversize);
        }
        let (version, remainder) = bytes.split_first().ok_or(DatagramError::Malformed)?;
        if *version != WIRE_VERSION {
            return Err(DatagramError::Version(*version));
        }
        let (tag, body) = remainder
            .split_at_checked(TAG_BYTES)
            .ok_or(DatagramError::Malformed)?;
        if !self.secret.is_tag_valid(tag, body) {
            return Err(DatagramError::Forged);
        }
        let (datagram, consumed) = bincode::serde::decode_from_slice(body, bincode_config())
            .map_err(|_error| DatagramError::Malformed)?;
        if consumed == body.len() {
            Ok(datagram)
        } else {
            Err(DatagramError::Malformed)
        }
    }
}

/// Encoded length of `value` inside a datagram, in bytes.
pub(crate) fn encoded_len(value: &impl serde::Serialize) -> usize {
    bincode::serde::encode_to_vec(value, bincode_config())
        .map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
}

const fn bincode_config() -> Configuration<LittleEndian, Varint, Limit<DECODE_LIMIT>> {
    standard().with_limit::<DECODE_LIMIT>()
}
