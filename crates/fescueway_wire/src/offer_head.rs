//! Heads of the streams on which an entry offers a request to a host.

use fescueway_core::{LoadReport, NodeId, Outcome, Refusal, RequestTerms};
use http::{HeaderValue, Method, uri::PathAndQuery};
use serde::{Deserialize, Serialize};

use crate::{HeaderList, http_parts};

/// Opens an offer: all of the request but its body, which follows as the stream's data.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OfferHead {
    /// The entry.
    pub entry: NodeId,
    /// The host node that is meant; another one at its address refuses.
    pub host: NodeId,
    /// What the request needs.
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
    /// Header fields without hop-by-hop ones.
    pub headers: HeaderList,
    /// Whether the body is held back until [`AnswerHead::Accepted`]; otherwise it comes at once.
    pub is_body_held: bool,
}

/// The right to run a request with an idempotency key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimGrant {
    /// The home node that granted it.
    pub home: NodeId,
    /// Epoch of the home's tenure.
    pub epoch: u64,
}

/// The host's answer to an offer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AnswerHead {
    /// The request has a slot and a connection: send the body. Another head follows.
    Accepted,
    /// The request did not run.
    Refused {
        /// Why, and when to come back.
        refusal: Refusal,
        /// The target's load.
        load: LoadReport,
    },
    /// The backend server's answer; its body follows as the stream's data.
    Answered {
        /// HTTP status.
        status: u16,
        /// Header fields without hop-by-hop ones.
        headers: HeaderList,
        /// What became of the request.
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
