//! A request as it is offered to a host.

use std::sync::Arc;

use fescueway_core::{NodeId, RequestTerms};
use fescueway_wire::{HeaderList, OfferHead};
use http::{HeaderMap, HeaderValue, Method, Uri};

use crate::body::RequestBody;

/// A request as it is offered to a host. Its header fields are stripped already.
#[derive(Clone, Debug)]
pub struct OfferRequest {
    /// The entry.
    pub entry: NodeId,
    /// The host that is meant.
    pub host: NodeId,
    /// What the request needs.
    pub terms: RequestTerms,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: Arc<str>,
    /// HTTP authority.
    pub authority: Arc<str>,
    /// Header fields.
    pub headers: Arc<HeaderMap<HeaderValue>>,
    /// The body.
    pub body: RequestBody,
}

impl OfferRequest {
    /// The head that travels to the host.
    #[must_use]
    pub fn to_head(&self) -> OfferHead {
        OfferHead {
            entry: self.entry,
            host: self.host,
            terms: self.terms.clone(),
            method: Arc::from(self.method.as_str()),
            target: Arc::clone(&self.target),
            authority: Arc::clone(&self.authority),
            headers: HeaderList::new(Arc::clone(&self.headers)),
            is_body_held: matches!(self.body, RequestBody::Streaming(_)),
        }
    }
}

/// A request as the host runs it, whichever way it came.
#[derive(Clone, Debug)]
pub struct HostRequest {
    /// What the request needs.
    pub terms: RequestTerms,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// HTTP authority.
    pub authority: Arc<str>,
    /// Header fields.
    pub headers: HeaderMap<HeaderValue>,
}

impl HostRequest {
    /// The request of an offer from another node, `None` when it is no HTTP request.
    #[must_use]
    pub fn from_head(head: OfferHead) -> Option<Self> {
        let target: Uri = head.target.parse().ok()?;
        target.path_and_query()?;
        Some(Self {
            terms: head.terms,
            method: Method::from_bytes(head.method.as_bytes()).ok()?,
            target,
            authority: head.authority,
            headers: head.headers.into_map(),
        })
    }

    /// The request of an offer from this node, `None` when it is no HTTP request.
    #[must_use]
    pub fn from_offer(request: &OfferRequest) -> Option<Self> {
        Some(Self {
            terms: request.terms.clone(),
            method: request.method.clone(),
            target: request.target.parse().ok()?,
            authority: Arc::clone(&request.authority),
            headers: HeaderMap::clone(&request.headers),
        })
    }
}
