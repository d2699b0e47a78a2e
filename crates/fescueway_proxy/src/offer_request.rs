//! A request, as it is offered to a host and as the host runs it.

use std::sync::Arc;

use fescueway_core::{MonoTime, NodeId, RequestTerms, ServerNotice};
use fescueway_wire::{HeaderList, OfferHead};
use http::{HeaderMap, HeaderValue, Method, uri::PathAndQuery};

use crate::body::RequestBody;

/// Bodies up to this size follow the head of an offer at once; larger ones only after the host has
/// accepted it, which costs a round trip. A refused offer then doesn't load the links.
const MAX_UNASKED_BYTES: usize = 8 * 1_024;

/// A request as it is offered to a host. Header fields that must not be forwarded are removed.
#[derive(Clone, Debug)]
pub struct OfferRequest {
    /// The entry.
    pub entry: NodeId,
    /// The host that the offer is for.
    pub host: NodeId,
    /// The request's terms.
    pub terms: RequestTerms,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: PathAndQuery,
    /// HTTP authority.
    pub authority: HeaderValue,
    /// Header fields.
    pub headers: Arc<HeaderMap<HeaderValue>>,
    /// What the entry knows of the host's backend server, if that restricts the requests it gets.
    pub notice: Option<ServerNotice>,
    /// The body.
    pub body: RequestBody,
}

impl OfferRequest {
    /// The head that is sent to the host.
    #[must_use]
    pub fn to_head(&self) -> OfferHead {
        OfferHead {
            entry: self.entry,
            host: self.host,
            terms: self.terms.clone(),
            method: self.method.clone(),
            target: self.target.clone(),
            authority: self.authority.clone(),
            headers: HeaderList::new(Arc::clone(&self.headers)),
            notice: self.notice,
            is_body_held: self.is_body_held(),
        }
    }

    /// Whether the body is sent only after the host has accepted the offer.
    #[must_use]
    pub fn is_body_held(&self) -> bool {
        match &self.body {
            RequestBody::Empty => false,
            RequestBody::Buffered(bytes) => bytes.len() > MAX_UNASKED_BYTES,
            RequestBody::Streaming(_) => true,
        }
    }
}

/// A request as the host runs it, offered by this node or another.
#[derive(Clone, Debug)]
pub struct HostRequest {
    /// The entry.
    pub entry: NodeId,
    /// The request's terms. `time_left` is as of the arrival of the offer.
    pub terms: RequestTerms,
    /// When the entry stops waiting, on this node's clock.
    pub deadline: MonoTime,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: PathAndQuery,
    /// HTTP authority.
    pub authority: HeaderValue,
    /// Header fields.
    pub headers: HeaderMap<HeaderValue>,
    /// What the entry knows of the backend server, if that restricts the requests it gets.
    pub notice: Option<ServerNotice>,
}

impl HostRequest {
    /// The request of an offer from another node that arrived at `now`.
    #[must_use]
    pub fn from_head(now: MonoTime, head: OfferHead) -> Self {
        Self {
            entry: head.entry,
            deadline: now + head.terms.time_left,
            terms: head.terms,
            method: head.method,
            target: head.target,
            authority: head.authority,
            headers: head.headers.into_map(),
            notice: head.notice,
        }
    }

    /// The request of an offer from this node that was made at `now`.
    #[must_use]
    pub fn from_offer(now: MonoTime, request: &OfferRequest) -> Self {
        Self {
            entry: request.entry,
            deadline: now + request.terms.time_left,
            terms: request.terms.clone(),
            method: request.method.clone(),
            target: request.target.clone(),
            authority: request.authority.clone(),
            headers: HeaderMap::clone(&request.headers),
            notice: request.notice,
        }
    }
}
