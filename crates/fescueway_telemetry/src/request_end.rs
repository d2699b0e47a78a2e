//! The result of a request, for metrics and service-level burn.

use std::time::Duration;

use fescueway_core::Outcome;

/// How a request of a caller ended at its entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestEnd {
    /// Whether it ran.
    pub outcome: Outcome,
    /// The HTTP status that the caller got.
    pub status: u16,
    /// From its arrival to the first byte of the answer.
    pub latency: Duration,
    /// Offers that were made for it.
    pub offers: u32,
    /// How many of the offers were hedges.
    pub hedges: u32,
    /// How many of the hedges were answered first.
    pub hedge_wins: u32,
    /// Total time of the offers that were cancelled because another one was answered first.
    pub hedge_waste: Duration,
}

/// Result of a request for its caller.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RouteResult {
    /// Answered within its objective.
    Answered,
    /// Answered after its objective.
    Late,
    /// Refused: it did not run.
    Refused,
    /// Failed, or its answer was lost.
    Failed,
}

impl RouteResult {
    /// The label value in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Late => "late",
            Self::Refused => "refused",
            Self::Failed => "failed",
        }
    }
}

impl RequestEnd {
    /// The result, where an answer within `latency_limit` is in time. `is_refused` says that no target
    /// accepted the request.
    #[must_use]
    pub fn result(&self, is_refused: bool, latency_limit: Duration) -> RouteResult {
        if is_refused {
            RouteResult::Refused
        } else if self.outcome != Outcome::Ran || self.status >= 500 {
            RouteResult::Failed
        } else if self.latency > latency_limit {
            RouteResult::Late
        } else {
            RouteResult::Answered
        }
    }

    /// Whether the request met its objective: it ran, the backend server did not fail, and the
    /// answer began within `latency_limit`. A 4xx answer is the caller's fault and counts as
    /// good; a refusal and a lost answer do not.
    #[must_use]
    pub fn is_good(&self, latency_limit: Duration) -> bool {
        self.result(false, latency_limit) == RouteResult::Answered
    }

    /// The label value of the status class.
    #[must_use]
    pub fn status_class(&self) -> &'static str {
        match self.status {
            100..=199 => "1xx",
            200..=299 => "2xx",
            300..=399 => "3xx",
            400..=499 => "4xx",
            _ => "5xx",
        }
    }
}
