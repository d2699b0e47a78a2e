//! Nodes, requests and offers of a run.

use std::time::Duration;

use fescueway_admission::TargetGate;
use fescueway_core::{LoadReport, NodeId, Refusal};
use fescueway_routing::OfferPermit;

/// One node and the backend server beside it.
#[derive(Debug)]
pub(super) struct MeshNode {
    /// Index of the service of its target.
    pub(super) service: usize,
    /// Index of its failure domain.
    pub(super) domain: usize,
    /// Admission gate of its target.
    pub(super) gate: TargetGate,
    /// Effect of neighbouring VMs on the duration of work that starts now.
    pub(super) pace: f64,
    /// Until when its backend server is cold.
    pub(super) cold_until_us: u64,
    /// Requests that run at its backend server.
    pub(super) running: u32,
    /// Until when its slots are accounted for, in microseconds.
    pub(super) accounted_us: u64,
    /// Whether its backend server never answers again.
    pub(super) is_silent: bool,
    /// Whether a load query is on its way.
    pub(super) is_query_pending: bool,
}

/// Duration of work at a cold backend server, as a multiple of its normal duration.
const COLD_PACE: f64 = 2.0;

impl MeshNode {
    /// Duration of work that starts now, as a multiple of its normal duration. Backend servers tell
    /// it with each answer.
    pub(super) fn current_pace(&self, now_us: u64) -> f64 {
        if now_us < self.cold_until_us {
            COLD_PACE * self.pace
        } else {
            self.pace
        }
    }
}

/// How a request ended at its entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RequestEnd {
    /// The answer reached the caller at this time in microseconds.
    Answered(u64),
    /// Refused without having run.
    Refused(Refusal),
    /// Its entry could not be connected to.
    Unconnected,
    /// Failed, or its outcome is unknown.
    Failed,
}

/// One try of a request by a caller, or a nested call.
#[derive(Clone, Debug)]
pub(super) struct MeshRequest {
    /// Index of its kind.
    pub(super) kind: usize,
    /// Index of its entry.
    pub(super) entry: usize,
    /// The offer whose run made this call.
    pub(super) parent: Option<usize>,
    /// When its caller asked first, in microseconds.
    pub(super) first_us: u64,
    /// When this try was sent, in microseconds.
    pub(super) sent_us: u64,
    /// When its caller stops waiting, in microseconds.
    pub(super) deadline_us: u64,
    /// Until when an answer meets the objective, as its entry estimates it, in microseconds.
    pub(super) objective_us: u64,
    /// Tries that its caller made before.
    pub(super) tries: u8,
    /// Whether no other try follows.
    pub(super) is_last: bool,
    /// Hosts that received an offer.
    pub(super) tried: Vec<NodeId>,
    /// Backend servers that may still get it.
    pub(super) runs_left: u8,
    /// Runs that began.
    pub(super) runs: u32,
    /// Arrivals at backend servers.
    pub(super) arrivals: u32,
    /// Whether it is a call of a run that was itself a repeat.
    pub(super) is_repeat: bool,
    /// The last refusal by a host.
    pub(super) refusal: Option<Refusal>,
    /// The offer in flight.
    pub(super) open: Option<usize>,
    /// How it ended.
    pub(super) end: Option<RequestEnd>,
}

/// One offer.
#[derive(Debug)]
pub(super) struct MeshOffer {
    /// Index of its request.
    pub(super) request: usize,
    /// Index of its target.
    pub(super) target: usize,
    /// Number of losses of all nodes before it was sent.
    pub(super) epoch: u32,
    /// When it was sent, in microseconds.
    pub(super) sent_us: u64,
    /// Permit of the router; `None` once it is used.
    pub(super) permit: Option<OfferPermit>,
    /// When its run began, in microseconds.
    pub(super) started_us: u64,
    /// State of its run.
    pub(super) run: RunState,
}

/// State of one run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RunState {
    /// The run has not begun.
    Waiting,
    /// The first half of its work.
    FirstHalf {
        /// Duration of the second half, in microseconds.
        rest_us: u64,
    },
    /// Its nested calls are open.
    Calling {
        /// Duration of the second half, in microseconds.
        rest_us: u64,
        /// Number of open calls.
        open: usize,
    },
    /// The second half of its work.
    SecondHalf,
    /// The run has ended, or never began.
    Ended,
}

/// A host's reply to an offer.
#[derive(Clone, Copy, Debug)]
pub(super) struct MeshReply {
    /// Index of the offer.
    pub(super) offer: usize,
    /// Outcome of the offer.
    pub(super) kind: ReplyKind,
    /// Load of the target when the host sent the reply.
    pub(super) report: LoadReport,
}

/// Outcome of an offer.
#[derive(Clone, Copy, Debug)]
pub(super) enum ReplyKind {
    /// The backend server answered.
    Answered,
    /// The backend server answered with a failure.
    Failed,
    /// The host or the backend server refused.
    Refused(Refusal),
}

impl MeshRequest {
    /// The first try of a caller's request.
    pub(super) fn first(kind: usize, entry: usize, sent_us: u64, deadline: Duration) -> Self {
        Self {
            kind,
            entry,
            parent: None,
            first_us: sent_us,
            sent_us,
            deadline_us: sent_us + deadline.as_micros() as u64,
            objective_us: 0,
            tries: 0,
            is_last: true,
            tried: Vec::new(),
            runs_left: 2,
            runs: 0,
            arrivals: 0,
            is_repeat: false,
            refusal: None,
            open: None,
            end: None,
        }
    }

    /// A later try of the same request.
    pub(super) fn again(&self, sent_us: u64) -> Self {
        Self {
            sent_us,
            tries: self.tries + 1,
            first_us: self.first_us,
            deadline_us: self.deadline_us,
            ..Self::first(self.kind, self.entry, sent_us, Duration::ZERO)
        }
    }
}
