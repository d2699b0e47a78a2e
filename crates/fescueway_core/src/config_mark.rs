//! The identity of an accepted configuration.

use serde::{Deserialize, Serialize};

/// Identifies an accepted configuration. Different configurations with the same revision have
/// different digests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ConfigMark {
    /// Increases with each accepted configuration; zero before the first.
    pub revision: u64,
    /// First bytes of the digest of the configuration head.
    pub digest: [u8; 8],
}
