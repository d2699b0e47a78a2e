//! The targets of all services that this entry knows, and their routers.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use fescueway_config::{HedgePlan, ServicePlan, SitePlan};
use fescueway_core::{
    DomainName, LoadReport, MonoTime, NodeId, Refusal, RefusalReason, RequestTerms, ServerNotice,
    ServiceName, SiteName, TargetRecord,
};
use fescueway_routing::{
    EjectionChange, FleetShare, NoticeBoard, OfferEnd, PickResult, RouteEvent, RoutingPlan,
    ServiceRouter,
};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::{ProxyOptions, hedge_limits::HedgeLimits};

/// The targets of all services that this entry knows, and their routers.
#[derive(Debug)]
pub struct RouteTable(Mutex<RouteTableState>);

/// The state that the lock of a [`RouteTable`] guards.
#[derive(Debug)]
struct RouteTableState {
    /// The entry.
    node: NodeId,
    /// The entry's failure domain.
    domain: DomainName,
    /// The entry's site.
    site: SiteName,
    /// Random generator for the choice of candidates.
    random: Pcg64Mcg,
    /// Services by name.
    services: BTreeMap<ServiceName, ServiceRoutes>,
    /// Routing plans in force, also of services that have no target yet.
    plans: BTreeMap<ServiceName, RoutingPlan>,
    /// Maximum number of saved tokens for retries and hedges of each service.
    max_retry_tokens: f64,
    /// Limit on the hedges of services whose configuration has none.
    hedge_default: Option<HedgePlan>,
    /// This entry's share of limits of the fleet.
    fleet: FleetShare,
    /// What the entry knows of backend servers that restrict the requests they get.
    notices: NoticeBoard,
    /// The evacuated failure domains.
    evacuated: BTreeSet<DomainName>,
}

/// What evacuations leave of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuatedCapacity {
    /// The service.
    pub service: ServiceName,
    /// Targets outside the evacuated failure domains.
    pub targets_left: usize,
    /// Slots of these targets.
    pub slots_left: u32,
    /// Slots of the targets in the evacuated failure domains. Above zero.
    pub slots_evacuated: u32,
}

/// One service's router and targets.
#[derive(Debug)]
struct ServiceRoutes {
    /// Picks the target of each offer.
    router: ServiceRouter,
    /// The service's targets, of all sites.
    targets: BTreeMap<NodeId, TargetView>,
}

/// What this entry knows of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetView {
    /// The site of its host node. Requests go to targets of the entry's site only.
    pub site: SiteName,
    /// The record that its node announced.
    pub record: TargetRecord,
    /// Its latest load report and when that was received.
    pub load: Option<(LoadReport, MonoTime)>,
}

impl RouteTable {
    /// A table without targets for the entry that `options` describe.
    #[must_use]
    pub fn new(options: &ProxyOptions) -> Self {
        Self(Mutex::new(RouteTableState {
            node: options.node,
            domain: options.domain.clone(),
            site: options.site.clone(),
            random: Pcg64Mcg::seed_from_u64(options.seed),
            services: BTreeMap::new(),
            plans: BTreeMap::new(),
            max_retry_tokens: RoutingPlan::default().max_retry_tokens,
            hedge_default: None,
            fleet: FleetShare::default(),
            notices: NoticeBoard::default(),
            evacuated: BTreeSet::new(),
        }))
    }

    /// Puts a configuration in force.
    pub fn apply_plan(&self, plan: &SitePlan) {
        let mut state = self.state();
        let services = plan.services.values();
        let plans = services.map(|service| {
            let hedges = HedgeLimits::of_service(plan, service, state.hedge_default);
            let plan = RoutingPlan {
                max_retry_tokens: state.max_retry_tokens,
                fleet: state.fleet,
                ..routing_plan(service, hedges)
            };
            (service.name.clone(), plan)
        });
        state.plans = plans.collect();
        state.apply_plans();
    }

    /// Sets the evacuated failure domains. Their targets are no longer picked.
    pub fn set_evacuated(&self, now: MonoTime, evacuated: &BTreeSet<DomainName>) {
        let mut state = self.state();
        state.evacuated.clone_from(evacuated);
        for routes in state.services.values_mut() {
            routes.router.set_evacuated(now, evacuated);
        }
    }

    /// What evacuations leave of the services that have targets in evacuated failure domains.
    #[must_use]
    pub fn evacuated_capacities(&self) -> Vec<EvacuatedCapacity> {
        let state = self.state();
        let services = state.services.iter();
        let capacities = services.map(|(service, routes)| {
            let (left, evacuated) = routes.router.split_evacuated();
            EvacuatedCapacity {
                service: service.clone(),
                targets_left: left.len(),
                slots_left: left.iter().map(|record| record.slots).sum(),
                slots_evacuated: evacuated.iter().map(|record| record.slots).sum(),
            }
        });
        capacities
            .filter(|capacity| capacity.slots_evacuated > 0)
            .collect()
    }

    /// Sets the maximum number of tokens for retries and hedges that each service can save.
    pub fn set_max_retry_tokens(&self, max_retry_tokens: f64) {
        let mut state = self.state();
        state.max_retry_tokens = max_retry_tokens;
        for plan in state.plans.values_mut() {
            plan.max_retry_tokens = max_retry_tokens;
        }
        state.apply_plans();
    }

    /// Sets the limit on the hedges of services whose configuration has none, for configurations
    /// that are put in force from now on.
    pub fn set_hedge_default(&self, hedge_default: Option<HedgePlan>) {
        self.state().hedge_default = hedge_default;
    }

    /// Sets this entry's share of limits of the fleet.
    pub fn set_fleet_share(&self, fleet: FleetShare) {
        let mut state = self.state();
        if state.fleet == fleet {
            return;
        }
        state.fleet = fleet;
        for plan in state.plans.values_mut() {
            plan.fleet = fleet;
        }
        state.apply_plans();
    }

    /// Records how long an offer had taken when its hedge was answered.
    pub fn observe_latency(&self, service: &ServiceName, work_kind: u64, latency: Duration) {
        if let Some(routes) = self.state().services.get_mut(service) {
            let event = RouteEvent::LatencyObserved { work_kind, latency };
            routes.router.handle(MonoTime::ZERO, event);
        }
    }

    /// Adds or replaces a target of `site`. A target of another site is kept but never picked: the
    /// entry holds the configuration and the terms of its own site's services only.
    pub fn set_target(&self, now: MonoTime, site: &SiteName, record: &TargetRecord) {
        let mut state = self.state();
        let is_own_site = state.site == *site;
        let routes = state.routes(&record.service);
        if is_own_site {
            routes.router.set_target(now, record);
        }
        let view = TargetView {
            site: site.clone(),
            record: record.clone(),
            load: None,
        };
        let known = routes.targets.entry(record.node).or_insert(view);
        known.record = record.clone();
    }

    /// Removes a target.
    pub fn remove_target(&self, node: NodeId, service: &ServiceName) {
        if let Some(routes) = self.state().services.get_mut(service) {
            routes.router.remove_target(node);
            routes.targets.remove(&node);
        }
    }

    /// Picks the target of a request's next offer. `tried` are the hosts of its earlier offers.
    pub fn pick(&self, now: MonoTime, terms: RequestTerms, tried: &[NodeId]) -> PickResult {
        let mut state = self.state();
        let RouteTableState {
            random, services, ..
        } = &mut *state;
        match services.get_mut(&terms.service) {
            Some(routes) => routes.router.pick(now, terms, tried, random),
            None => PickResult::Refuse(no_target()),
        }
    }

    /// The delay after which an offer to `node` should be hedged, if at all.
    pub fn hedge_after(
        &self,
        now: MonoTime,
        terms: &RequestTerms,
        node: NodeId,
    ) -> Option<Duration> {
        let state = self.state();
        let routes = state.services.get(&terms.service)?;
        routes.router.hedge_after(now, terms, node)
    }

    /// Reports to the router how an offer ended, and its latency unless it has no work kind. Returns
    /// whether the target was ejected or restored by it.
    pub fn end_offer(
        &self,
        now: MonoTime,
        service: &ServiceName,
        node: NodeId,
        work_kind: Option<u64>,
        end: OfferEnd,
    ) -> Option<EjectionChange> {
        let mut state = self.state();
        let router = &mut state.services.get_mut(service)?.router;
        if let OfferEnd::Answered {
            latency,
            is_failure: false,
        } = end
            && let Some(work_kind) = work_kind
        {
            router.handle(now, RouteEvent::LatencyObserved { work_kind, latency });
        }
        router.handle(now, RouteEvent::OfferEnded { node, end })
    }

    /// Passes a load report to the router. Returns whether the target was ejected or restored by
    /// it.
    pub fn report_load(
        &self,
        now: MonoTime,
        service: &ServiceName,
        node: NodeId,
        report: LoadReport,
    ) -> Option<EjectionChange> {
        let mut state = self.state();
        let RouteTableState {
            services, notices, ..
        } = &mut *state;
        let routes = services.get_mut(service)?;
        if let Some(view) = routes.targets.get_mut(&node) {
            view.load = Some((report, now));
            if let Some(notice) = report.notice {
                notices.record(now, service, view.record.peer_address, notice);
            }
        }
        routes
            .router
            .handle(now, RouteEvent::LoadReported { node, report })
    }

    /// What the entry knows of the backend server beside `node`, if that restricts the requests it
    /// gets. It may come from a predecessor of the node.
    #[must_use]
    pub fn notice(&self, service: &ServiceName, node: NodeId) -> Option<ServerNotice> {
        let state = self.state();
        if state.notices.is_empty() {
            return None;
        }
        let view = state.services.get(service)?.targets.get(&node)?;
        state.notices.get(service, view.record.peer_address)
    }

    /// Reports to the router the size of a request of this kind and its answer, in bytes.
    pub fn report_size(&self, service: &ServiceName, work_kind: u64, bytes: u64) {
        if let Some(routes) = self.state().services.get_mut(service) {
            let event = RouteEvent::AnswerSized { work_kind, bytes };
            routes.router.handle(MonoTime::ZERO, event);
        }
    }

    /// Tokens that a service has left: for retries and hedges, and for offers after refusals.
    #[must_use]
    pub fn tokens(&self, service: &ServiceName) -> Option<(f64, f64)> {
        let state = self.state();
        state
            .services
            .get(service)
            .map(|routes| routes.router.tokens())
    }

    /// The services that have, or had, a known target.
    #[must_use]
    pub fn services(&self) -> Vec<ServiceName> {
        self.state().services.keys().cloned().collect()
    }

    /// The address at which the target's host node accepts streams of peers.
    #[must_use]
    pub fn address(&self, service: &ServiceName, node: NodeId) -> Option<SocketAddr> {
        let state = self.state();
        let view = state.services.get(service)?.targets.get(&node)?;
        Some(view.record.peer_address)
    }

    /// Number of known targets of all services.
    #[must_use]
    pub fn target_count(&self) -> usize {
        let state = self.state();
        state
            .services
            .values()
            .map(|routes| routes.targets.len())
            .sum()
    }

    /// Every target, by service and node.
    #[must_use]
    pub fn targets(&self) -> Vec<TargetView> {
        let state = self.state();
        let services = state.services.values();
        services
            .flat_map(|routes| routes.targets.values().cloned())
            .collect()
    }

    /// The state, locked.
    fn state(&self) -> MutexGuard<'_, RouteTableState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RouteTableState {
    /// Sets each router's plan, the default for a service without one.
    fn apply_plans(&mut self) {
        let Self {
            services, plans, ..
        } = self;
        for (name, routes) in services {
            let plan = plans.get(name).cloned();
            routes.router.set_plan(plan.unwrap_or_default());
        }
    }

    /// The service's router and targets, created without targets when missing.
    fn routes(&mut self, service: &ServiceName) -> &mut ServiceRoutes {
        let Self {
            services,
            plans,
            domain,
            node,
            evacuated,
            ..
        } = self;
        services.entry(service.clone()).or_insert_with(|| {
            let plan = plans.get(service).cloned().unwrap_or_default();
            let mut router = ServiceRouter::new(plan, domain.clone()).with_seed(*node);
            router.set_evacuated(MonoTime::ZERO, evacuated);
            ServiceRoutes {
                router,
                targets: BTreeMap::new(),
            }
        })
    }
}

/// Converts a service's configuration to its router's plan.
fn routing_plan(plan: &ServicePlan, hedges: HedgeLimits) -> RoutingPlan {
    RoutingPlan {
        max_offers: plan.retry.max_offers,
        budget_share: plan.retry.budget_share,
        refusal_share: plan.retry.refusal_share,
        domain_trip: plan.locality.domain_trip,
        far_cost_per_kib: plan.locality.far_cost_per_kib,
        subset_size: plan.locality.subset_size,
        is_hedging: plan.retry.is_hedging,
        hedge_limit: hedges.service,
        route_hedge_limits: hedges.routes,
        ..RoutingPlan::default()
    }
}

/// The refusal of a request whose service has no known target.
fn no_target() -> Refusal {
    Refusal {
        reason: RefusalReason::NoTarget,
        retry_after: Duration::from_secs(1),
    }
}
