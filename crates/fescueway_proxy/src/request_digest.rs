//! Digests that identify a request: of its idempotency key, and of its content.

use fescueway_core::{AccountName, KeyDigest, ServiceName, fnv1a_64};
use http::{HeaderMap, HeaderName, Method};
use sha2::{Digest, Sha256};

/// Identifies a non-idempotent request, so that its caller can retry it
/// (draft-ietf-httpapi-idempotency-key-header).
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Number of bytes of the body's start that the fingerprint covers.
const FINGERPRINT_BYTES: usize = 1_024;

/// The digest of a request's idempotency key, if it has one. Several field lines count as one
/// key. Accounts have keys of their own, so that none is told of another one's requests.
pub fn key_digest(
    service: &ServiceName,
    account: Option<&AccountName>,
    headers: &HeaderMap,
) -> Option<KeyDigest> {
    let mut lines = headers.get_all(IDEMPOTENCY_KEY).iter().peekable();
    lines.peek()?;
    let mut digest = Sha256::new();
    digest.update(service.as_str());
    if let Some(account) = account {
        digest.update([1]);
        digest.update(account.as_str());
    }
    for line in lines {
        digest.update([0]);
        digest.update(line.as_bytes());
    }
    let bytes = digest.finalize();
    let mut key = [0; 16];
    key.copy_from_slice(&bytes[..16]);
    Some(KeyDigest(key))
}

/// The fingerprint of a request: of its method, its path and query, and the start of its body.
pub fn fingerprint(method: &Method, target: &str, body: &[u8]) -> u64 {
    let start = &body[..body.len().min(FINGERPRINT_BYTES)];
    let parts = [method.as_str().as_bytes(), target.as_bytes(), start];
    fnv1a_64(parts.into_iter().flat_map(|part| part.iter().chain(&[0])))
}
