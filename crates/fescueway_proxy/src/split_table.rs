//! Which services got the latest requests of the routes that several share.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use fescueway_config::{RoutePlan, SitePlan};
use fescueway_core::ServiceName;
use fescueway_routing::SplitCounter;

/// Which services got the latest requests of the routes that several share.
#[derive(Debug, Default)]
pub struct SplitTable(Mutex<BTreeMap<Arc<str>, SplitCounter>>);

impl SplitTable {
    /// The service that gets the next request of `route`, `None` when it names none.
    pub fn next(&self, route: &RoutePlan) -> Option<ServiceName> {
        let split = &route.split;
        if split.len() < 2 {
            return split.first().map(|part| part.service.clone());
        }
        let weights: Vec<_> = split.iter().map(|part| part.weight).collect();
        let mut counters = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let counter = counters.entry(Arc::clone(&route.name)).or_default();
        let part = split.get(counter.next(&weights))?;
        Some(part.service.clone())
    }

    /// Forgets the routes that the plan no longer splits.
    pub fn apply_plan(&self, plan: &SitePlan) {
        let routes = plan.host_routes.values().flatten();
        let split: BTreeMap<_, _> = routes
            .map(|route| (&route.name, route.split.len()))
            .collect();
        let mut counters = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        counters.retain(|name, _| split.get(name).is_some_and(|parts| *parts > 1));
    }
}
