//! Which services got the latest requests of the routes that several share.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, PoisonError},
};

use fescueway_config::{RoutePlan, SitePlan};
use fescueway_core::ServiceName;
use fescueway_routing::SplitCounter;

/// Which services got the latest requests of the routes that several share, by
/// [`RoutePlan::work_kind`].
#[derive(Debug, Default)]
pub struct SplitTable(Mutex<BTreeMap<u64, SplitCounter>>);

impl SplitTable {
    /// The service that gets the next request of `route`, `None` when it names none.
    pub fn next(&self, route: &RoutePlan) -> Option<ServiceName> {
        let split = &route.split;
        if split.len() < 2 {
            return split.first().map(|part| part.service.clone());
        }
        let weights: Vec<_> = split.iter().map(|part| part.weight).collect();
        let mut counters = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let counter = counters.entry(route.work_kind).or_default();
        let part = split.get(counter.next(&weights))?;
        Some(part.service.clone())
    }

    /// Forgets the routes that the plan no longer splits.
    pub fn apply_plan(&self, plan: &SitePlan) {
        let hosts = plan.host_routes.values().flatten().map(|route| &**route);
        let services = plan.services.values().flat_map(|service| &service.routes);
        let split: BTreeSet<_> = hosts
            .chain(services)
            .filter(|route| route.split.len() > 1)
            .map(|route| route.work_kind)
            .collect();
        let mut counters = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        counters.retain(|kind, _| split.contains(kind));
    }
}
