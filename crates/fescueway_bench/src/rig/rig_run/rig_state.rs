//! What a run keeps of requests, offers and replies.

use fescueway_core::{LoadReport, NodeId, Refusal};
use fescueway_routing::OfferPermit;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RequestEnd {
    /// Answered, at this time at the caller in microseconds.
    Answered(u64),
    /// Refused: not run.
    Refused,
    /// Failed, or its outcome is unknown.
    Failed,
    /// Its entry is gone.
    EntryLost,
}

/// What became of one request.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestState {
    /// How it ended.
    pub(super) end: Option<RequestEnd>,
    /// Targets that had an offer.
    pub(super) tried: Vec<NodeId>,
    /// Indices of its open offers.
    pub(super) open: Vec<usize>,
    /// Times it began to run.
    pub(super) runs: u32,
}

/// One offer.
#[derive(Debug)]
pub(super) struct RigOffer {
    /// Index of its request.
    pub(super) request: usize,
    /// Index of its target.
    pub(super) target: usize,
    /// When it was sent, in microseconds.
    pub(super) sent_us: u64,
    /// The right to offer, for fescueway.
    pub(super) permit: Option<OfferPermit>,
}

/// A host's word on an offer.
#[derive(Clone, Copy, Debug)]
pub(super) struct RigReply {
    /// Index of the offer.
    pub(super) offer: usize,
    /// What happened.
    pub(super) kind: ReplyKind,
    /// The target's load as the host sent the reply.
    pub(super) report: Option<LoadReport>,
}

/// What a host says.
#[derive(Clone, Copy, Debug)]
pub(super) enum ReplyKind {
    /// The backend server answered.
    Answered,
    /// The backend server answered with a failure.
    Failed,
    /// The host refused.
    Refused(Refusal),
    /// The host is gone.
    Lost,
}
