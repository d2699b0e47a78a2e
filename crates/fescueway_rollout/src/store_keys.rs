//! Keys in the platform's store.

use std::net::SocketAddr;

use fescueway_config::ServiceDigest;
use fescueway_core::DomainName;

use crate::SiteDigest;

/// Key of the head.
pub const HEAD: &str = "/fescueway/config/head";

/// Prefix of the history entries.
pub const HISTORY: &str = "/fescueway/config/history/";

/// Prefix of the lists of keys that attempts write before their swap.
pub const PENDING: &str = "/fescueway/config/pending/";

/// Prefix of the failure domains' reports on the revisions in force.
pub const IN_FORCE: &str = "/fescueway/in-force/";

/// Prefix of the keys that watchers hold leases on.
pub const WATCHERS: &str = "/fescueway/watchers/";

/// Prefix of the addresses of seed nodes, through which other nodes join.
pub const SEEDS: &str = "/fescueway/seeds/";

/// Key of a site's index.
#[must_use]
pub fn index(digest: &SiteDigest) -> String {
    format!("/fescueway/config/index/{digest}")
}

/// Key of a service's value.
#[must_use]
pub fn value(digest: &ServiceDigest) -> String {
    format!("/fescueway/config/value/{digest}")
}

/// Key of a revision's history entry. The keys sort in the order of the revisions.
#[must_use]
pub fn history(revision: u64) -> String {
    format!("{HISTORY}{revision:020}")
}

/// Key of the list of keys that an attempt writes before its swap.
#[must_use]
pub fn pending(operation: &str) -> String {
    format!("{PENDING}{operation}")
}

/// Key of a failure domain's report.
#[must_use]
pub fn in_force(domain: &DomainName) -> String {
    format!("{IN_FORCE}{domain}")
}

/// Key of a failure domain's watcher, which holds a lease on it.
#[must_use]
pub fn watcher(domain: &DomainName, slot: usize) -> String {
    format!("{WATCHERS}{domain}/{slot}")
}

/// Key of a seed node of a failure domain.
#[must_use]
pub fn seed(domain: &DomainName, address: SocketAddr) -> String {
    format!("{SEEDS}{domain}/{address}")
}
