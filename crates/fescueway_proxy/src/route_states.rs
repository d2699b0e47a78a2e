//! The state that an entry keeps of each route.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use fescueway_config::{RoutePlan, SitePlan};
use fescueway_core::ServiceName;
use fescueway_routing::{CallerWaitEstimator, WeightedRoundRobin};

/// The state that an entry keeps of each route, by [`RoutePlan::work_kind`].
#[derive(Debug, Default)]
pub struct RouteStates(Mutex<BTreeMap<u64, RouteState>>);

/// The state that an entry keeps of one route.
#[derive(Debug)]
struct RouteState {
    /// Distributes the requests over the services, when several share the route.
    round_robin: WeightedRoundRobin,
    /// Estimates how long its callers have waited already.
    wait_estimator: CallerWaitEstimator,
}

impl RouteStates {
    /// The service that gets the next request of `route`, `None` when the route names none.
    pub fn next_service(&self, route: &RoutePlan) -> Option<ServiceName> {
        let split = &route.split;
        if split.len() < 2 {
            return split.first().map(|part| part.service.clone());
        }
        let weights: Vec<_> = split.iter().map(|part| part.weight).collect();
        let mut states = self.states();
        let round_robin = &mut state_of(&mut states, route).round_robin;
        let part = split.get(round_robin.next(&weights))?;
        Some(part.service.clone())
    }

    /// Records a request of `route` whose caller waits for `time_left` from now on, and returns how
    /// long the caller has waited already.
    pub fn waited(&self, route: &RoutePlan, time_left: Duration) -> Duration {
        let mut states = self.states();
        state_of(&mut states, route)
            .wait_estimator
            .waited(time_left)
    }

    /// Removes the state of routes that the plan no longer has.
    pub fn apply_plan(&self, plan: &SitePlan) {
        let hosts = plan.host_routes.values().flatten().map(|route| &**route);
        let services = plan.services.values().flat_map(|service| {
            let default_route = std::iter::once(&service.default_route);
            service.routes.iter().chain(default_route)
        });
        let kinds: BTreeSet<_> = hosts.chain(services).map(|route| route.work_kind).collect();
        self.states().retain(|kind, _| kinds.contains(kind));
    }

    /// The states, locked. A poisoned lock is still consistent, since every change is one call.
    fn states(&self) -> MutexGuard<'_, BTreeMap<u64, RouteState>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The state of `route`, created when there is none.
fn state_of<'a>(
    states: &'a mut BTreeMap<u64, RouteState>,
    route: &RoutePlan,
) -> &'a mut RouteState {
    states.entry(route.work_kind).or_insert_with(|| RouteState {
        round_robin: WeightedRoundRobin::default(),
        wait_estimator: CallerWaitEstimator::new(route.deadline),
    })
}
