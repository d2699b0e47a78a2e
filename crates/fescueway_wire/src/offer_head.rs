//! Heads of the streams on which an entry offers a request to a host node.

use fescueway_core::{LoadReport, NodeId, Outcome, Refusal, RequestTerms, ServerNotice};
use http::{HeaderValue, Method, uri::PathAndQuery};
use serde::{Deserialize, Serialize};

use crate::{HeaderList, http_parts};

/// Opens an offer: the request without its body, which follows as the stream's data.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OfferHead {
    /// The node that received the request and makes the offer.
    pub entry: NodeId,
    /// The intended host node; another node at its address refuses the offer.
    pub host: NodeId,
    /// Routing requirements of the request.
    pub terms: RequestTerms,
    /// HTTP method.
    #[serde(with = "http_parts::method")]
    pub method: Method,
    /// Path and query.
    #[serde(with = "http_parts::target")]
    pub target: PathAndQuery,
    /// HTTP authority.
    #[serde(with = "http_parts::value")]
    pub authority: HeaderValue,
    /// Header fields, without hop-by-hop ones.
    pub headers: HeaderList,
    /// What the entry knows of the host's backend server, if that restricts the requests it gets. A
    /// host that was restarted may not know it.
    pub notice: Option<ServerNotice>,
    /// Whether the entry sends the body only after [`AnswerHead::Accepted`]; otherwise it follows
    /// at once.
    pub is_body_held: bool,
}

/// Permission to run a request with an idempotency key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimGrant {
    /// The home node that granted the claim.
    pub home: NodeId,
    /// Epoch in which the home node granted it.
    pub epoch: u64,
}

/// The host node's answer to an offer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AnswerHead {
    /// The request has a slot and a connection: the entry sends the body now. Another head follows.
    Accepted,
    /// The request did not run.
    Refused {
        /// Why it was refused, and when to retry.
        refusal: Refusal,
        /// The target's load.
        load: LoadReport,
    },
    /// The backend server's answer; its body follows as the stream's data.
    Answered {
        /// HTTP status.
        status: u16,
        /// Header fields, without hop-by-hop ones.
        headers: HeaderList,
        /// Outcome of the request.
        outcome: Outcome,
        /// The target's load.
        load: LoadReport,
    },
    /// The request was handed over and its answer was lost.
    Lost {
        /// The target's load.
        load: LoadReport,
    },
}
