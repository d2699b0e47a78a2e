//! Adapts a node to an installation: the protocols of its store, its callers and its backend
//! servers.

use std::sync::Arc;

use fescueway_admission::BackendReport;
use fescueway_config::SitePlan;
use fescueway_core::SiteName;
use fescueway_platform::{ETCD_MAPPING, StoreMapping};
use fescueway_proxy::{BackendAnnouncement, EdgeProfile};

use crate::local_http::LocalRequest;

/// Parses a configuration document for a site.
pub type DocumentReader = fn(&SiteName, &[u8]) -> Result<PlanDocument, String>;

/// Parses a call of a backend server.
pub type CallReader = fn(&LocalRequest) -> Result<BackendCall, CallError>;

/// Adapts a node to an installation. The default uses etcd as the store, and fescueway's own header
/// fields, configuration and announcements.
#[derive(Clone, Debug)]
pub struct NodeAdapter {
    /// The store's protocol.
    pub store_mapping: StoreMapping,
    /// Header fields used with callers and backend servers.
    pub profile: EdgeProfile,
    /// The source of the configuration; `None` for fescueway's own revisions.
    pub document: Option<DocumentSource>,
    /// Parses calls of backend servers to paths other than fescueway's own.
    pub read_call: Option<CallReader>,
}

/// A configuration that is stored as a single document.
#[derive(Clone, Debug)]
pub struct DocumentSource {
    /// Its key.
    pub key: Arc<str>,
    /// Prefix of the keys that operators put to evacuate a failure domain, whose name follows.
    pub evacuation_prefix: Arc<str>,
    /// The optional interface of the installation that enables evacuations.
    pub evacuation_interface: Arc<str>,
    /// The optional interface of the installation that enables client accounts. Where it is used, or
    /// keys need a proof, no key is valid under a document that states no accounts.
    pub account_interface: Arc<str>,
    /// A prefix of both keys, which is read and watched where evacuations are enabled.
    pub prefix: Arc<str>,
    /// Parses the document.
    pub read: DocumentReader,
}

/// A configuration document that was read and checked.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanDocument {
    /// Its version. A higher one replaces a lower one.
    pub version: u64,
    /// The configuration of the site.
    pub plan: SitePlan,
}

/// A call of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendCall {
    /// The backend server reports its state.
    Report(BackendReport, BackendAnnouncement),
    /// A backend server has left.
    Leave {
        /// Its identity.
        identity: String,
        /// When it started, in milliseconds of its VM's wall clock; `None` if it doesn't tell.
        born_ms: Option<u64>,
    },
}

/// Why a call of a backend server is rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallError {
    /// The path is none of the installation's.
    OtherPath,
    /// The call can't be parsed; holds the reason.
    Unreadable(String),
}

impl Default for NodeAdapter {
    fn default() -> Self {
        Self {
            store_mapping: ETCD_MAPPING,
            profile: EdgeProfile::default(),
            document: None,
            read_call: None,
        }
    }
}
