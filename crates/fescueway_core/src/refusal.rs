//! Refusals: proof that a request did not run.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Why a request was refused before any byte of it reached a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The target is draining and takes no new requests.
    Draining,
    /// All slots are taken and the queue is full.
    QueueFull,
    /// The request can't finish before its deadline.
    DeadlineTooShort,
    /// The request was in flight when backend servers crashed, so it may be the cause.
    SuspectRequest,
    /// The offer budget of this request or of this entry is exhausted.
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
    /// The target is slow or failing now, and the entry knows a better one.
    BetterElsewhere,
    /// The backend server states a limit of requests per second, which is reached.
    RateLimited,
    /// The client account has used its allotment.
    AllotmentSpent,
    /// The configuration may be too old to tell whether the request's key is still valid.
    KeyUnproven,
    /// The failure domain of the target is evacuated.
    DomainEvacuated,
    /// The target is cold, or may be, and its warm-up rate is reached.
    TargetCold,
}

impl RefusalReason {
    /// The reason as it appears in headers, logs and metrics.
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
            Self::RateLimited => "rate-limited",
            Self::AllotmentSpent => "allotment-spent",
            Self::KeyUnproven => "key-unproven",
            Self::DomainEvacuated => "domain-evacuated",
            Self::TargetCold => "target-cold",
        }
    }
}

/// A refusal: the request did not run, and may be offered elsewhere.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Why it was refused.
    pub reason: RefusalReason,
    /// How long the caller should wait before it sends the request again.
    pub retry_after: Duration,
}
