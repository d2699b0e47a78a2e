//! Report on the configuration revisions in force in a failure domain, or in a part of it.

use fescueway_core::NodeId;
use serde::{Deserialize, Serialize};

use crate::{
    MessageError,
    config_message::{decode, encode},
};

/// Maximum number of nodes that one report lists.
const MAX_LAGGARDS: usize = 8;

/// The configuration revisions in force at a set of nodes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainReport {
    /// Number of nodes in the report.
    pub nodes: u32,
    /// The lowest revision in force at any of them.
    pub lowest: u64,
    /// The highest revision in force at any of them.
    pub highest: u64,
    /// Nodes below the highest revision, the lowest first; at most eight are listed. Also holds
    /// nodes at the highest revision until [`Self::trimmed`] is called.
    pub laggards: Vec<Laggard>,
    /// When it was written to the store, by the writer's clock, in seconds since 1970. Zero in
    /// messages between nodes.
    pub unix_time_s: u64,
    /// Number of live nodes of the domain that are not in the report.
    pub unheard: u32,
}

/// A node that is below the newest revision.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Laggard {
    /// The revision that it has in force.
    pub revision: u64,
    /// The node.
    pub node: NodeId,
    /// Why it could not apply a newer revision, empty when it reported no error.
    pub fault: String,
}

impl DomainReport {
    /// The report of one node.
    #[must_use]
    pub fn of_node(node: NodeId, revision: u64, fault: &str) -> Self {
        const MAX_FAULT_BYTES: usize = 60;
        let fault = fault.chars().take(MAX_FAULT_BYTES).collect();
        Self {
            nodes: 1,
            lowest: revision,
            highest: revision,
            laggards: vec![Laggard {
                revision,
                node,
                fault,
            }],
            unix_time_s: 0,
            unheard: 0,
        }
    }

    /// Returns the aggregate of this report and `other`.
    #[must_use]
    pub fn merged(mut self, other: &Self) -> Self {
        self.nodes += other.nodes;
        self.lowest = self.lowest.min(other.lowest);
        self.highest = self.highest.max(other.highest);
        self.laggards.extend(other.laggards.iter().cloned());
        self.laggards.sort();
        self.laggards.truncate(MAX_LAGGARDS);
        self
    }

    /// Returns the report without the listed nodes that are neither behind nor have a fault.
    #[must_use]
    pub fn trimmed(mut self) -> Self {
        let highest = self.highest;
        let is_behind = |laggard: &Laggard| laggard.revision < highest || !laggard.fault.is_empty();
        self.laggards.retain(is_behind);
        self
    }

    /// Encodes the report for a message between nodes.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a report.
    ///
    /// # Errors
    /// When the bytes are not a valid report.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, MessageError> {
        decode(bytes)
    }
}
