//! Errors of the store client.

use std::net::SocketAddr;

/// The call at which an error arose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreCallKind {
    /// Reading keys.
    Range,
    /// Running a transaction.
    Txn,
    /// Granting, keeping or revoking a lease.
    Lease,
    /// Opening or following a watch.
    Watch,
}

impl StoreCallKind {
    /// Every kind of call, in the order of its number.
    pub const ALL: [Self; 4] = [Self::Range, Self::Txn, Self::Lease, Self::Watch];

    /// The kind as it stands in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Range => "range",
            Self::Txn => "txn",
            Self::Lease => "lease",
            Self::Watch => "watch",
        }
    }
}

/// What went wrong.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StoreFault {
    /// No connection could be opened; nothing was sent.
    #[error("no connection: {0}")]
    Unreachable(String),
    /// The answer was lost or late; a write may have taken effect.
    #[error("answer lost: {0}")]
    AnswerLost(String),
    /// The store refused because it is asked too often.
    #[error("the store limits its callers")]
    RateLimited,
    /// The watch asked for a revision that the store no longer holds.
    #[error("revisions before {0} are compacted")]
    Compacted(i64),
    /// The lease has lapsed or never was.
    #[error("the lease has lapsed")]
    LeaseExpired,
    /// The store refused or its answer made no sense.
    #[error("unexpected answer: {0}")]
    Unexpected(String),
}

/// An error of the store client, with the step and the peer at which it arose.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("store {peer}, step {kind:?}: {fault}")]
pub struct StoreError {
    /// The call.
    pub kind: StoreCallKind,
    /// The store's address.
    pub peer: SocketAddr,
    /// What went wrong.
    pub fault: StoreFault,
}

impl StoreError {
    /// Whether a lease has lapsed. The store itself is well then.
    #[must_use]
    pub const fn is_lease_expired(&self) -> bool {
        matches!(self.fault, StoreFault::LeaseExpired)
    }

    /// Whether a write may have taken effect although no answer came.
    #[must_use]
    pub fn is_effect_unknown(&self) -> bool {
        matches!(self.fault, StoreFault::AnswerLost(_))
    }
}
