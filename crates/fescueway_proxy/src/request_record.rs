//! The record of a request for metrics and the log.

use std::{sync::Arc, time::Duration};

use fescueway_core::{AccountName, NodeId, Outcome, RefusalReason, ServiceName};
use fescueway_telemetry::{RequestEnd, RouteResult};
use http::HeaderValue;

/// The record of a request for metrics and the log, complete when the head of its answer is ready.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestRecord {
    /// Its id in the log.
    pub id: Option<HeaderValue>,
    /// The name of its route, empty for a service's default route; `None` when none was found.
    pub route: Option<Arc<str>>,
    /// The client account, `None` when the request belongs to none.
    pub account: Option<AccountName>,
    /// Why the request got no account, though it needs one.
    pub key_fault: Option<KeyFault>,
    /// Latency objective: an answer within this time is in time.
    pub objective: Duration,
    /// The host of the latest offer.
    pub target: Option<NodeId>,
    /// The service, `None` when none was configured for the request.
    pub service: Option<ServiceName>,
    /// HTTP status of the answer.
    pub status: u16,
    /// The outcome of the request, `None` before it is answered.
    pub outcome: Option<Outcome>,
    /// Why it was refused.
    pub reason: Option<RefusalReason>,
    /// Why a refused request was not offered again.
    pub stopped_by: Option<RefusalReason>,
    /// Time from the request's head to the head of its answer.
    pub latency: Duration,
    /// Number of offers made, hedges included.
    pub offers: u32,
    /// Number of offers that were hedges.
    pub hedges: u32,
    /// Number of hedges that were answered before the offer that they hedged.
    pub hedge_wins: u32,
    /// Total time of the offers that were cancelled because another one was answered first.
    pub hedge_waste: Duration,
}

/// Why a request got no client account, though it needs one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum KeyFault {
    /// The caller sent no key.
    Missing,
    /// No account has the key, or the caller sent several.
    Unknown,
    /// The configuration may be too old to tell.
    Unproven,
}

impl KeyFault {
    /// The name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Unknown => "unknown",
            Self::Unproven => "unproven",
        }
    }

    /// What the caller is told. Does not depend on the key.
    #[must_use]
    pub const fn text(self) -> &'static str {
        match self {
            Self::Missing => "the request has no key of a client account",
            Self::Unknown => "no client account has this key",
            Self::Unproven => "whether a client account has this key is not known",
        }
    }
}

impl RequestRecord {
    /// How the request ended, as metrics count it.
    #[must_use]
    pub fn end(&self) -> RequestEnd {
        RequestEnd {
            outcome: self.outcome.unwrap_or(Outcome::Unknown),
            status: self.status,
            latency: self.latency,
            offers: self.offers,
            hedges: self.hedges,
            hedge_wins: self.hedge_wins,
            hedge_waste: self.hedge_waste,
        }
    }

    /// The request's result for its caller, measured against the objective.
    #[must_use]
    pub fn result(&self) -> RouteResult {
        self.end().result(self.reason.is_some(), self.objective)
    }
}
