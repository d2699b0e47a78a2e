//! The name of an accepted configuration.

use serde::{Deserialize, Serialize};

/// Names an accepted configuration. Two of one revision differ in their digest.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ConfigMark {
    /// Grows with each accepted configuration; zero before the first.
    pub revision: u64,
    /// Start of the digest of the head value.
    pub digest: [u8; 8],
}
