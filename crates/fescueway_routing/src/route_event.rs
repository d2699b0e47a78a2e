//! What the entry tells its router.

use std::time::Duration;

use fescueway_core::{LoadReport, NodeId, Refusal};

/// How an offer ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OfferEnd {
    /// An answer began after this long; `is_failure` tells a 5xx answer of the backend server.
    Answered {
        /// From the offer to the first byte of the answer.
        latency: Duration,
        /// Whether the backend server answered that it failed.
        is_failure: bool,
    },
    /// The host refused; the request did not run.
    Refused(Refusal),
    /// The host node could not be reached, or went away before it answered.
    Lost,
    /// The caller went away, or another offer answered first.
    Cancelled,
}

/// What the entry tells its router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouteEvent {
    /// An offer to `node` ended. Exactly one for each permit.
    OfferEnded {
        /// The host node that had the offer.
        node: NodeId,
        /// How it ended.
        end: OfferEnd,
    },
    /// An answer began to a request of this kind.
    AnswerSized {
        /// The request's [`fescueway_core::RequestTerms::work_kind`].
        work_kind: u64,
        /// Bytes of both bodies.
        bytes: u64,
    },
    /// A load report of `node` arrived.
    LoadReported {
        /// The host node that sent it.
        node: NodeId,
        /// Its load.
        report: LoadReport,
    },
}

/// Whether a target gets work, when an event changed that.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EjectionChange {
    /// It gets none for a while.
    Ejected,
    /// It may get work again.
    Restored,
}
