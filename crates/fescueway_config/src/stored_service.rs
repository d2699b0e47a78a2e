//! The form of a service in the platform's store, and its digest.

use std::{
    fmt::{Display, Formatter, Result as FormatResult},
    sync::Arc,
};

use fescueway_core::ServiceName;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{FieldFault, RawService, ServicePlan, document};

/// A service with its name, before validation. Its JSON is the value in the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub struct StoredService {
    /// The name.
    pub name: String,
    /// The service's configuration.
    pub plan: RawService,
}

/// SHA-256 of a service's canonical form.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ServiceDigest(pub [u8; 32]);

/// The canonical form of a service. Equal plans have equal bytes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceValue {
    /// JSON of a [`StoredService`] with every default filled in.
    pub bytes: Arc<[u8]>,
    /// Digest of the bytes.
    pub digest: ServiceDigest,
}

impl ServiceDigest {
    /// The digest of `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }
}

impl Display for ServiceDigest {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl From<&ServicePlan> for ServiceValue {
    fn from(plan: &ServicePlan) -> Self {
        let stored = StoredService {
            name: plan.name.as_str().to_owned(),
            plan: RawService::from(plan),
        };
        // The type holds only strings, numbers and lists of them, which always have a JSON form.
        let bytes = serde_json::to_vec(&stored).unwrap_or_default();
        Self {
            digest: ServiceDigest::of(&bytes),
            bytes: bytes.into(),
        }
    }
}

impl TryFrom<&[u8]> for ServicePlan {
    type Error = FieldFault;

    /// Parses and validates a service in its canonical form.
    fn try_from(bytes: &[u8]) -> Result<Self, FieldFault> {
        let value = serde_json::from_slice(bytes).map_err(|error| {
            FieldFault::new("", format!("text that is not JSON ({error})"), "JSON")
        })?;
        let stored: StoredService = document::decode_value(&value)?;
        Self::try_from(stored)
    }
}

/// Validates the name of a service, site or route.
pub(crate) fn checked_name(path: String, name: &str) -> Result<ServiceName, FieldFault> {
    let is_allowed_byte =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let is_name = name.len() <= MAX_NAME_BYTES
        && name.starts_with(|letter: char| letter.is_ascii_lowercase())
        && name.bytes().all(is_allowed_byte);
    if is_name {
        return Ok(ServiceName::new(name));
    }
    let allowed = format!(
        "a letter and up to {} of a-z, 0-9 and -",
        MAX_NAME_BYTES - 1
    );
    Err(FieldFault::new(path, format!("the name {name:?}"), allowed))
}

/// Maximum length of the name of a service, a site or a route, in bytes. The limit of a label in
/// RFC 1123.
const MAX_NAME_BYTES: usize = 63;
