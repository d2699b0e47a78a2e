//! State of requests, offers and replies in a run.

use fescueway_core::{LoadReport, NodeId, Refusal};
use fescueway_routing::OfferPermit;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RequestEnd {
    /// The answer reached the caller at this time in microseconds.
    Answered(u64),
    /// Refused without having run.
    Refused,
    /// Failed, or its outcome is unknown.
    Failed,
    /// The entry was lost with its failure domain.
    EntryLost,
}

/// State of one request.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestState {
    /// How the request ended, `None` while it is open.
    pub(super) end: Option<RequestEnd>,
    /// Targets that received an offer.
    pub(super) tried: Vec<NodeId>,
    /// Indices of its open offers.
    pub(super) open: Vec<usize>,
    /// Number of times it began to run.
    pub(super) runs: u32,
}

/// One offer.
#[derive(Debug)]
pub(super) struct SimOffer {
    /// Index of its request.
    pub(super) request: usize,
    /// Index of its target.
    pub(super) target: usize,
    /// Time at which it was sent, in microseconds.
    pub(super) sent_us: u64,
    /// Permit of fescueway's router; `None` under a simple policy.
    pub(super) permit: Option<OfferPermit>,
}

/// A host's reply to an offer.
#[derive(Clone, Copy, Debug)]
pub(super) struct SimReply {
    /// Index of the offer.
    pub(super) offer: usize,
    /// Outcome of the offer.
    pub(super) kind: ReplyKind,
    /// Load of the target when the host sent the reply.
    pub(super) report: Option<LoadReport>,
}

/// Outcome of an offer.
#[derive(Clone, Copy, Debug)]
pub(super) enum ReplyKind {
    /// The backend server answered.
    Answered,
    /// The backend server answered with a failure.
    Failed,
    /// The host refused.
    Refused(Refusal),
    /// The host is lost.
    Lost,
}
