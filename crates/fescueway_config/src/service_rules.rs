//! Validation rules of a service's fields: unit, default and range of each.

use crate::{FieldRule, NumberRule, TextRule};

pub(crate) const HOSTS: TextRule = TextRule {
    field: "hosts",
    default: "[] (all)",
    allowed: "host names in lower case, without a port",
    meaning: "Values of the `Host` header that belong to the service.",
};

pub(crate) const PATH_PREFIXES: TextRule = TextRule {
    field: "path_prefixes",
    default: "none, required unless `weights` of a route name the service",
    allowed: "one or more paths that start with `/`, without `?`, `#` or spaces",
    meaning: "Paths that belong to the service, by whole segments. The longest prefix of all \
              services wins.",
};

pub(crate) const DEFAULT_IDEMPOTENCY: TextRule = TextRule {
    field: "default_route.idempotency",
    default: "\"non-idempotent\"",
    allowed: "\"idempotent\" or \"non-idempotent\"",
    meaning: "Whether requests that no route matches may run more than once.",
};

pub(crate) const DEFAULT_PRIORITY: TextRule = TextRule {
    field: "default_route.priority",
    default: "\"normal\"",
    allowed: "\"high\", \"normal\" or \"low\"",
    meaning: "Their priority among the requests that wait for a slot.",
};

pub(crate) const DEFAULT_DEADLINE: NumberRule = NumberRule {
    field: "default_route.deadline_ms",
    unit: "ms",
    default: 2_000.0,
    min: 1.0,
    max: 3_600_000.0,
    is_whole: true,
    meaning: "How long a caller waits for the first byte of the answer.",
};

pub(crate) const ROUTE_METHOD: TextRule = TextRule {
    field: "routes.NAME.method",
    default: "null (all)",
    allowed: "an HTTP method in upper case",
    meaning: "The method of the route's requests.",
};

pub(crate) const ROUTE_PREFIX: TextRule = TextRule {
    field: "routes.NAME.path_prefix",
    default: "none, required",
    allowed: "a path that starts with `/`, without `?`, `#` or spaces",
    meaning: "The path of the route's requests, by whole segments. The longest prefix wins, and \
              of equal prefixes the one with a method.",
};

pub(crate) const ROUTE_IDEMPOTENCY: TextRule = TextRule {
    field: "routes.NAME.idempotency",
    default: "none, required",
    allowed: "\"idempotent\" or \"non-idempotent\"",
    meaning: "Whether a request of the route may run more than once.",
};

pub(crate) const ROUTE_PRIORITY: TextRule = TextRule {
    field: "routes.NAME.priority",
    default: "as `default_route.priority`",
    allowed: "\"high\", \"normal\" or \"low\"",
    meaning: "Its priority among the requests that wait for a slot.",
};

pub(crate) const ROUTE_DEADLINE: TextRule = TextRule {
    field: "routes.NAME.deadline_ms",
    default: "as `default_route.deadline_ms`",
    allowed: "as `default_route.deadline_ms`",
    meaning: "How long a caller waits for the first byte of the answer.",
};

pub(crate) const ROUTE_OBJECTIVE: TextRule = TextRule {
    field: "routes.NAME.objective_ms",
    default: "as `objective.latency_ms`",
    allowed: "as `objective.latency_ms`",
    meaning: "An answer is in time when its first byte leaves within this long.",
};

pub(crate) const ROUTE_RUNS: TextRule = TextRule {
    field: "routes.NAME.max_runs",
    default: "as `retry.max_offers`",
    allowed: "as `retry.max_offers`",
    meaning: "Targets that may run one request of the route. Refused offers don't count.",
};

pub(crate) const ROUTE_PUBLIC: TextRule = TextRule {
    field: "routes.NAME.is_public",
    default: "false",
    allowed: "true or false",
    meaning: "Whether the route's requests need no API key, at a site that has client accounts.",
};

pub(crate) const ROUTE_HEDGE_SHARE: TextRule = TextRule {
    field: "routes.NAME.hedge_share",
    default: "none",
    allowed: "as `retry.hedge_share`",
    meaning: "As `retry.hedge_share`, for the requests of the route and in addition to the limits of \
              the service.",
};

pub(crate) const ROUTE_HEDGE_PER_S: TextRule = TextRule {
    field: "routes.NAME.hedge_per_s",
    default: "none",
    allowed: "as `retry.hedge_per_s`",
    meaning: "As `retry.hedge_per_s`, for the requests of the route and in addition to the limits of \
              the service.",
};

pub(crate) const ROUTE_WEIGHTS: TextRule = TextRule {
    field: "routes.NAME.weights.SERVICE",
    default: "none (all to the route's own service)",
    allowed: "whole, 1 to 1000; SERVICE is one of the site's",
    meaning: "A service that gets this part of the route's requests, out of the sum of all \
              weights.",
};

/// The range of [`ROUTE_WEIGHTS`]. A weight has no default.
pub(crate) const WEIGHT: NumberRule = NumberRule {
    field: ROUTE_WEIGHTS.field,
    unit: "parts of the sum of all weights",
    default: 1.0,
    min: 1.0,
    max: 1_000.0,
    is_whole: true,
    meaning: "A service's part of a route's requests.",
};

pub(crate) const PROBE_BUDGET: NumberRule = NumberRule {
    field: "probe.budget_ms_per_s",
    unit: "ms of backend time per second and target",
    default: 5.0,
    min: 0.0,
    max: 1_000.0,
    is_whole: false,
    meaning: "Time that probes may take from each target. 0 switches probes off.",
};

pub(crate) const PROBE_PATH: TextRule = TextRule {
    field: "probe.path",
    default: "\"/load\"",
    allowed: "a path that starts with `/`, without `?`, `#` or spaces",
    meaning: "The load endpoint of the backend server. It is optional: a response of 404 has \
              no effect on the health of the server.",
};

pub(crate) const PROBE_TIMEOUT: NumberRule = NumberRule {
    field: "probe.timeout_ms",
    unit: "ms",
    default: 100.0,
    min: 1.0,
    max: 10_000.0,
    is_whole: true,
    meaning: "A probe without an answer after this long has failed. It is charged in full.",
};

pub(crate) const RETRY_SHARE: NumberRule = NumberRule {
    field: "retry.budget_share",
    unit: "share of the first offers",
    default: 0.1,
    min: 0.0,
    max: 1.0,
    is_whole: false,
    meaning: "Retries and hedges that one entry may make.",
};

pub(crate) const REFUSAL_SHARE: NumberRule = NumberRule {
    field: "retry.refusal_share",
    unit: "share of the first offers",
    default: 0.13,
    min: 0.0,
    max: 8.0,
    is_whole: false,
    meaning: "Further offers that one entry may make after refusals by hosts.",
};

pub(crate) const MAX_OFFERS: NumberRule = NumberRule {
    field: "retry.max_offers",
    unit: "offers",
    default: 3.0,
    min: 1.0,
    max: 16.0,
    is_whole: true,
    meaning: "Maximum number of offers for one request, over all entries and depths.",
};

pub(crate) const IS_HEDGING: TextRule = TextRule {
    field: "retry.is_hedging",
    default: "true",
    allowed: "true or false",
    meaning: "Whether a late idempotent request is offered to a second target.",
};

pub(crate) const HEDGE_SHARE: TextRule = TextRule {
    field: "retry.hedge_share",
    default: "none (only requests at slow targets are hedged)",
    allowed: "a number from 0 to 1 (share of the first offers)",
    meaning: "Hedges that one entry may make in any 10 s, within `retry.budget_share`. With it, late \
              requests are hedged also when their target is not known to be slow. 0 switches hedges \
              off.",
};

/// The range of [`HEDGE_SHARE`], which has no default.
pub(crate) const HEDGE_SHARE_RANGE: NumberRule = NumberRule {
    field: HEDGE_SHARE.field,
    unit: "share of the first offers",
    default: 0.0,
    min: 0.0,
    max: 1.0,
    is_whole: false,
    meaning: "Hedges that one entry may make.",
};

pub(crate) const HEDGE_PER_S: TextRule = TextRule {
    field: "retry.hedge_per_s",
    default: "none (no limit per second)",
    allowed: "a number from 0 to 1000000 (hedges per second)",
    meaning: "Hedges that all entries together may make in any second, within \
              `retry.budget_share`. Each entry has a whole part of it; if there are more entries \
              than hedges, some have none. With it, late requests are hedged also when their \
              target is not known to be slow. 0 switches hedges off.",
};

/// The range of [`HEDGE_PER_S`], which has no default.
pub(crate) const HEDGE_PER_S_RANGE: NumberRule = NumberRule {
    field: HEDGE_PER_S.field,
    unit: "hedges per second",
    default: 0.0,
    min: 0.0,
    max: 1_000_000.0,
    is_whole: false,
    meaning: "Hedges that all entries together may make in any second.",
};

pub(crate) const AVAILABILITY: NumberRule = NumberRule {
    field: "objective.availability",
    unit: "share of requests",
    default: 0.999,
    min: 0.5,
    max: 0.999_999,
    is_whole: false,
    meaning: "Requests that are answered in time. What is left is the error budget.",
};

pub(crate) const OBJECTIVE_LATENCY: NumberRule = NumberRule {
    field: "objective.latency_ms",
    unit: "ms",
    default: 250.0,
    min: 1.0,
    max: 3_600_000.0,
    is_whole: true,
    meaning: "An answer is in time when its first byte leaves within this long.",
};

pub(crate) const OBJECTIVE_WINDOW: NumberRule = NumberRule {
    field: "objective.window_days",
    unit: "days",
    default: 30.0,
    min: 1.0,
    max: 90.0,
    is_whole: true,
    meaning: "Length of the window of the error budget.",
};

pub(crate) const CLAIM_PARTITIONS: NumberRule = NumberRule {
    field: "claim.partitions",
    unit: "partitions",
    default: 16.0,
    min: 1.0,
    max: 1_024.0,
    is_whole: true,
    meaning: "Partitions of the idempotency keys, each with its own home node.",
};

pub(crate) const CLAIM_RETENTION: NumberRule = NumberRule {
    field: "claim.retention_s",
    unit: "s",
    default: 86_400.0,
    min: 1.0,
    max: 2_592_000.0,
    is_whole: true,
    meaning: "How long an idempotency key is retained.",
};

pub(crate) const MAX_BODY: NumberRule = NumberRule {
    field: "limit.max_body_bytes",
    unit: "bytes",
    default: 16_777_216.0,
    min: 0.0,
    max: 1_099_511_627_776.0,
    is_whole: true,
    meaning: "Maximum size of a request body.",
};

pub(crate) const SLOT_SHARE: NumberRule = NumberRule {
    field: "limit.slot_share",
    unit: "share of the slots",
    default: 1.0,
    min: 0.1,
    max: 1.0,
    is_whole: false,
    meaning: "Maximum share of a backend server's slots in use. Set it below 1 for servers \
              that slow down when nearly full.",
};

pub(crate) const QUEUE_PER_SLOT: NumberRule = NumberRule {
    field: "limit.queue_per_slot",
    unit: "requests per slot",
    default: 0.5,
    min: 0.0,
    max: 100.0,
    is_whole: false,
    meaning: "Maximum number of requests waiting at the host node, per slot of its target.",
};

pub(crate) const SUBSET_SIZE: NumberRule = NumberRule {
    field: "locality.subset_size",
    unit: "targets",
    default: 32.0,
    min: 1.0,
    max: 1_024.0,
    is_whole: true,
    meaning: "Maximum number of targets in one entry's view.",
};

pub(crate) const DOMAIN_TRIP: NumberRule = NumberRule {
    field: "locality.domain_trip_us",
    unit: "µs",
    default: 1_500.0,
    min: 0.0,
    max: 1_000_000.0,
    is_whole: true,
    meaning: "Additional one-way latency to another failure domain, compared to one within the \
              same domain.",
};

pub(crate) const FAR_COST: NumberRule = NumberRule {
    field: "locality.far_cost_us_per_kib",
    unit: "µs for each KiB",
    default: 0.0,
    min: 0.0,
    max: 100_000.0,
    is_whole: true,
    meaning: "Extra latency accepted for a target in the same failure domain, for each KiB of \
              the bodies that would otherwise be sent to another domain.",
};

/// Every field of a service, in the order of the reference page.
pub const SERVICE_RULES: &[FieldRule] = &[
    FieldRule::Text(&HOSTS),
    FieldRule::Text(&PATH_PREFIXES),
    FieldRule::Text(&DEFAULT_IDEMPOTENCY),
    FieldRule::Text(&DEFAULT_PRIORITY),
    FieldRule::Number(&DEFAULT_DEADLINE),
    FieldRule::Text(&ROUTE_METHOD),
    FieldRule::Text(&ROUTE_PREFIX),
    FieldRule::Text(&ROUTE_IDEMPOTENCY),
    FieldRule::Text(&ROUTE_PRIORITY),
    FieldRule::Text(&ROUTE_DEADLINE),
    FieldRule::Text(&ROUTE_OBJECTIVE),
    FieldRule::Text(&ROUTE_RUNS),
    FieldRule::Text(&ROUTE_PUBLIC),
    FieldRule::Text(&ROUTE_HEDGE_SHARE),
    FieldRule::Text(&ROUTE_HEDGE_PER_S),
    FieldRule::Text(&ROUTE_WEIGHTS),
    FieldRule::Number(&PROBE_BUDGET),
    FieldRule::Text(&PROBE_PATH),
    FieldRule::Number(&PROBE_TIMEOUT),
    FieldRule::Number(&RETRY_SHARE),
    FieldRule::Number(&REFUSAL_SHARE),
    FieldRule::Number(&MAX_OFFERS),
    FieldRule::Text(&IS_HEDGING),
    FieldRule::Text(&HEDGE_SHARE),
    FieldRule::Text(&HEDGE_PER_S),
    FieldRule::Number(&AVAILABILITY),
    FieldRule::Number(&OBJECTIVE_LATENCY),
    FieldRule::Number(&OBJECTIVE_WINDOW),
    FieldRule::Number(&CLAIM_PARTITIONS),
    FieldRule::Number(&CLAIM_RETENTION),
    FieldRule::Number(&MAX_BODY),
    FieldRule::Number(&SLOT_SHARE),
    FieldRule::Number(&QUEUE_PER_SLOT),
    FieldRule::Number(&SUBSET_SIZE),
    FieldRule::Number(&DOMAIN_TRIP),
    FieldRule::Number(&FAR_COST),
];
