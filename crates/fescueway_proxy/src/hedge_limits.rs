//! Limits on the hedges of one service, from the configuration of a site.

use std::collections::BTreeMap;

use fescueway_config::{HedgePlan, RoutePlan, ServicePlan, SitePlan};
use fescueway_core::ServiceName;
use fescueway_routing::HedgeLimit;

/// Limits on the hedges of one service: its own, and those of the routes that send requests to it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HedgeLimits {
    /// The limit of the service.
    pub service: Option<HedgeLimit>,
    /// Limits of routes by work kind. Of a route that several services share, each has a part of the
    /// cap per second by its weight.
    pub routes: BTreeMap<u64, HedgeLimit>,
}

impl HedgeLimits {
    /// The limits of `service`; `fallback` applies if its configuration has none.
    #[must_use]
    pub fn of_service(site: &SitePlan, service: &ServicePlan, fallback: Option<HedgePlan>) -> Self {
        let host_routes = site.host_routes.values().flatten();
        let host_routes = host_routes.map(|route| (None, &**route));
        let services = site.services.values();
        let service_routes = services.flat_map(|owner| {
            let routes = owner.routes.iter();
            routes.map(|route| (Some(&owner.name), route))
        });
        let routes = host_routes.chain(service_routes);
        let limits = routes.filter_map(|(owner, route)| {
            let limit = route_limit(&service.name, owner, route)?;
            Some((route.work_kind, limit))
        });
        Self {
            service: service
                .retry
                .hedge
                .or(fallback)
                .map(|plan| limit(plan, 1.0)),
            routes: limits.collect(),
        }
    }
}

/// The part of a route's limit that applies to its requests at `service`, `None` if it has no limit
/// or sends none there.
fn route_limit(
    service: &ServiceName,
    owner: Option<&ServiceName>,
    route: &RoutePlan,
) -> Option<HedgeLimit> {
    let plan = route.hedge?;
    if route.split.is_empty() {
        return (owner == Some(service)).then(|| limit(plan, 1.0));
    }
    let weights = |name: Option<&ServiceName>| {
        let parts = route.split.iter();
        let parts = parts.filter(|part| name.is_none_or(|name| part.service == *name));
        parts.map(|part| f64::from(part.weight)).sum::<f64>()
    };
    let own = weights(Some(service));
    (own > 0.0).then(|| limit(plan, own / weights(None)))
}

/// The limit of a plan, with this part of its cap per second.
fn limit(plan: HedgePlan, part: f64) -> HedgeLimit {
    HedgeLimit {
        share: plan.share,
        per_s: plan.per_s.map(|per_s| per_s * part),
    }
}
