//! The head, history entry and site index, which identify a configuration in the store.

use std::{collections::BTreeMap, sync::Arc};

use fescueway_config::ServiceDigest;
use fescueway_core::{ConfigMark, ServiceName, SiteName};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use sha2::{Digest, Sha256};

/// The head value, which identifies the newest accepted configuration of all sites.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigHead {
    /// Increases by one with each accepted configuration, by more after the store lost its head.
    /// Never zero.
    pub revision: u64,
    /// The digest of each site's index.
    pub sites: BTreeMap<SiteName, SiteDigest>,
    /// The operator who applied it.
    pub operator: Arc<str>,
    /// Unique identifier of the attempt that wrote it. Shows whether a swap without a reply took
    /// effect.
    pub operation: Arc<str>,
    /// When it was applied, by the clock of the operator's machine, in seconds since 1970. For
    /// display only.
    pub unix_time_s: u64,
    /// The operator's comment on the change.
    pub note: Arc<str>,
}

/// An entry of the history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// The head.
    pub head: ConfigHead,
    /// Store keys that the previous head used and this one doesn't.
    pub replaced: Vec<String>,
}

/// The digest of each service's value at one site.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SiteIndex(pub BTreeMap<ServiceName, ServiceDigest>);

/// SHA-256 of a site's index. Serialized as text of 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SiteDigest(pub [u8; 32]);

impl ConfigHead {
    /// The head as stored, in JSON.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        // The type holds only strings and numbers, which always have a JSON form.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// The mark that identifies this head: its revision and the start of its SHA-256.
    #[must_use]
    pub fn mark(&self) -> ConfigMark {
        let full: [u8; 32] = Sha256::digest(self.to_bytes()).into();
        let mut digest = [0; 8];
        digest.copy_from_slice(&full[..8]);
        ConfigMark {
            revision: self.revision,
            digest,
        }
    }
}

impl SiteIndex {
    /// The index as stored, in JSON.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        let hex = self
            .0
            .iter()
            .map(|(name, digest)| (name.as_str(), digest.to_string()));
        let map: BTreeMap<_, _> = hex.collect();
        serde_json::to_vec(&map).unwrap_or_default()
    }

    /// Parses a stored index. `None` when the bytes are not a valid index.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let map: BTreeMap<ServiceName, String> = serde_json::from_slice(bytes).ok()?;
        let digests = map.into_iter().map(|(name, hex)| {
            let digest = ServiceDigest(from_hex(&hex)?);
            Some((name, digest))
        });
        digests.collect::<Option<_>>().map(Self)
    }

    /// The digest of the index.
    #[must_use]
    pub fn digest(&self) -> SiteDigest {
        SiteDigest(Sha256::digest(self.to_bytes()).into())
    }
}

impl std::fmt::Display for SiteDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl Serialize for SiteDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for SiteDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let hex = String::deserialize(deserializer)?;
        let digest =
            from_hex(&hex).ok_or_else(|| D::Error::custom("expected 64 hexadecimal digits"))?;
        Ok(Self(digest))
    }
}

fn from_hex(hex: &str) -> Option<[u8; 32]> {
    let mut digest = [0; 32];
    let (pairs, rest) = hex.as_bytes().as_chunks::<2>();
    if pairs.len() != digest.len() || !rest.is_empty() {
        return None;
    }
    for (byte, [high, low]) in digest.iter_mut().zip(pairs) {
        let high = char::from(*high).to_digit(16)?;
        let low = char::from(*low).to_digit(16)?;
        *byte = (high * 16 + low) as u8;
    }
    Some(digest)
}
