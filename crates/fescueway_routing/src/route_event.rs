//! Events that the entry passes to its router.

use std::time::Duration;

use fescueway_core::{LoadReport, NodeId, Refusal};

/// How an offer ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OfferEnd {
    /// The first byte of an answer arrived.
    Answered {
        /// Time from the offer to the first byte of the answer.
        latency: Duration,
        /// Whether the backend server answered with a 5xx status.
        is_failure: bool,
    },
    /// The host refused; the request did not run.
    Refused(Refusal),
    /// The host node could not be reached, or disconnected before it answered.
    Lost,
    /// The caller disconnected, or another offer was answered first.
    Cancelled,
}

/// An event that the entry passes to its router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouteEvent {
    /// An offer to `node` ended. Sent exactly once per permit.
    OfferEnded {
        /// The host node that the offer went to.
        node: NodeId,
        /// How it ended.
        end: OfferEnd,
    },
    /// The body sizes of a request of this kind became known.
    AnswerSized {
        /// The request's [`fescueway_core::RequestTerms::work_kind`].
        work_kind: u64,
        /// Bytes of the request and response bodies together.
        bytes: u64,
    },
    /// The latency of an offer other than a hedge became known, at least as a lower bound.
    LatencyObserved {
        /// The request's [`fescueway_core::RequestTerms::work_kind`].
        work_kind: u64,
        /// Time from the offer to its answer, or to the answer of its hedge.
        latency: Duration,
    },
    /// A load report of `node` arrived.
    LoadReported {
        /// The host node that sent it.
        node: NodeId,
        /// Its load.
        report: LoadReport,
    },
}

/// A change in whether a target is ejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EjectionChange {
    /// The target gets no requests for a while.
    Ejected,
    /// The target may get requests again.
    Restored,
}
