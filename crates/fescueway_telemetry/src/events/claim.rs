//! Events of idempotency keys, suspect requests and probes: numbers from 4000.

use crate::EventKind;

/// Every event of this area.
pub const ALL: &[&EventKind] = &[];
