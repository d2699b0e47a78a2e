//! Events of the path of a request: numbers from 1000.

use crate::EventKind;

/// Every event of this area.
pub const ALL: &[&EventKind] = &[];
