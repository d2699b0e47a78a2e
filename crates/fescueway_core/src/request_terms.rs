//! What a request needs of the path: its priority, its deadline, and whether it may repeat.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ServiceName;

/// Whether running a request twice does harm.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    NonIdempotent,
}

/// The order in which waiting requests get a slot.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Goes first.
    High,
    /// Goes after `High`.
    Normal,
    /// Goes last, but is never starved.
    Low,
}

/// Why an offer is made.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OfferCause {
    /// The request's first offer.
    First,
    /// A host refused the offer before, which proves that the request did not run.
    Refused,
    /// A retry of an idempotent request that was handed over.
    Retried,
    /// A second offer of an idempotent request whose first is still open.
    Hedged,
}

/// A digest of the caller's idempotency key, its service included.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyDigest(pub [u8; 16]);

/// What a request needs of the path. It travels with the request from node to node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestTerms {
    /// The service that the request is for.
    pub service: ServiceName,
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
    /// Its place among waiting requests.
    pub priority: Priority,
    /// Time left until the caller stops waiting.
    pub time_left: Duration,
    /// How many more offers may be made for this request, over all entries and depths.
    pub offers_left: u8,
    /// How many backend servers this entry may still hand the request to.
    pub runs_left: u8,
    /// Why the request is offered. The router reads it to charge the right budget.
    pub cause: OfferCause,
    /// Longest expected wait for a slot that the entry accepts: above it a refusal serves the
    /// caller better. The router sets it with each offer.
    pub wait_limit: Duration,
    /// Earlier hand-overs of this request whose answer was lost. Its backend server may have
    /// crashed on it.
    pub lost_runs: u8,
    /// How many calls of services lie above this one; zero for a caller from outside.
    pub depth: u8,
    /// Digest of the caller's idempotency key, when it sent one.
    pub key: Option<KeyDigest>,
    /// Time left in which an answer is in time; later it is worth little to its caller. Zero when it is
    /// late already, `None` when no objective is set.
    pub objective: Option<Duration>,
    /// Names requests that take about as long: those of one route. Zero when it isn't known.
    pub work_kind: u64,
    /// Digest of method, path and body start, by which a request that crashes its backend
    /// server is known again.
    pub fingerprint: u64,
}

impl RequestTerms {
    /// Offers for a request whose service has no plan yet.
    const DEFAULT_OFFERS: u8 = 3;

    /// The terms of a request from outside that may not repeat, the cautious default.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use fescueway_core::{Idempotency, RequestTerms};
    /// let terms = RequestTerms {
    ///     idempotency: Idempotency::Idempotent,
    ///     ..RequestTerms::new("windows".into(), Duration::from_millis(300))
    /// };
    /// assert_eq!(terms.wait_limit, terms.time_left);
    /// ```
    #[must_use]
    pub fn new(service: ServiceName, time_left: Duration) -> Self {
        Self {
            service,
            idempotency: Idempotency::NonIdempotent,
            priority: Priority::Normal,
            time_left,
            offers_left: Self::DEFAULT_OFFERS,
            runs_left: Self::DEFAULT_OFFERS,
            cause: OfferCause::First,
            wait_limit: time_left,
            lost_runs: 0,
            depth: 0,
            key: None,
            objective: None,
            work_kind: 0,
            fingerprint: 0,
        }
    }
}
