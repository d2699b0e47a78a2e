//! The validated configuration of one service.

use std::{sync::Arc, time::Duration};

use fescueway_core::{Idempotency, Priority, ServiceName, fnv1a_64};

/// The validated configuration of one service at one site.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePlan {
    /// The service.
    pub name: ServiceName,
    /// Values of the `Host` header that belong to the service; empty means all.
    pub hosts: Vec<Arc<str>>,
    /// Path prefixes that belong to the service, each starting with `/`. Empty when only routes of
    /// other services send requests here.
    pub path_prefixes: Vec<Arc<str>>,
    /// Rules for single routes; the first that matches applies. The longest prefix comes first, and
    /// of equal prefixes those with a method.
    pub routes: Vec<RoutePlan>,
    /// What applies when no route matches. Its method and prefix match everything.
    pub default_route: RoutePlan,
    /// How the backend servers are probed.
    pub probe: ProbePlan,
    /// Limits on retries and hedges.
    pub retry: RetryPlan,
    /// The service-level objective.
    pub objective: ObjectivePlan,
    /// How idempotency keys are claimed.
    pub claim: ClaimPlan,
    /// Limits on request bodies, slots and queues.
    pub limit: LimitPlan,
    /// How targets are selected across failure domains.
    pub locality: LocalityPlan,
    /// The rate that a cold target takes, `None` when it is not limited.
    pub warmup: Option<WarmupPlan>,
}

/// The rules for the requests of one route.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutePlan {
    /// The name in the configuration, empty for the default route.
    pub name: Arc<str>,
    /// Digest of the route's name and service, the same at every node. Requests of one route are
    /// expected to have similar service times.
    pub work_kind: u64,
    /// The method, `None` for all.
    pub method: Option<Arc<str>>,
    /// Requests whose path starts with this belong to the route.
    pub path_prefix: Arc<str>,
    /// Whether such a request may run more than once.
    pub idempotency: Idempotency,
    /// Priority among waiting requests.
    pub priority: Priority,
    /// How long a caller waits. Never zero.
    pub deadline: Duration,
    /// A response to a request of the route is in time within this duration; `None` for the
    /// service's objective.
    pub objective: Option<Duration>,
    /// Maximum number of backend servers that one request may be handed to; `None` for as many as
    /// it has offers. At least one.
    pub max_runs: Option<u8>,
    /// The limit on its hedges, in addition to that of the service.
    pub hedge: Option<HedgePlan>,
    /// Whether its requests need no key, at a site that has client accounts.
    pub is_public: bool,
    /// The services that share the route's requests by weight; empty for the service that the route
    /// belongs to.
    pub split: Vec<WeightedService>,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share of the requests, out of the sum of all weights of the route. At least one.
    pub weight: u32,
}

/// How a service's backend servers are probed.
#[derive(Clone, Debug, PartialEq)]
pub struct ProbePlan {
    /// Backend time that probes may take for each target, in milliseconds per second.
    pub budget_ms_per_s: f64,
    /// The path of the load endpoint.
    pub path: Arc<str>,
    /// Timeout of a probe. A probe that times out is charged to the budget with the full timeout.
    pub timeout: Duration,
}

/// Limits on retries and hedges.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryPlan {
    /// Maximum retries and hedges, as a share of the first offers, from 0 to 1.
    pub budget_share: f64,
    /// Maximum further offers after refusals, as a share of the first offers.
    pub refusal_share: f64,
    /// Maximum number of offers for one request. At least one.
    pub max_offers: u8,
    /// Whether idempotent requests are hedged.
    pub is_hedging: bool,
    /// The limit on hedges, `None` when only requests at slow targets are hedged.
    pub hedge: Option<HedgePlan>,
}

/// A limit on the hedges of a service or route, within the retry budget. At least one field is set.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HedgePlan {
    /// Hedges as a share of the first offers, from 0 to 1; `None` if that is not limited.
    pub share: Option<f64>,
    /// Hedges per second of all entries together; `None` if that is not limited.
    pub per_s: Option<f64>,
}

impl HedgePlan {
    /// A limit of these fields, `None` without any.
    #[must_use]
    pub fn of_fields(share: Option<f64>, per_s: Option<f64>) -> Option<Self> {
        (share.is_some() || per_s.is_some()).then_some(Self { share, per_s })
    }
}

/// The service-level objective of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectivePlan {
    /// Share of requests that are answered in time, above 0 and below 1.
    pub availability: f64,
    /// A response is in time when its first byte is sent within this duration.
    pub latency: Duration,
    /// The length of the objective's window.
    pub window: Duration,
}

/// How idempotency keys are claimed.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimPlan {
    /// Number of partitions of the key space, each with a home node. At least one.
    pub partitions: u16,
    /// How long a key is retained.
    pub retention: Duration,
}

/// Limits on request bodies, slots and queues.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitPlan {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum share of a target's slots in use, above 0 and at most 1.
    pub slot_share: f64,
    /// Maximum number of requests waiting at a host node, per slot of its target.
    pub queue_per_slot: f64,
}

/// How targets are selected across failure domains.
#[derive(Clone, Debug, PartialEq)]
pub struct LocalityPlan {
    /// Maximum number of targets in one entry's view. At least one.
    pub subset_size: usize,
    /// Additional one-way latency to another failure domain, compared to one within the same
    /// domain.
    pub domain_trip: Duration,
    /// Extra latency accepted for a target in the same failure domain, for each KiB of the bodies
    /// that would otherwise be sent to another domain.
    pub far_cost_per_kib: Duration,
}

/// What a service's targets take while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupPlan {
    /// How long a target is cold after its start, unless it states another time.
    pub duration: Duration,
    /// Requests per second that a cold target takes from all nodes together. Above zero.
    pub rate_per_s: f64,
}

impl ServicePlan {
    /// Length of the longest prefix that matches, `None` when the service doesn't match.
    #[must_use]
    pub fn match_length(&self, host: &str, path: &str) -> Option<usize> {
        let is_host = self.hosts.is_empty() || self.hosts.iter().any(|name| &**name == host);
        if !is_host {
            return None;
        }
        let prefixes = self
            .path_prefixes
            .iter()
            .filter(|prefix| is_path_below(path, prefix));
        prefixes.map(|prefix| prefix.len()).max()
    }

    /// The route for a request with this method and path.
    #[must_use]
    pub fn route_for(&self, method: &str, path: &str) -> &RoutePlan {
        let found = self
            .routes
            .iter()
            .find(|route| route.is_match(method, path));
        found.unwrap_or(&self.default_route)
    }
}

impl RoutePlan {
    /// The [`RoutePlan::work_kind`] of a route; `scope` is the service that it belongs to, empty
    /// for a route of a host.
    #[must_use]
    pub fn work_kind_of(scope: &str, name: &str) -> u64 {
        let parts = [scope.as_bytes(), name.as_bytes()];
        fnv1a_64(parts.into_iter().flat_map(|part| part.iter().chain(&[0])))
    }

    /// Whether a request of this method and path belongs to the route.
    #[must_use]
    pub fn is_match(&self, method: &str, path: &str) -> bool {
        let is_method = self.method.as_deref().is_none_or(|own| own == method);
        is_method && is_path_below(path, &self.path_prefix)
    }
}

/// Whether `path` is `prefix` or is below it, by whole segments: `/bands` matches `/bands/7` but
/// not `/bandstand`.
fn is_path_below(path: &str, prefix: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'),
        None => false,
    }
}
