//! Status of a node for operators, as JSON over HTTP.

use fescueway_core::{DomainName, LoadReport, ServiceName, SiteName, TargetRecord};
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
    /// The last call was not answered; the node continues with its current state.
    Unreachable,
}

impl StoreState {
    /// The serialized name of the state.
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
    /// The highest revision of the configuration that it has heard of; 0 before the first.
    pub revision: u64,
    /// The revision in force. Below `revision` while the node fetches that one or can't apply it.
    pub in_force: u64,
    /// Why it can't apply the highest revision; `None` if it can.
    #[serde(default)]
    pub config_error: Option<String>,
    /// Whether the targets beside it take no new work.
    #[serde(default)]
    pub is_draining: bool,
    /// Requests that run at the targets beside it.
    #[serde(default)]
    pub in_flight: u32,
    /// Number of targets that it knows.
    pub targets: u32,
    /// Age of the proof that its configuration is the latest one, in milliseconds; `None` if it has none.
    #[serde(default)]
    pub key_proof_age_ms: Option<u64>,
    /// Whether it reaches the store.
    pub store: StoreState,
    /// Number of other nodes that it knows to be up.
    pub peers: u32,
    /// Time since it started, in milliseconds.
    pub uptime_ms: u64,
    /// Number of partitions of the services beside the node whose idempotency keys can't be claimed
    /// there now. Nodes of earlier versions don't report it.
    #[serde(default)]
    pub unsettled_partitions: u32,
    /// The targets beside the node that are cold, as far as it knows.
    #[serde(default)]
    pub cold_targets: Vec<ColdTarget>,
    /// The failure domains that it knows to be evacuated.
    #[serde(default)]
    pub evacuated: Vec<DomainName>,
}

/// A target that is cold. Its host paces its requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ColdTarget {
    /// The service.
    pub service: ServiceName,
    /// Time until it is warm, in milliseconds.
    pub left_ms: u64,
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
