//! Errors of the store client.

use std::net::SocketAddr;

/// A kind of call to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreCallKind {
    /// Reading keys.
    Range,
    /// Running a transaction.
    Txn,
    /// Granting, renewing or revoking a lease.
    Lease,
    /// Opening or following a watch.
    Watch,
}

impl StoreCallKind {
    /// All kinds, in the order of their discriminants.
    pub const ALL: [Self; 4] = [Self::Range, Self::Txn, Self::Lease, Self::Watch];

    /// Name of the kind in metrics.
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

/// Reason why a call failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StoreFault {
    /// No connection could be opened, or the store reports that it did nothing; a write had no
    /// effect.
    #[error("no connection: {0}")]
    Unreachable(String),
    /// The answer was lost or came too late; a write may have taken effect.
    #[error("answer lost: {0}")]
    AnswerLost(String),
    /// The store refused the call because of its rate limit.
    #[error("rate limit of the store exceeded")]
    RateLimited,
    /// The watch asked for a revision that the store no longer holds.
    #[error("revisions before {0} are compacted")]
    Compacted(i64),
    /// The store came back from an older copy since the call's revisions or lease were given out, or
    /// while it was made; a write may have taken effect.
    #[error("the store came back from an older copy")]
    Restored,
    /// The lease has expired or never existed.
    #[error("the lease has expired")]
    LeaseExpired,
    /// The store refused the call, its answer is invalid, or the protocol cannot express the call.
    #[error("unexpected answer: {0}")]
    Unexpected(String),
}

/// A failed call to the store.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("store {peer}, step {kind:?}: {fault}")]
pub struct StoreError {
    /// The kind of call.
    pub kind: StoreCallKind,
    /// Address of the store member that was called.
    pub peer: SocketAddr,
    /// Reason of the failure.
    pub fault: StoreFault,
}

impl StoreError {
    /// Whether the lease has expired. The store itself is healthy then.
    #[must_use]
    pub const fn is_lease_expired(&self) -> bool {
        matches!(self.fault, StoreFault::LeaseExpired)
    }

    /// Whether the store came back from an older copy. It is healthy then.
    #[must_use]
    pub const fn is_restored(&self) -> bool {
        matches!(self.fault, StoreFault::Restored)
    }

    /// Whether a write may have taken effect although it was not confirmed.
    #[must_use]
    pub const fn is_effect_unknown(&self) -> bool {
        matches!(self.fault, StoreFault::AnswerLost(_) | StoreFault::Restored)
    }
}
