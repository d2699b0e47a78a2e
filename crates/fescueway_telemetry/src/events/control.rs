//! Events of membership, configuration and the store: numbers from 2000.

use crate::EventKind;

/// Every event of this area.
pub const ALL: &[&EventKind] = &[];
