//! Events of settings, start and stop: numbers from 3000.

use crate::EventKind;

/// Every event of this area.
pub const ALL: &[&EventKind] = &[];
