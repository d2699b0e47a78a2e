//! What the path of requests shares with the rest of a node.

mod local_backends;

use std::{
    fmt::Display,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use fescueway_config::SitePlan;
use fescueway_core::{MonoTime, NodeId, ServiceName, SiteName, TargetRecord};
use fescueway_telemetry::{EventLimit, events::path};
use http::HeaderValue;

use crate::{
    call_table::CallTable,
    edge_profile::EdgeProfile,
    host::RunChecks,
    local_targets::LocalTargets,
    mono_clock::MonoClock,
    observer_slot::ObserverSlot,
    open_counts::OpenCounts,
    peer::{ControlTable, PeerPool},
    proxy_limits::ProxyLimits,
    proxy_options::ProxyOptions,
    recent_entries::RecentEntries,
    request_log::RequestLog,
    request_record::RequestRecord,
    route_states::RouteStates,
    route_table::RouteTable,
    task_group::TaskGroup,
};

/// Hears of each request that got its answer's head.
type RequestObserver = dyn Fn(&RequestRecord) + Send + Sync;

/// Hears of each load report that came with an answer of a backend server beside the node: the
/// service and the header field's value.
type LoadObserver = dyn Fn(&ServiceName, &[u8]) + Send + Sync;

/// What the path of requests shares with the rest of a node. Cheap to clone.
#[derive(Clone)]
pub struct ProxyState(Arc<SharedState>);

/// What the clones of a [`ProxyState`] share.
struct SharedState {
    /// What the path started with.
    options: ProxyOptions,
    /// Limits.
    limits: Arc<ProxyLimits>,
    /// Tells the time.
    clock: MonoClock,
    /// Runs everything.
    tasks: TaskGroup,
    /// What is in force.
    plan: Mutex<Arc<SitePlan>>,
    /// Whether a configuration was ever in force.
    is_configured: AtomicBool,
    /// The service that runs beside this node, as backend servers are told.
    caller_service: Mutex<Option<HeaderValue>>,
    /// What is remembered of each route.
    route_states: RouteStates,
    /// Targets as the entry sees them.
    routes: RouteTable,
    /// Connections to peers.
    peers: PeerPool,
    /// Handlers of control messages.
    controls: ControlTable,
    /// Calls that run at the backend servers of this node.
    calls: CallTable,
    /// What is settled before a request is handed over.
    checks: RunChecks,
    /// Targets of this node.
    targets: LocalTargets,
    /// Entries that sent this node requests lately.
    recent_entries: RecentEntries,
    /// What callers and peers hold open.
    open_counts: OpenCounts,
    /// Logs what is decided about single requests.
    log: RequestLog,
    /// Keeps hostile peers from flooding the log.
    refused_peers: EventLimit<IpAddr>,
    /// Hears of each request.
    request_observer: ObserverSlot<RequestObserver>,
    /// Hears of each load report.
    load_observer: ObserverSlot<LoadObserver>,
}

impl ProxyState {
    /// The path of a node without configuration and targets.
    #[must_use]
    pub fn new(options: ProxyOptions, tasks: TaskGroup) -> Self {
        let limits = Arc::new(options.limits.clone());
        let clock = MonoClock::start();
        let plan = SitePlan::empty(options.site.clone());
        Self(Arc::new(SharedState {
            limits: Arc::clone(&limits),
            clock,
            tasks: tasks.clone(),
            plan: Mutex::new(Arc::new(plan)),
            is_configured: AtomicBool::new(false),
            caller_service: Mutex::default(),
            route_states: RouteStates::default(),
            routes: RouteTable::new(&options),
            peers: PeerPool::new(limits, tasks, clock),
            controls: ControlTable::default(),
            calls: CallTable::new(options.secret),
            checks: RunChecks::default(),
            targets: LocalTargets::default(),
            recent_entries: RecentEntries::default(),
            open_counts: OpenCounts::default(),
            log: RequestLog::new(
                options.node,
                options.profile.request_id.clone(),
                options.log_lines_per_s,
            ),
            refused_peers: EventLimit::new(&path::PEER_REFUSED),
            request_observer: ObserverSlot::default(),
            load_observer: ObserverSlot::default(),
            options,
        }))
    }

    /// The time.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        self.0.clock.now()
    }

    /// Tells the time to what needs a timer.
    #[must_use]
    pub fn clock(&self) -> MonoClock {
        self.0.clock
    }

    /// The node.
    #[must_use]
    pub fn node(&self) -> NodeId {
        self.0.options.node
    }

    /// What the path started with.
    #[must_use]
    pub fn options(&self) -> &ProxyOptions {
        &self.0.options
    }

    /// Limits.
    #[must_use]
    pub fn limits(&self) -> &ProxyLimits {
        &self.0.limits
    }

    /// Runs the node's tasks.
    #[must_use]
    pub fn tasks(&self) -> &TaskGroup {
        &self.0.tasks
    }

    /// Connections to peers.
    #[must_use]
    pub fn peers(&self) -> &PeerPool {
        &self.0.peers
    }

    /// Handlers of control messages.
    #[must_use]
    pub fn controls(&self) -> &ControlTable {
        &self.0.controls
    }

    /// Targets as the entry sees them.
    #[must_use]
    pub fn routes(&self) -> &RouteTable {
        &self.0.routes
    }

    /// Requests of callers that are not answered whole.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.0.open_counts.requests.get()
    }

    /// Connections of callers that are open.
    #[must_use]
    pub fn caller_connections(&self) -> usize {
        self.0.open_counts.caller_connections.get()
    }

    /// Connections that peers opened.
    #[must_use]
    pub fn peer_connections(&self) -> usize {
        self.0.open_counts.peer_connections.get()
    }

    /// Counts what callers and peers hold open.
    pub(crate) fn open_counts(&self) -> &OpenCounts {
        &self.0.open_counts
    }

    /// Logs what is decided about single requests.
    pub(crate) fn log(&self) -> &RequestLog {
        &self.0.log
    }

    /// Logs that a peer's bytes were refused.
    pub(crate) fn log_refused_peer(&self, peer: SocketAddr, error: &dyn Display) {
        let limit = &self.0.refused_peers;
        limit.emit(self.now(), peer.ip(), &[&peer, error]);
    }

    /// What is settled before a request is handed over.
    #[must_use]
    pub fn checks(&self) -> &RunChecks {
        &self.0.checks
    }

    /// Calls that run at the backend servers of this node.
    pub(crate) fn calls(&self) -> &CallTable {
        &self.0.calls
    }
}

/// Configuration and targets.
impl ProxyState {
    /// What is in force.
    #[must_use]
    pub fn plan(&self) -> Arc<SitePlan> {
        Arc::clone(&lock(&self.0.plan))
    }

    /// Puts a configuration in force, for requests that come from now on.
    pub fn apply_plan(&self, plan: Arc<SitePlan>) {
        self.0.routes.apply_plan(&plan);
        self.0.route_states.apply_plan(&plan);
        self.0.is_configured.store(true, Ordering::Relaxed);
        *lock(&self.0.plan) = plan;
        self.0.targets.apply_plan(&self.plan());
    }

    /// Whether a configuration is in force.
    #[must_use]
    pub fn is_configured(&self) -> bool {
        self.0.is_configured.load(Ordering::Relaxed)
    }

    /// Tells backend servers from now on that requests taken here come from this service.
    pub fn set_caller_service(&self, service: Option<HeaderValue>) {
        *lock(&self.0.caller_service) = service;
    }

    /// The service that runs beside this node.
    pub(crate) fn caller_service(&self) -> Option<HeaderValue> {
        lock(&self.0.caller_service).clone()
    }

    /// What is remembered of each route.
    pub(crate) fn route_states(&self) -> &RouteStates {
        &self.0.route_states
    }

    /// Header fields at both edges.
    #[must_use]
    pub fn profile(&self) -> &EdgeProfile {
        &self.0.options.profile
    }

    /// Adds or replaces a target of this node's site.
    pub fn set_target(&self, record: &TargetRecord) {
        self.set_site_target(&self.0.options.site, record);
    }

    /// Adds or replaces a target of the fleet. Requests go to those of this node's site only.
    pub fn set_site_target(&self, site: &SiteName, record: &TargetRecord) {
        self.0.routes.set_target(self.now(), site, record);
    }

    /// Forgets a target of the fleet.
    pub fn remove_target(&self, node: NodeId, service: &ServiceName) {
        self.0.routes.remove_target(node, service);
    }

    /// From now on `observer` hears of each request that got its answer's head.
    pub fn observe(&self, observer: impl Fn(&RequestRecord) + Send + Sync + 'static) {
        self.0.request_observer.set(Arc::new(observer));
    }

    /// From now on `observer` hears of each load report that comes with an answer of a backend
    /// server beside the node: the service and the value of its `endpoint-load-metrics` field.
    pub fn observe_load(&self, observer: impl Fn(&ServiceName, &[u8]) + Send + Sync + 'static) {
        self.0.load_observer.set(Arc::new(observer));
    }

    /// Tells the observer of a request.
    pub(crate) fn notify_request(&self, record: &RequestRecord) {
        if let Some(observer) = self.0.request_observer.get() {
            observer(record);
        }
    }

    /// Tells the observer of a load report.
    pub(crate) fn notify_load(&self, service: &ServiceName, field: &[u8]) {
        if let Some(observer) = self.0.load_observer.get() {
            observer(service, field);
        }
    }
}

impl std::fmt::Debug for ProxyState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ProxyState")
            .field("options", &self.0.options)
            .finish_non_exhaustive()
    }
}

/// The value, locked. A panic elsewhere leaves it whole: every change is one assignment.
fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}
