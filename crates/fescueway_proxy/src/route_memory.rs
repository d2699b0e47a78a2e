//! What an entry remembers of each route.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use fescueway_config::{RoutePlan, SitePlan};
use fescueway_core::ServiceName;
use fescueway_routing::{CallerWaitEstimator, WeightedRoundRobin};

/// What an entry remembers of each route, by [`RoutePlan::work_kind`].
#[derive(Debug, Default)]
pub struct RouteMemory(Mutex<BTreeMap<u64, RouteNotes>>);

/// What an entry remembers of one route.
#[derive(Debug, Default)]
struct RouteNotes {
    /// Which services got its latest requests, when several share them.
    split: WeightedRoundRobin,
    /// How long its callers wait.
    patience: CallerWaitEstimator,
}

impl RouteMemory {
    /// The service that gets the next request of `route`, `None` when it names none.
    pub fn next_service(&self, route: &RoutePlan) -> Option<ServiceName> {
        let split = &route.split;
        if split.len() < 2 {
            return split.first().map(|part| part.service.clone());
        }
        let weights: Vec<_> = split.iter().map(|part| part.weight).collect();
        let mut notes = self.notes();
        let counter = &mut notes.entry(route.work_kind).or_default().split;
        let part = split.get(counter.next(&weights))?;
        Some(part.service.clone())
    }

    /// How long a caller of `route` has tried before, when it says that it waits for `time_left` more.
    pub fn waited(&self, route: &RoutePlan, time_left: Duration) -> Duration {
        let mut notes = self.notes();
        let patience = &mut notes.entry(route.work_kind).or_default().patience;
        patience.waited(time_left)
    }

    /// Forgets the routes that the plan no longer has.
    pub fn apply_plan(&self, plan: &SitePlan) {
        let hosts = plan.host_routes.values().flatten().map(|route| &**route);
        let services = plan.services.values().flat_map(|service| {
            let default_route = std::iter::once(&service.default_route);
            service.routes.iter().chain(default_route)
        });
        let kinds: BTreeSet<_> = hosts.chain(services).map(|route| route.work_kind).collect();
        self.notes().retain(|kind, _| kinds.contains(kind));
    }

    /// The notes, locked. A panic elsewhere leaves them whole: every change is one call.
    fn notes(&self) -> MutexGuard<'_, BTreeMap<u64, RouteNotes>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
