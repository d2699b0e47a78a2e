//! What is in force in a failure domain, or in a part of it.

use fescueway_core::NodeId;
use serde::{Deserialize, Serialize};

use crate::{
    MessageError,
    config_message::{decode, encode},
};

/// Nodes that one report names.
const MAX_LAGGARDS: usize = 8;

/// What is in force at some nodes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainReport {
    /// Nodes that it sums up.
    pub nodes: u32,
    /// The lowest revision in force at any of them.
    pub lowest: u64,
    /// The highest revision in force at any of them.
    pub highest: u64,
    /// Nodes below the highest revision, the lowest first; at most eight are named.
    pub laggards: Vec<Laggard>,
    /// When it was written by the writer's clock, in seconds since 1970; zero between nodes.
    pub unix_time_s: u64,
    /// Live nodes of the domain that it doesn't sum up.
    pub unheard: u32,
}

/// A node that is behind.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Laggard {
    /// What it has in force.
    pub revision: u64,
    /// The node.
    pub node: NodeId,
    /// Why it can't apply the newer one, empty when it just hasn't.
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

    /// Adds what `other` sums up.
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

    /// The report without those who aren't behind.
    #[must_use]
    pub fn trimmed(mut self) -> Self {
        let highest = self.highest;
        let is_behind = |laggard: &Laggard| laggard.revision < highest || !laggard.fault.is_empty();
        self.laggards.retain(is_behind);
        self
    }

    /// The report as bytes of a note between nodes.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(self)
    }

    /// Reads a report.
    ///
    /// # Errors
    /// When the bytes are none.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, MessageError> {
        decode(bytes)
    }
}
