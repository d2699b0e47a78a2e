//! A service as it stands in a document, before it is checked.

use std::collections::BTreeMap;

use fescueway_core::{Idempotency, Priority};
use serde::{Deserialize, Serialize};
use serde_json::Number;

/// A service as it stands in a document. A field that isn't given has its default.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, expecting = "an object")]
pub struct RawService {
    /// Values of the `Host` header.
    pub hosts: Vec<String>,
    /// Path prefixes.
    pub path_prefixes: Vec<String>,
    /// What applies when no route matches.
    pub default_route: RawDefaultRoute,
    /// Rules for single routes by a name that only overlays refer to.
    pub routes: BTreeMap<String, RawRoute>,
    /// How the backend servers are probed.
    pub probe: RawProbe,
    /// How often requests are offered again.
    pub retry: RawRetry,
    /// What the operators promise.
    pub objective: RawObjective,
    /// How idempotency keys are claimed.
    pub claim: RawClaim,
    /// Bounds on single requests and on queues.
    pub limit: RawLimit,
    /// Where the service's targets lie.
    pub locality: RawLocality,
}

/// What applies when no route matches.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, expecting = "an object")]
pub struct RawDefaultRoute {
    /// Whether a request may run more than once.
    pub idempotency: Option<Idempotency>,
    /// Its place among waiting requests.
    pub priority: Option<Priority>,
    /// How long a caller waits.
    pub deadline_ms: Option<Number>,
}

/// Rules for one route. `idempotency` has no default: it is the one field whose guess would run
/// a booking twice.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub struct RawRoute {
    /// The method, all when it isn't given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub method: Option<String>,
    /// The path prefix.
    pub path_prefix: String,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// Its place among waiting requests.
    #[serde(default)]
    pub priority: Option<Priority>,
    /// How long a caller waits.
    #[serde(default)]
    pub deadline_ms: Option<Number>,
    /// What in time means.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub objective_ms: Option<Number>,
    /// Targets that may run one request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_runs: Option<Number>,
    /// Services that share the requests, each with its weight.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub weights: BTreeMap<String, Number>,
}

/// How the backend servers are probed.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, expecting = "an object")]
pub struct RawProbe {
    /// Backend time for probes.
    pub budget_ms_per_s: Option<Number>,
    /// Path of the load endpoint.
    pub path: Option<String>,
    /// A probe without an answer after this long has failed.
    pub timeout_ms: Option<Number>,
}

/// How often requests are offered again.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, expecting = "an object")]
pub struct RawRetry {
    /// Retries and hedges as a share of the successes.
    pub budget_share: Option<Number>,
    /// Further offers after refusals as a share of the first offers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refusal_share: Option<Number>,
    /// Offers for one request in all.
    pub max_offers: Option<Number>,
    /// Whether idempotent requests are hedged.
    pub is_hedging: Option<bool>,
}

/// What the operators promise.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, expecting = "an object")]
pub struct RawObjective {
    /// Share of requests answered in time.
    pub availability: Option<Number>,
    /// What in time means.
    pub latency_ms: Option<Number>,
    /// Length of the window.
    pub window_days: Option<Number>,
}

/// How idempotency keys are claimed.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, expecting = "an object")]
pub struct RawClaim {
    /// Partitions of the key space.
    pub partitions: Option<Number>,
    /// How long a key is remembered.
    pub retention_s: Option<Number>,
}

/// Bounds on single requests and on queues.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, expecting = "an object")]
pub struct RawLimit {
    /// Longest request body.
    pub max_body_bytes: Option<Number>,
    /// Share of the slots that are used at most.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slot_share: Option<Number>,
    /// Requests that may wait for each slot.
    pub queue_per_slot: Option<Number>,
}

/// Where the service's targets lie.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, expecting = "an object")]
pub struct RawLocality {
    /// Targets in one entry's view.
    pub subset_size: Option<Number>,
    /// One-way trip to another failure domain beyond that within one.
    pub domain_trip_us: Option<Number>,
    /// What it counts that a KiB goes to another failure domain.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub far_cost_us_per_kib: Option<Number>,
}
