//! Single-use permission to offer a request to one target.

use fescueway_core::{Idempotency, NodeId, OfferCause, Refusal, RefusalReason, RequestTerms};

/// Permission to offer one request to one target, once.
///
/// The next step consumes the permit. A refusal returns terms that may be offered again; a
/// hand-over returns [`HandedOver`], which yields new terms for an idempotent request only. So a
/// non-idempotent request can't be offered after its hand-over.
#[derive(Debug)]
pub struct OfferPermit {
    /// The target's host node.
    node: NodeId,
    /// Requirements of the request. `offers_left` already excludes this offer.
    terms: RequestTerms,
}

/// A request that may have reached a backend server.
#[derive(Debug)]
pub struct HandedOver {
    /// The target's host node.
    node: NodeId,
    /// Requirements of the request.
    terms: RequestTerms,
}

impl OfferPermit {
    /// Creates a permit to offer a request to `node`. Only the router calls this.
    pub(crate) fn new(node: NodeId, terms: RequestTerms) -> Self {
        Self { node, terms }
    }

    /// The host node to offer the request to.
    #[must_use]
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Requirements of the request, to be sent with it.
    #[must_use]
    pub fn terms(&self) -> &RequestTerms {
        &self.terms
    }

    /// Returns the terms for the next offer after a refusal, which proves that the request did not
    /// run.
    ///
    /// A refusal by the backend server itself makes the next offer count as a retry, because it
    /// costs the backend servers as much as one.
    #[must_use]
    pub fn refused(self, proof: &Refusal) -> RequestTerms {
        let cause = match proof.reason {
            RefusalReason::BackendRefused => OfferCause::Retried,
            _ => OfferCause::Refused,
        };
        RequestTerms {
            cause,
            ..self.terms
        }
    }

    /// The terms for a hedge while this offer is in flight, `None` for a non-idempotent request.
    #[must_use]
    pub fn hedge(&self) -> Option<RequestTerms> {
        repeat_terms(&self.terms, OfferCause::Hedged)
    }

    /// Marks the request as handed over: from here on it may have run.
    #[must_use]
    pub fn hand_over(self) -> HandedOver {
        HandedOver {
            node: self.node,
            terms: self.terms,
        }
    }
}

impl HandedOver {
    /// The host node that has the request.
    #[must_use]
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// The terms for a retry, `None` for a non-idempotent request.
    #[must_use]
    pub fn retry(self) -> Option<RequestTerms> {
        repeat_terms(&self.terms, OfferCause::Retried)
    }
}

/// The terms of a retry or hedge, `None` for a non-idempotent request.
fn repeat_terms(terms: &RequestTerms, cause: OfferCause) -> Option<RequestTerms> {
    match terms.idempotency {
        Idempotency::Idempotent => Some(RequestTerms {
            cause,
            ..terms.clone()
        }),
        Idempotency::NonIdempotent => None,
    }
}
