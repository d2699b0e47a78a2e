//! What a backend server states about itself in its answers.

use serde::{Deserialize, Serialize};

use crate::RateLimit;

/// What an answer of a backend server was sent in reply to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatementSource {
    /// A request of a caller.
    Request,
    /// A query of the host node for health or load.
    Query,
}

/// Identifies one start of a backend server.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerStart {
    /// Digest of the name that the backend server announced, which it may keep over a restart. Zero
    /// without a name.
    pub name_digest: u64,
    /// When it started, in milliseconds of its VM's wall clock. Zero if unknown.
    pub born_ms: u64,
}

/// What a backend server last stated about itself, as its host node knows it.
///
/// A host sends it with each load report, and entries send it back with their offers: a host that
/// was restarted since doesn't know it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerNotice {
    /// The backend server that stated it.
    pub server: ServerStart,
    /// Requests per second that it accepts from all nodes together, `None` without a limit.
    pub rate_limit: Option<RateLimit>,
    /// Whether it is leaving. It accepts no new requests and can't revoke this.
    pub is_leaving: bool,
}

impl ServerNotice {
    /// Whether it restricts the requests that the backend server gets.
    #[must_use]
    pub const fn is_restrictive(&self) -> bool {
        self.is_leaving || self.rate_limit.is_some()
    }
}

impl ServerStart {
    /// Whether the backend server announced a name.
    #[must_use]
    pub const fn is_named(self) -> bool {
        self.name_digest != 0
    }

    /// Whether both are the same start of the same named backend server. An unknown start time
    /// matches any.
    ///
    /// ```
    /// # use fescueway_core::ServerStart;
    /// let first = ServerStart { name_digest: 7, born_ms: 1_000 };
    /// assert!(first.is_same(ServerStart { born_ms: 0, ..first }));
    /// assert!(!first.is_same(ServerStart { born_ms: 2_000, ..first }));
    /// assert!(!ServerStart::default().is_same(ServerStart::default()));
    /// ```
    #[must_use]
    pub const fn is_same(self, other: Self) -> bool {
        let is_same_name = self.is_named() && self.name_digest == other.name_digest;
        let is_same_birth =
            self.born_ms == other.born_ms || self.born_ms == 0 || other.born_ms == 0;
        is_same_name && is_same_birth
    }
}
