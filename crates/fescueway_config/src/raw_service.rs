//! A service as written in a document, before validation.

use std::collections::BTreeMap;

use fescueway_core::{Idempotency, Priority};
use serde::{Deserialize, Serialize};
use serde_json::Number;

/// A service as written in a document. A field that is not set has its default.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, expecting = "an object")]
pub struct RawService {
    /// Values of the `Host` header that belong to the service; empty means all.
    pub hosts: Vec<String>,
    /// Path prefixes that belong to the service.
    pub path_prefixes: Vec<String>,
    /// What applies when no route matches.
    pub default_route: RawDefaultRoute,
    /// Rules for single routes by name. The name identifies the route in overlays.
    pub routes: BTreeMap<String, RawRoute>,
    /// How the backend servers are probed.
    pub probe: RawProbe,
    /// Limits on retries and hedges.
    pub retry: RawRetry,
    /// The service-level objective.
    pub objective: RawObjective,
    /// How idempotency keys are claimed.
    pub claim: RawClaim,
    /// Limits on request bodies, slots and queues.
    pub limit: RawLimit,
    /// How targets are selected across failure domains.
    pub locality: RawLocality,
}

/// What applies when no route matches.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, expecting = "an object")]
pub struct RawDefaultRoute {
    /// Whether a request may run more than once.
    pub idempotency: Option<Idempotency>,
    /// Priority among waiting requests.
    pub priority: Option<Priority>,
    /// How long a caller waits, in milliseconds.
    pub deadline_ms: Option<Number>,
}

/// Rules for one route. `idempotency` has no default, since a wrong value could run a booking
/// twice.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub struct RawRoute {
    /// The method, all when it is not set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub method: Option<String>,
    /// The path prefix.
    pub path_prefix: String,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// Priority among waiting requests.
    #[serde(default)]
    pub priority: Option<Priority>,
    /// How long a caller waits, in milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<Number>,
    /// A response is in time within this many milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub objective_ms: Option<Number>,
    /// Maximum number of targets that may run one request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_runs: Option<Number>,
    /// Whether requests need no key of a client account.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub is_public: Option<bool>,
    /// Maximum hedges, as a share of the first offers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hedge_share: Option<Number>,
    /// Maximum hedges per second of all entries together.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hedge_per_s: Option<Number>,
    /// Weights of the services that share the requests.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub weights: BTreeMap<String, Number>,
}

/// How the backend servers are probed.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, expecting = "an object")]
pub struct RawProbe {
    /// Backend time for probes, in milliseconds per second and target.
    pub budget_ms_per_s: Option<Number>,
    /// Path of the load endpoint.
    pub path: Option<String>,
    /// Timeout of a probe, in milliseconds.
    pub timeout_ms: Option<Number>,
}

/// Limits on retries and hedges.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, expecting = "an object")]
pub struct RawRetry {
    /// Maximum retries and hedges, as a share of the first offers.
    pub budget_share: Option<Number>,
    /// Maximum further offers after refusals, as a share of the first offers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refusal_share: Option<Number>,
    /// Maximum number of offers for one request.
    pub max_offers: Option<Number>,
    /// Whether idempotent requests are hedged.
    pub is_hedging: Option<bool>,
    /// Maximum hedges, as a share of the first offers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hedge_share: Option<Number>,
    /// Maximum hedges per second of all entries together.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hedge_per_s: Option<Number>,
}

/// The service-level objective.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, expecting = "an object")]
pub struct RawObjective {
    /// Share of requests answered in time.
    pub availability: Option<Number>,
    /// A response is in time within this many milliseconds.
    pub latency_ms: Option<Number>,
    /// Length of the objective's window, in days.
    pub window_days: Option<Number>,
}

/// How idempotency keys are claimed.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, expecting = "an object")]
pub struct RawClaim {
    /// Number of partitions of the key space.
    pub partitions: Option<Number>,
    /// How long a key is retained, in seconds.
    pub retention_s: Option<Number>,
}

/// Limits on request bodies, slots and queues.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, expecting = "an object")]
pub struct RawLimit {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: Option<Number>,
    /// Maximum share of the slots in use.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slot_share: Option<Number>,
    /// Maximum number of waiting requests per slot.
    pub queue_per_slot: Option<Number>,
}

/// How targets are selected across failure domains.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, expecting = "an object")]
pub struct RawLocality {
    /// Maximum number of targets in one entry's view.
    pub subset_size: Option<Number>,
    /// Additional one-way latency to another failure domain, in microseconds.
    pub domain_trip_us: Option<Number>,
    /// Cost of sending a KiB to another failure domain, in microseconds of latency.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub far_cost_us_per_kib: Option<Number>,
}
