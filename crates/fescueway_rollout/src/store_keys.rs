//! Keys of the platform's store.

use std::net::SocketAddr;

use fescueway_config::ServiceDigest;
use fescueway_core::DomainName;

use crate::SiteDigest;

/// The head value.
pub const HEAD: &str = "/fescueway/config/head";

/// Prefix of the history's entries.
pub const HISTORY: &str = "/fescueway/config/history/";

/// Prefix of what attempts write ahead of their swap.
pub const PENDING: &str = "/fescueway/config/pending/";

/// Prefix of the reports on what is in force.
pub const IN_FORCE: &str = "/fescueway/in-force/";

/// Prefix of the watchers' leases.
pub const WATCHERS: &str = "/fescueway/watchers/";

/// Prefix of the addresses of nodes that others join through.
pub const SEEDS: &str = "/fescueway/seeds/";

/// The index of a site.
#[must_use]
pub fn index(digest: &SiteDigest) -> String {
    format!("/fescueway/config/index/{digest}")
}

/// The value of a service.
#[must_use]
pub fn value(digest: &ServiceDigest) -> String {
    format!("/fescueway/config/value/{digest}")
}

/// The entry of the history for a revision. Keys sort as revisions do.
#[must_use]
pub fn history(revision: u64) -> String {
    format!("{HISTORY}{revision:020}")
}

/// The names of what an attempt wrote ahead of its swap.
#[must_use]
pub fn pending(operation: &str) -> String {
    format!("{PENDING}{operation}")
}

/// The report of a failure domain.
#[must_use]
pub fn in_force(domain: &DomainName) -> String {
    format!("{IN_FORCE}{domain}")
}

/// The lease of a watcher of a failure domain.
#[must_use]
pub fn watcher(domain: &DomainName, slot: usize) -> String {
    format!("{WATCHERS}{domain}/{slot}")
}

/// The address of a node of a failure domain that others join through.
#[must_use]
pub fn seed(domain: &DomainName, address: SocketAddr) -> String {
    format!("{SEEDS}{domain}/{address}")
}
