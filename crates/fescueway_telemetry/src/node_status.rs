//! What a node tells operators about itself, as JSON over HTTP.

use fescueway_core::{DomainName, LoadReport, SiteName, TargetRecord};
use serde::{Deserialize, Serialize};

/// Whether a node reaches the platform's store.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoreState {
    /// The node has no store in its settings.
    #[default]
    None,
    /// The last call was answered.
    Reachable,
    /// The last call was not answered; the node serves on with what it has.
    Unreachable,
}

impl StoreState {
    /// The state as a word.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Reachable => "reachable",
            Self::Unreachable => "unreachable",
        }
    }
}

/// The answer to `GET /status`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeStatus {
    /// The node's identity in hexadecimal.
    pub node: String,
    /// The failure domain of its VM.
    pub domain: DomainName,
    /// Its site.
    pub site: SiteName,
    /// The highest revision of the configuration that it has heard of, 0 before the first.
    pub revision: u64,
    /// The revision that it runs. Below `revision` while it fetches, or when it can't apply it.
    pub in_force: u64,
    /// Why it can't apply the highest revision, if so.
    #[serde(default)]
    pub config_error: Option<String>,
    /// Whether the targets beside it take no new work.
    #[serde(default)]
    pub is_draining: bool,
    /// Requests that run at the targets beside it.
    #[serde(default)]
    pub in_flight: u32,
    /// Targets that it knows.
    pub targets: u32,
    /// Whether it reaches the store.
    pub store: StoreState,
    /// Other nodes that it knows to be up.
    pub peers: u32,
    /// Time since it started, in milliseconds.
    pub uptime_ms: u64,
    /// Partitions of the services beside the node whose idempotency keys can't be claimed there
    /// now. Nodes of earlier versions don't tell.
    #[serde(default)]
    pub unsettled_partitions: u32,
}

/// One target as a node sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetStatus {
    /// Its site. A node sends requests to targets of its own site only.
    pub site: SiteName,
    /// The target.
    #[serde(flatten)]
    pub record: TargetRecord,
    /// Its last load report, if one has arrived.
    #[serde(default)]
    pub load: Option<LoadReport>,
}

/// The answer to `GET /targets`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TargetList {
    /// The targets, by service and node.
    pub targets: Vec<TargetStatus>,
}
