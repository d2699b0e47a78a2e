//! Refusals: proof that a request did not run.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Why a request was refused before any byte of it reached a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The target is leaving and takes no new work.
    Draining,
    /// All slots are taken and the queue is full.
    QueueFull,
    /// The request can't finish before its deadline.
    DeadlineTooShort,
    /// The request was in flight when backend servers crashed.
    SuspectRequest,
    /// The budget of offers for this request or this entry is spent.
    BudgetSpent,
    /// No target of the service is known or serving.
    NoTarget,
    /// The backend server can't be reached; nothing was sent to it.
    BackendUnreachable,
    /// The host node can't be reached; nothing was sent to it.
    HostUnreachable,
    /// A request with this idempotency key can't be claimed now.
    ClaimUnavailable,
    /// The host node doesn't serve this service.
    UnknownService,
    /// The backend server answered that it did not run the request.
    BackendRefused,
    /// No configuration is known yet.
    NoConfiguration,
    /// The target is slow or fails now, and the entry knows a better one.
    BetterElsewhere,
}

impl RefusalReason {
    /// The reason as it stands in headers, logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::QueueFull => "queue-full",
            Self::DeadlineTooShort => "deadline-too-short",
            Self::SuspectRequest => "suspect-request",
            Self::BudgetSpent => "budget-spent",
            Self::NoTarget => "no-target",
            Self::BackendUnreachable => "backend-unreachable",
            Self::HostUnreachable => "host-unreachable",
            Self::ClaimUnavailable => "claim-unavailable",
            Self::UnknownService => "unknown-service",
            Self::BackendRefused => "backend-refused",
            Self::NoConfiguration => "no-configuration",
            Self::BetterElsewhere => "better-elsewhere",
        }
    }
}

/// A refusal: the request did not run, and may be offered elsewhere.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Why it was refused.
    pub reason: RefusalReason,
    /// When it may be worth sending the request again.
    pub retry_after: Duration,
}
