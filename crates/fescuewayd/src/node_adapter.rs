//! What an installation adds to a node: the dialects of its store, its callers and its backend
//! servers.

use std::sync::Arc;

use fescueway_admission::BackendReport;
use fescueway_config::SitePlan;
use fescueway_core::SiteName;
use fescueway_platform::{ETCD_MAPPING, StoreMapping};
use fescueway_proxy::{BackendAnnouncement, EdgeProfile};

use crate::local_http::LocalRequest;

/// Reads a configuration document for a site.
pub type DocumentReader = fn(&SiteName, &[u8]) -> Result<PlanDocument, String>;

/// Reads a call of a backend server.
pub type CallReader = fn(&LocalRequest) -> Result<BackendCall, CallError>;

/// What an installation adds to a node. The default adds nothing: etcd's store, the product's own
/// header fields, its own configuration and its own announcements.
#[derive(Clone, Debug)]
pub struct NodeAdapter {
    /// The store's protocol.
    pub store_mapping: StoreMapping,
    /// Header fields at both edges.
    pub profile: EdgeProfile,
    /// Where the configuration lies; `None` for the product's own revisions.
    pub document: Option<DocumentSource>,
    /// Reads what backend servers call besides the product's own paths.
    pub read_call: Option<CallReader>,
}

/// A configuration that lies as one document in the store.
#[derive(Clone, Debug)]
pub struct DocumentSource {
    /// Its key.
    pub key: Arc<str>,
    /// Reads it.
    pub read: DocumentReader,
}

/// A configuration document that was read and checked.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanDocument {
    /// Its version. A higher one replaces a lower one.
    pub version: u64,
    /// What it says.
    pub plan: SitePlan,
}

/// What a backend server calls for.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendCall {
    /// It reports its state.
    Report(BackendReport, BackendAnnouncement),
    /// The one with this identity is gone.
    Leave(String),
}

/// Why a call of a backend server is not taken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallError {
    /// It is none of the installation's calls.
    OtherPath,
    /// It can't be read.
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
