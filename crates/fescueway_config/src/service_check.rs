//! Converts a raw service to a validated plan, and back to the raw form with all defaults filled
//! in.

use std::{cmp::Reverse, collections::BTreeMap, sync::Arc, time::Duration};

use fescueway_core::{Idempotency, Priority};
use serde_json::Number;

use crate::{
    ClaimPlan, FieldFault, HedgePlan, LimitPlan, LocalityPlan, NumberRule, ObjectivePlan,
    ProbePlan, RetryPlan, RoutePlan, ServicePlan, StoredService, TextRule, WeightedService,
    raw_service::{
        RawClaim, RawDefaultRoute, RawLimit, RawLocality, RawObjective, RawProbe, RawRetry,
        RawRoute, RawService,
    },
    service_rules as rules,
    stored_service::checked_name,
};

/// Seconds in a day.
const DAY_S: u64 = 24 * 60 * 60;

impl TryFrom<StoredService> for ServicePlan {
    type Error = FieldFault;

    fn try_from(stored: StoredService) -> Result<Self, FieldFault> {
        let scope = format!("services.{}", stored.name);
        let name = checked_name(scope.clone(), &stored.name)?;
        let raw = stored.plan;
        let default_route = default_route(&scope, &raw.default_route)?;
        Ok(Self {
            name,
            hosts: hosts(&scope, &raw.hosts)?,
            path_prefixes: path_prefixes(&scope, &raw.path_prefixes)?,
            routes: routes(&scope, &raw.routes, &default_route)?,
            default_route,
            probe: probe(&scope, &raw.probe)?,
            retry: retry(&scope, &raw.retry)?,
            objective: objective(&scope, &raw.objective)?,
            claim: claim(&scope, &raw.claim)?,
            limit: limit(&scope, &raw.limit)?,
            locality: locality(&scope, &raw.locality)?,
            warmup: None,
        })
    }
}

impl From<&ServicePlan> for RawService {
    fn from(plan: &ServicePlan) -> Self {
        let routes = plan.routes.iter();
        Self {
            hosts: to_strings(&plan.hosts),
            path_prefixes: to_strings(&plan.path_prefixes),
            default_route: RawDefaultRoute {
                idempotency: Some(plan.default_route.idempotency),
                priority: Some(plan.default_route.priority),
                deadline_ms: millis(&rules::DEFAULT_DEADLINE, plan.default_route.deadline),
            },
            routes: routes.map(raw_route).collect(),
            probe: RawProbe {
                budget_ms_per_s: rules::PROBE_BUDGET.raw(plan.probe.budget_ms_per_s),
                path: Some(plan.probe.path.to_string()),
                timeout_ms: millis(&rules::PROBE_TIMEOUT, plan.probe.timeout),
            },
            retry: RawRetry {
                budget_share: rules::RETRY_SHARE.raw(plan.retry.budget_share),
                refusal_share: omit_default(&rules::REFUSAL_SHARE, plan.retry.refusal_share),
                max_offers: rules::MAX_OFFERS.raw(plan.retry.max_offers.into()),
                is_hedging: Some(plan.retry.is_hedging),
                hedge_share: raw_hedge(plan.retry.hedge).0,
                hedge_per_s: raw_hedge(plan.retry.hedge).1,
            },
            objective: RawObjective {
                availability: rules::AVAILABILITY.raw(plan.objective.availability),
                latency_ms: millis(&rules::OBJECTIVE_LATENCY, plan.objective.latency),
                window_days: Some(Number::from(plan.objective.window.as_secs() / DAY_S)),
            },
            claim: RawClaim {
                partitions: Some(Number::from(plan.claim.partitions)),
                retention_s: Some(Number::from(plan.claim.retention.as_secs())),
            },
            limit: RawLimit {
                max_body_bytes: Some(Number::from(plan.limit.max_body_bytes)),
                slot_share: omit_default(&rules::SLOT_SHARE, plan.limit.slot_share),
                queue_per_slot: rules::QUEUE_PER_SLOT.raw(plan.limit.queue_per_slot),
            },
            locality: RawLocality {
                subset_size: Some(Number::from(plan.locality.subset_size)),
                domain_trip_us: Some(Number::from(plan.locality.domain_trip.as_micros() as u64)),
                far_cost_us_per_kib: omit_default(
                    &rules::FAR_COST,
                    plan.locality.far_cost_per_kib.as_micros() as f64,
                ),
            },
        }
    }
}

/// The number, or `None` when it is the default. The canonical form omits fields that were added
/// later when they have their default, so that digests stay the same as in older versions.
fn omit_default(rule: &NumberRule, value: f64) -> Option<Number> {
    let is_default = (value - rule.default).abs() < f64::EPSILON;
    (!is_default).then(|| rule.raw(value)).flatten()
}

/// A route with its name, in raw form.
fn raw_route(route: &RoutePlan) -> (String, RawRoute) {
    let raw = RawRoute {
        method: route.method.as_deref().map(ToOwned::to_owned),
        path_prefix: route.path_prefix.to_string(),
        idempotency: route.idempotency,
        priority: Some(route.priority),
        deadline_ms: millis(&rules::DEFAULT_DEADLINE, route.deadline),
        objective_ms: route
            .objective
            .and_then(|objective| millis(&rules::OBJECTIVE_LATENCY, objective)),
        max_runs: route.max_runs.map(Number::from),
        is_public: route.is_public.then_some(true),
        hedge_share: raw_hedge(route.hedge).0,
        hedge_per_s: raw_hedge(route.hedge).1,
        weights: route.split.iter().map(raw_weight).collect(),
    };
    (route.name.to_string(), raw)
}

/// The fields of a limit on hedges, in raw form: the share and the cap per second.
fn raw_hedge(plan: Option<HedgePlan>) -> (Option<Number>, Option<Number>) {
    let plan = plan.unwrap_or_default();
    (
        plan.share.and_then(Number::from_f64),
        plan.per_s.and_then(Number::from_f64),
    )
}

impl HedgePlan {
    /// Validates the fields `hedge_share` and `hedge_per_s` at the path `scope`; `None` without them.
    ///
    /// # Errors
    ///
    /// When a value is out of range.
    pub fn check(
        scope: &str,
        share: Option<&Number>,
        per_s: Option<&Number>,
    ) -> Result<Option<Self>, FieldFault> {
        let number = |rule: &NumberRule, field: &str, raw| {
            rule.check_optional(format!("{scope}.{field}"), raw)
        };
        Ok(Self::of_fields(
            number(&rules::HEDGE_SHARE_RANGE, "hedge_share", share)?,
            number(&rules::HEDGE_PER_S_RANGE, "hedge_per_s", per_s)?,
        ))
    }
}

/// One service's weight in a route, in raw form.
fn raw_weight(part: &WeightedService) -> (String, Number) {
    (part.service.as_str().to_owned(), Number::from(part.weight))
}

/// Copies shared strings.
fn to_strings(shared: &[Arc<str>]) -> Vec<String> {
    shared.iter().map(ToString::to_string).collect()
}

/// A duration in milliseconds, as the number of a rule's field.
fn millis(rule: &NumberRule, duration: Duration) -> Option<Number> {
    rule.raw(duration.as_millis() as f64)
}

/// Returns the text if `is_allowed` accepts it, otherwise the rule's error.
fn checked_text(
    path: String,
    text: &str,
    rule: &TextRule,
    is_allowed: impl Fn(&str) -> bool,
) -> Result<Arc<str>, FieldFault> {
    if is_allowed(text) {
        return Ok(text.into());
    }
    Err(FieldFault::new(path, format!("{text:?}"), rule.allowed))
}

/// Whether `text` is a host name in lower case without a port.
fn is_host(text: &str) -> bool {
    let is_allowed_byte = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'.' | b'-')
    };
    !text.is_empty() && text.bytes().all(is_allowed_byte)
}

/// Whether `text` is an absolute path without a query.
fn is_path(text: &str) -> bool {
    let is_allowed_byte = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#');
    text.starts_with('/') && text.bytes().all(is_allowed_byte)
}

/// Whether `text` is a method in upper case.
fn is_method(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_uppercase())
}

/// Validates the hosts.
fn hosts(scope: &str, raw: &[String]) -> Result<Vec<Arc<str>>, FieldFault> {
    let hosts = raw.iter().enumerate().map(|(index, host)| {
        let path = format!("{scope}.{}[{index}]", rules::HOSTS.field);
        checked_text(path, host, &rules::HOSTS, is_host)
    });
    hosts.collect()
}

/// Validates the path prefixes.
fn path_prefixes(scope: &str, raw: &[String]) -> Result<Vec<Arc<str>>, FieldFault> {
    let field = format!("{scope}.{}", rules::PATH_PREFIXES.field);
    let prefixes = raw.iter().enumerate().map(|(index, prefix)| {
        let path = format!("{field}[{index}]");
        checked_text(path, prefix, &rules::PATH_PREFIXES, is_path)
    });
    prefixes.collect()
}

/// Validates the rules for requests that no route matches.
fn default_route(scope: &str, raw: &RawDefaultRoute) -> Result<RoutePlan, FieldFault> {
    let deadline = rules::DEFAULT_DEADLINE.check(scope, raw.deadline_ms.as_ref())?;
    Ok(RoutePlan {
        name: "".into(),
        work_kind: RoutePlan::work_kind_of(scope, ""),
        method: None,
        path_prefix: "/".into(),
        idempotency: raw.idempotency.unwrap_or(Idempotency::NonIdempotent),
        priority: raw.priority.unwrap_or(Priority::Normal),
        deadline: Duration::from_millis(deadline as u64),
        objective: None,
        max_runs: None,
        hedge: None,
        is_public: false,
        split: Vec::new(),
    })
}

/// Validates the routes and sorts them, the most specific one first.
fn routes(
    scope: &str,
    raw: &BTreeMap<String, RawRoute>,
    fallback: &RoutePlan,
) -> Result<Vec<RoutePlan>, FieldFault> {
    let routes = raw
        .iter()
        .map(|(name, raw)| checked_route(scope, name, raw, fallback));
    let mut routes = routes.collect::<Result<Vec<_>, _>>()?;
    routes.sort_by_key(|route| (Reverse(route.path_prefix.len()), route.method.is_none()));
    check_distinct_routes(scope, &routes)?;
    Ok(routes)
}

/// Rejects two routes with the same prefix and method, since one of them would never match.
fn check_distinct_routes(scope: &str, routes: &[RoutePlan]) -> Result<(), FieldFault> {
    let mut seen = BTreeMap::new();
    for route in routes {
        let key = (&route.path_prefix, &route.method);
        if let Some(first) = seen.insert(key, &route.name) {
            let path = format!("{scope}.routes.{}", route.name);
            let found = format!("the method and path prefix of route {first:?}");
            return Err(FieldFault::new(
                path,
                found,
                "each method and path prefix once",
            ));
        }
    }
    Ok(())
}

/// Validates one route. Fields that are not set are taken from `fallback`.
fn checked_route(
    scope: &str,
    name: &str,
    raw: &RawRoute,
    fallback: &RoutePlan,
) -> Result<RoutePlan, FieldFault> {
    let path = format!("{scope}.routes.{name}");
    let checked = checked_name(path.clone(), name)?;
    let method = raw.method.as_deref().map(|method| {
        checked_text(
            format!("{path}.method"),
            method,
            &rules::ROUTE_METHOD,
            is_method,
        )
    });
    let number = |rule: &NumberRule, field: &str, raw: &Option<Number>| {
        rule.check_optional(format!("{path}.{field}"), raw.as_ref())
    };
    let millis = |rule, field, raw| {
        let millis = number(rule, field, raw)?;
        Ok(millis.map(|millis| Duration::from_millis(millis as u64)))
    };
    let deadline = millis(&rules::DEFAULT_DEADLINE, "deadline_ms", &raw.deadline_ms)?;
    let prefix_path = format!("{path}.path_prefix");
    Ok(RoutePlan {
        name: checked.as_str().into(),
        work_kind: RoutePlan::work_kind_of(scope, name),
        method: method.transpose()?,
        path_prefix: checked_text(prefix_path, &raw.path_prefix, &rules::ROUTE_PREFIX, is_path)?,
        idempotency: raw.idempotency,
        priority: raw.priority.unwrap_or(fallback.priority),
        deadline: deadline.unwrap_or(fallback.deadline),
        objective: millis(&rules::OBJECTIVE_LATENCY, "objective_ms", &raw.objective_ms)?,
        max_runs: number(&rules::MAX_OFFERS, "max_runs", &raw.max_runs)?.map(|runs| runs as u8),
        is_public: raw.is_public.unwrap_or(false),
        hedge: HedgePlan::check(&path, raw.hedge_share.as_ref(), raw.hedge_per_s.as_ref())?,
        split: split(&path, &raw.weights)?,
    })
}

/// Validates the weights of the services that share a route's requests. Whether these services
/// exist is checked later, with all services of the site.
fn split(path: &str, raw: &BTreeMap<String, Number>) -> Result<Vec<WeightedService>, FieldFault> {
    let weighted_services = raw.iter().map(|(name, weight)| {
        let path = format!("{path}.weights.{name}");
        let service = checked_name(path.clone(), name)?;
        let weight = rules::WEIGHT.check_at(path, Some(weight))? as u32;
        Ok(WeightedService { service, weight })
    });
    weighted_services.collect()
}

/// Validates the probe rules.
fn probe(scope: &str, raw: &RawProbe) -> Result<ProbePlan, FieldFault> {
    let path = raw.path.as_deref().unwrap_or("/load");
    let field = format!("{scope}.{}", rules::PROBE_PATH.field);
    let timeout = rules::PROBE_TIMEOUT.check(scope, raw.timeout_ms.as_ref())?;
    Ok(ProbePlan {
        budget_ms_per_s: rules::PROBE_BUDGET.check(scope, raw.budget_ms_per_s.as_ref())?,
        path: checked_text(field, path, &rules::PROBE_PATH, is_path)?,
        timeout: Duration::from_millis(timeout as u64),
    })
}

/// Validates the limits on retries and hedges.
fn retry(scope: &str, raw: &RawRetry) -> Result<RetryPlan, FieldFault> {
    let hedge_scope = format!("{scope}.retry");
    Ok(RetryPlan {
        budget_share: rules::RETRY_SHARE.check(scope, raw.budget_share.as_ref())?,
        refusal_share: rules::REFUSAL_SHARE.check(scope, raw.refusal_share.as_ref())?,
        max_offers: rules::MAX_OFFERS.check(scope, raw.max_offers.as_ref())? as u8,
        is_hedging: raw.is_hedging.unwrap_or(true),
        hedge: HedgePlan::check(
            &hedge_scope,
            raw.hedge_share.as_ref(),
            raw.hedge_per_s.as_ref(),
        )?,
    })
}

/// Validates the service-level objective.
fn objective(scope: &str, raw: &RawObjective) -> Result<ObjectivePlan, FieldFault> {
    let latency = rules::OBJECTIVE_LATENCY.check(scope, raw.latency_ms.as_ref())?;
    let days = rules::OBJECTIVE_WINDOW.check(scope, raw.window_days.as_ref())?;
    Ok(ObjectivePlan {
        availability: rules::AVAILABILITY.check(scope, raw.availability.as_ref())?,
        latency: Duration::from_millis(latency as u64),
        window: Duration::from_secs(days as u64 * DAY_S),
    })
}

/// Validates the rules for claims of idempotency keys.
fn claim(scope: &str, raw: &RawClaim) -> Result<ClaimPlan, FieldFault> {
    let retention = rules::CLAIM_RETENTION.check(scope, raw.retention_s.as_ref())?;
    Ok(ClaimPlan {
        partitions: rules::CLAIM_PARTITIONS.check(scope, raw.partitions.as_ref())? as u16,
        retention: Duration::from_secs(retention as u64),
    })
}

/// Validates the limits on request bodies, slots and queues.
fn limit(scope: &str, raw: &RawLimit) -> Result<LimitPlan, FieldFault> {
    Ok(LimitPlan {
        max_body_bytes: rules::MAX_BODY.check(scope, raw.max_body_bytes.as_ref())? as u64,
        slot_share: rules::SLOT_SHARE.check(scope, raw.slot_share.as_ref())?,
        queue_per_slot: rules::QUEUE_PER_SLOT.check(scope, raw.queue_per_slot.as_ref())?,
    })
}

/// Validates the rules for the selection of targets.
fn locality(scope: &str, raw: &RawLocality) -> Result<LocalityPlan, FieldFault> {
    let domain_trip = rules::DOMAIN_TRIP.check(scope, raw.domain_trip_us.as_ref())?;
    let far_cost = rules::FAR_COST.check(scope, raw.far_cost_us_per_kib.as_ref())?;
    Ok(LocalityPlan {
        subset_size: rules::SUBSET_SIZE.check(scope, raw.subset_size.as_ref())? as usize,
        domain_trip: Duration::from_micros(domain_trip as u64),
        far_cost_per_kib: Duration::from_micros(far_cost as u64),
    })
}
