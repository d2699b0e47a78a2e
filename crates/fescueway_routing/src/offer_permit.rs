//! The right to offer a request to one target.

use fescueway_core::{Idempotency, NodeId, OfferCause, Refusal, RefusalReason, RequestTerms};

/// The right to offer one request to one target, once.
///
/// The permit is consumed by what happens next. A refusal gives it back as terms that may be
/// offered again; a hand-over gives [`HandedOver`], from which only an idempotent request
/// returns. So a non-idempotent request can't be offered after its hand-over.
#[derive(Debug)]
pub struct OfferPermit {
    /// The target's host node.
    node: NodeId,
    /// What the request needs. `offers_left` already counts this offer.
    terms: RequestTerms,
}

/// A request that may have reached a backend server.
#[derive(Debug)]
pub struct HandedOver {
    /// The target's host node.
    node: NodeId,
    /// What the request needs.
    terms: RequestTerms,
}

impl OfferPermit {
    /// A permit to offer a request to `node`. Only the router makes one.
    pub(crate) fn new(node: NodeId, terms: RequestTerms) -> Self {
        Self { node, terms }
    }

    /// The host node to offer the request to.
    #[must_use]
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// What the request needs, to be sent with it.
    #[must_use]
    pub fn terms(&self) -> &RequestTerms {
        &self.terms
    }

    /// The host refused, which proves that the request did not run: it may be offered elsewhere.
    /// When it was the backend server that refused, another offer counts as a retry: it costs the
    /// backend servers as much as one.
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

    /// The terms for a second offer while this one is still open, `None` for a request that may
    /// not repeat.
    #[must_use]
    pub fn hedge(&self) -> Option<RequestTerms> {
        repeated(&self.terms, OfferCause::Hedged)
    }

    /// The request is handed over: from here on it may have run.
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

    /// The terms for another offer, `None` for a request that may not repeat.
    #[must_use]
    pub fn retry(self) -> Option<RequestTerms> {
        repeated(&self.terms, OfferCause::Retried)
    }
}

/// The terms of a repeated offer, which only an idempotent request may have.
fn repeated(terms: &RequestTerms, cause: OfferCause) -> Option<RequestTerms> {
    match terms.idempotency {
        Idempotency::Idempotent => Some(RequestTerms {
            cause,
            ..terms.clone()
        }),
        Idempotency::NonIdempotent => None,
    }
}
