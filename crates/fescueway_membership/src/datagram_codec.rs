//! Datagrams as bytes: a version, a keyed tag, then bincode.

use bincode::config::{Configuration, Limit, LittleEndian, Varint, standard};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::Datagram;

/// Longest datagram in bytes, below what any path of the fleet would fragment.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

const WIRE_VERSION: u8 = 1;
const TAG_BYTES: usize = 16;
const HEAD_BYTES: usize = 1 + TAG_BYTES;

/// Largest sum of what a decoded datagram may allocate, in bytes.
const DECODE_LIMIT: usize = 64 * 1_024;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum DatagramError {
    /// It is longer than [`MAX_DATAGRAM_BYTES`].
    #[error("oversize")]
    Oversize,
    /// It ends early, or bytes follow its end.
    #[error("malformed")]
    Malformed,
    /// Another version of the protocol.
    #[error("version {0}")]
    Version(u8),
    /// Its tag doesn't fit the fleet's secret.
    #[error("forged")]
    Forged,
}

/// The secret that all nodes of the fleet share.
///
/// It keeps strangers out; it doesn't hide what is sent. A datagram sent again by a stranger does
/// no harm, since rumors are ordered and answers carry the sequence of their question.
#[derive(Clone)]
pub struct FleetSecret(Hmac<Sha256>);

impl FleetSecret {
    /// Takes any number of bytes.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        // A key of any length is hashed to the length of a block, so that this can't fail.
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

    fn is_genuine(&self, tag: &[u8], bytes: &[u8]) -> bool {
        let mac = self.0.clone().chain_update(bytes);
        mac.verify_truncated_left(tag).is_ok()
    }
}

impl std::fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetSecret")
    }
}

/// Turns datagrams into bytes and back.
#[derive(Clone, Debug)]
pub struct DatagramCodec {
    secret: FleetSecret,
}

impl DatagramCodec {
    /// A codec that signs and checks with `secret`.
    #[must_use]
    pub const fn new(secret: FleetSecret) -> Self {
        Self { secret }
    }

    /// The signed bytes of `datagram`.
    ///
    /// # Errors
    ///
    /// [`DatagramError::Oversize`] when they are more than [`MAX_DATAGRAM_BYTES`].
    pub fn encode(&self, datagram: &Datagram) -> Result<Vec<u8>, DatagramError> {
        let body = bincode::serde::encode_to_vec(datagram, layout())
            .map_err(|_error| DatagramError::Malformed)?;
        if HEAD_BYTES + body.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::Oversize);
        }
        Ok(self.sign(&body))
    }

    /// Any body with the version and a genuine tag in front of it.
    #[must_use]
    pub fn sign(&self, body: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEAD_BYTES + body.len());
        bytes.push(WIRE_VERSION);
        bytes.extend_from_slice(&self.secret.tag(body));
        bytes.extend_from_slice(body);
        bytes
    }

    /// The datagram in `bytes`. Allocates nothing before the tag is checked.
    ///
    /// # Errors
    ///
    /// Tells why the bytes are no datagram of this fleet.
    pub fn decode(&self, bytes: &[u8]) -> Result<Datagram, DatagramError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::Oversize);
        }
        let (version, rest) = bytes.split_first().ok_or(DatagramError::Malformed)?;
        if *version != WIRE_VERSION {
            return Err(DatagramError::Version(*version));
        }
        let (tag, body) = rest
            .split_at_checked(TAG_BYTES)
            .ok_or(DatagramError::Malformed)?;
        if !self.secret.is_genuine(tag, body) {
            return Err(DatagramError::Forged);
        }
        let (datagram, read) = bincode::serde::decode_from_slice(body, layout())
            .map_err(|_error| DatagramError::Malformed)?;
        if read == body.len() {
            Ok(datagram)
        } else {
            Err(DatagramError::Malformed)
        }
    }
}

/// Bytes that `part` takes inside a datagram.
pub(crate) fn encoded_len(part: &impl serde::Serialize) -> usize {
    bincode::serde::encode_to_vec(part, layout()).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
}

const fn layout() -> Configuration<LittleEndian, Varint, Limit<DECODE_LIMIT>> {
    standard().with_limit::<DECODE_LIMIT>()
}
