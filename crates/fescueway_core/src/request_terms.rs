//! Routing requirements of a request: its priority, its deadline, and whether it may be repeated.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ServiceName;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    NonIdempotent,
}

/// Priority of a request among those that wait for a slot.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Served first.
    High,
    /// Served after `High`.
    Normal,
    /// Served last, but never starved.
    Low,
}

/// Why an offer is made.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OfferCause {
    /// The request's first offer.
    First,
    /// The previous offer was refused, which proves that the request did not run.
    Refused,
    /// A retry of an idempotent request that was handed over.
    Retried,
    /// A second offer of an idempotent request while the first is in flight.
    Hedged,
}

/// Digest of the service and the caller's idempotency key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyDigest(pub [u8; 16]);

/// Routing requirements of a request, sent with it from node to node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestTerms {
    /// The service that the request is for.
    pub service: ServiceName,
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
    /// Its priority among requests that wait for a slot.
    pub priority: Priority,
    /// Time left until the caller stops waiting.
    pub time_left: Duration,
    /// How many more offers may be made for this request, over all entries and call depths.
    pub offers_left: u8,
    /// How many backend servers this entry may still hand the request to.
    pub runs_left: u8,
    /// Why the request is offered. The router reads it to charge the right budget.
    pub cause: OfferCause,
    /// Longest expected wait for a slot that the entry accepts; above it, a refusal serves the
    /// caller better. The router sets it with each offer.
    pub wait_limit: Duration,
    /// Earlier hand-overs of this request whose answer was lost. It may have crashed its backend
    /// server.
    pub lost_runs: u8,
    /// Number of service calls above this one in the call chain; zero for a caller from outside.
    pub depth: u8,
    /// Digest of the caller's idempotency key, if it sent one.
    pub key: Option<KeyDigest>,
    /// Time left until an answer misses its latency objective; after that it is worth little to the
    /// caller. Zero if it is late already, `None` if there is no objective.
    pub objective: Option<Duration>,
    /// Identifies requests that take about as long: those of one route. Zero if unknown.
    pub work_kind: u64,
    /// Known size of the request's body, in bytes. The entry weighs it when it picks a target; hosts
    /// don't get it.
    #[serde(skip)]
    pub body_bytes: u64,
    /// Digest of the method, the path and the start of the body. It identifies requests that crash
    /// their backend server.
    pub fingerprint: u64,
}

impl RequestTerms {
    /// Maximum number of offers for a request whose service has no plan yet.
    const DEFAULT_OFFERS: u8 = 3;

    /// The terms of a request from outside. As the safe default, it is non-idempotent.
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
            body_bytes: 0,
            fingerprint: 0,
        }
    }
}
