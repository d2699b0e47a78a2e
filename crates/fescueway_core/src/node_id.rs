//! The identity of one fescueway process.

use std::fmt::{Display, Formatter, Result};

use serde::{Deserialize, Serialize};

/// The identity of one run of one fescueway process, drawn at random when it starts.
///
/// A process that replaces another on the same address has a new identity, so that state kept about
/// its predecessor is never applied to it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct NodeId(pub u64);

impl Display for NodeId {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(f, "{:016x}", self.0)
    }
}
