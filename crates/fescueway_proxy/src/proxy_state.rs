//! The shared state of a node's proxy.

mod evacuation_effects;
mod evacuations;
mod key_proof;
mod local_backends;
mod server_statements;

use std::{
    fmt::Display,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use fescueway_admission::StopSchedule;
use fescueway_config::SitePlan;
use fescueway_core::{MonoTime, NodeId, ServiceName, SiteName, TargetRecord};
use fescueway_telemetry::{SourceRateLimit, events::path};
use http::HeaderValue;

use self::{evacuations::Evacuations, key_proof::KeyProof};
use crate::{
    call_table::CallTable,
    edge_profile::EdgeProfile,
    entry::AllotmentCheck,
    host::RunChecks,
    local_targets::LocalTargets,
    mono_clock::MonoClock,
    observer_slot::ObserverSlot,
    open_counts::OpenCounts,
    overlong_answer::{OverlongAnswer, OverlongAnswers},
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

/// Called for each request when the head of its answer is ready.
type RequestObserver = dyn Fn(&RequestRecord) + Send + Sync;

/// Called for each load report in an answer of a local backend server, with the service and the
/// header field's value.
type LoadObserver = dyn Fn(&ServiceName, &[u8]) + Send + Sync;

/// Called when a local backend server states that it is leaving, with its service.
type LeavingObserver = dyn Fn(&ServiceName) + Send + Sync;

/// The shared state of a node's proxy. Cheap to clone.
#[derive(Clone)]
pub struct ProxyState(Arc<SharedState>);

/// The state that the clones of a [`ProxyState`] share.
struct SharedState {
    /// The options that the proxy was started with.
    options: ProxyOptions,
    /// Limits on connections, headers, bodies and times.
    limits: Arc<ProxyLimits>,
    /// The monotonic clock.
    clock: MonoClock,
    /// Runs the proxy's tasks.
    tasks: TaskGroup,
    /// The configuration in force.
    plan: Mutex<Arc<SitePlan>>,
    /// Whether a configuration was ever in force.
    is_configured: AtomicBool,
    /// Whether the configuration in force was the newest when it was read, as far as is known.
    is_plan_current: AtomicBool,
    /// Whether a newer configuration than the one in force is known to exist.
    is_plan_behind: AtomicBool,
    /// When the configuration in force was last known to be the latest one.
    key_proof: KeyProof,
    /// When this node ends its work; unset until it is told to stop.
    stop_schedule: OnceLock<StopSchedule>,
    /// The local service whose name is sent to backend servers as the caller's.
    caller_service: Mutex<Option<HeaderValue>>,
    /// The entry's state of each route.
    route_states: RouteStates,
    /// All known targets and their routers.
    routes: RouteTable,
    /// Connections to peers.
    peers: PeerPool,
    /// Handlers of control messages.
    controls: ControlTable,
    /// Calls that run at the backend servers of this node.
    calls: CallTable,
    /// Checks that are made before a request is handed over.
    checks: RunChecks,
    /// Decides whether requests are within their accounts' allotments.
    allotments: AllotmentCheck,
    /// Targets of this node.
    targets: LocalTargets,
    /// Entries that sent offers to this node recently.
    recent_entries: RecentEntries,
    /// Counts of open requests and connections.
    open_counts: OpenCounts,
    /// Logs events of single requests.
    log: RequestLog,
    /// Limits the log lines about refused peers, so that a hostile peer can't flood the log.
    refused_peers: SourceRateLimit<IpAddr>,
    /// Limits the log lines about changed limits of backend servers.
    limit_changes: SourceRateLimit<ServiceName>,
    /// Limits the log lines about backend servers that became cold.
    cold_targets: SourceRateLimit<ServiceName>,
    /// The evacuated failure domains.
    evacuations: Evacuations,
    /// Limits the log lines about services that have targets only in evacuated failure domains.
    evacuated_services: SourceRateLimit<ServiceName>,
    /// Limits the log lines about invalid statements of backend servers.
    invalid_statements: SourceRateLimit<ServiceName>,
    /// Answers of backend servers that were cut.
    overlong_answers: OverlongAnswers,
    /// Called for each request.
    request_observer: ObserverSlot<RequestObserver>,
    /// Called for each load report.
    load_observer: ObserverSlot<LoadObserver>,
    /// Called for each local backend server that leaves.
    leaving_observer: ObserverSlot<LeavingObserver>,
}

impl ProxyState {
    /// The state of a proxy without configuration and targets.
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
            is_plan_current: AtomicBool::new(true),
            is_plan_behind: AtomicBool::new(false),
            key_proof: KeyProof::default(),
            stop_schedule: OnceLock::new(),
            caller_service: Mutex::default(),
            route_states: RouteStates::default(),
            routes: RouteTable::new(&options),
            peers: PeerPool::new(limits, tasks, clock),
            controls: ControlTable::default(),
            calls: CallTable::new(options.secret),
            checks: RunChecks::default(),
            allotments: AllotmentCheck::default(),
            targets: LocalTargets::default(),
            recent_entries: RecentEntries::default(),
            open_counts: OpenCounts::default(),
            log: RequestLog::new(
                options.node,
                options.profile.request_id.clone(),
                options.log_lines_per_s,
            ),
            refused_peers: SourceRateLimit::new(&path::PEER_REFUSED),
            limit_changes: SourceRateLimit::new(&path::SERVER_LIMIT_CHANGED),
            invalid_statements: SourceRateLimit::new(&path::SERVER_STATEMENT_INVALID),
            overlong_answers: OverlongAnswers::default(),
            cold_targets: SourceRateLimit::new(&path::TARGET_COLD),
            evacuations: Evacuations::default(),
            evacuated_services: SourceRateLimit::new(&path::SERVICE_EVACUATED),
            request_observer: ObserverSlot::default(),
            load_observer: ObserverSlot::default(),
            leaving_observer: ObserverSlot::default(),
            options,
        }))
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        self.0.clock.now()
    }

    /// The monotonic clock, for code that sets timers.
    #[must_use]
    pub fn clock(&self) -> MonoClock {
        self.0.clock
    }

    /// The id of this node.
    #[must_use]
    pub fn node(&self) -> NodeId {
        self.0.options.node
    }

    /// The options that the proxy was started with.
    #[must_use]
    pub fn options(&self) -> &ProxyOptions {
        &self.0.options
    }

    /// Limits on connections, headers, bodies and times.
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

    /// All known targets and their routers.
    #[must_use]
    pub fn routes(&self) -> &RouteTable {
        &self.0.routes
    }

    /// Number of callers' requests whose answer has not ended.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.0.open_counts.requests.get()
    }

    /// Number of open connections of callers.
    #[must_use]
    pub fn caller_connections(&self) -> usize {
        self.0.open_counts.caller_connections.get()
    }

    /// Number of open connections that peers opened.
    #[must_use]
    pub fn peer_connections(&self) -> usize {
        self.0.open_counts.peer_connections.get()
    }

    /// Counts of open requests and connections.
    pub(crate) fn open_counts(&self) -> &OpenCounts {
        &self.0.open_counts
    }

    /// Logs events of single requests.
    pub(crate) fn log(&self) -> &RequestLog {
        &self.0.log
    }

    /// Logs that a connection or message of a peer was refused. Limited per IP address.
    pub(crate) fn log_refused_peer(&self, peer: SocketAddr, error: &dyn Display) {
        let limit = &self.0.refused_peers;
        limit.emit(self.now(), peer.ip(), &[&peer, error]);
    }

    /// Checks that are made before a request is handed over.
    #[must_use]
    pub fn checks(&self) -> &RunChecks {
        &self.0.checks
    }

    /// Decides whether requests are within the allotments of their accounts.
    #[must_use]
    pub fn allotments(&self) -> &AllotmentCheck {
        &self.0.allotments
    }

    /// Calls that run at the backend servers of this node.
    pub(crate) fn calls(&self) -> &CallTable {
        &self.0.calls
    }
}

/// Configuration and targets.
impl ProxyState {
    /// The configuration in force.
    #[must_use]
    pub fn plan(&self) -> Arc<SitePlan> {
        Arc::clone(&lock(&self.0.plan))
    }

    /// Puts a configuration in force for requests that are received from now on.
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

    /// Sets whether the configuration in force was the newest when it was read. While it may not have
    /// been, requests without a route are refused instead of rejected.
    pub fn set_plan_current(&self, is_current: bool) {
        self.0.is_plan_current.store(is_current, Ordering::Relaxed);
    }

    /// Whether a configuration is in force that was the newest when it was read, as far as is known.
    #[must_use]
    pub fn is_plan_current(&self) -> bool {
        self.is_configured() && self.0.is_plan_current.load(Ordering::Relaxed)
    }

    /// Sets whether a newer configuration than the one in force is known to exist, which was not
    /// received yet or is invalid. Meanwhile requests whose key is unknown are refused instead of
    /// rejected.
    pub fn set_plan_behind(&self, is_behind: bool) {
        self.0.is_plan_behind.store(is_behind, Ordering::Relaxed);
    }

    /// Whether a key that the configuration in force lacks is invalid, as far as is known.
    #[must_use]
    pub fn is_key_check_final(&self) -> bool {
        self.is_plan_current() && !self.0.is_plan_behind.load(Ordering::Relaxed)
    }

    /// Begins a stop of this node. Only the first call has an effect.
    pub fn begin_stop(&self, schedule: StopSchedule) {
        // A second stop doesn't prolong the first one.
        let _ = self.0.stop_schedule.set(schedule);
    }

    /// When this node ends its work; `None` until it is told to stop.
    #[must_use]
    pub fn stop_schedule(&self) -> Option<&StopSchedule> {
        self.0.stop_schedule.get()
    }

    /// Records that an answer of the backend server at `address` was cut, since it didn't end.
    pub fn record_overlong_answer(&self, address: SocketAddr, answer: OverlongAnswer) {
        self.0.overlong_answers.record(self.now(), address, answer);
    }

    /// Number of answers of backend servers that were cut since the start.
    #[must_use]
    pub fn overlong_answers(&self) -> u64 {
        self.0.overlong_answers.count()
    }

    /// Sets the service that backend servers are told as the caller of requests received here.
    pub fn set_caller_service(&self, service: Option<HeaderValue>) {
        *lock(&self.0.caller_service) = service;
    }

    /// The service that backend servers are told as the caller.
    pub(crate) fn caller_service(&self) -> Option<HeaderValue> {
        lock(&self.0.caller_service).clone()
    }

    /// The entry's state of each route.
    pub(crate) fn route_states(&self) -> &RouteStates {
        &self.0.route_states
    }

    /// Header fields that callers and backend servers use.
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

    /// Removes a target of the fleet.
    pub fn remove_target(&self, node: NodeId, service: &ServiceName) {
        self.0.routes.remove_target(node, service);
    }

    /// Sets the `observer` that is called for each request when the head of its answer is ready.
    /// Replaces the previous one.
    pub fn observe(&self, observer: impl Fn(&RequestRecord) + Send + Sync + 'static) {
        self.0.request_observer.set(Arc::new(observer));
    }

    /// Sets the `observer` that is called for each load report in an answer of a local backend
    /// server, with the service and the value of the `endpoint-load-metrics` field. Replaces the
    /// previous one.
    pub fn observe_load(&self, observer: impl Fn(&ServiceName, &[u8]) + Send + Sync + 'static) {
        self.0.load_observer.set(Arc::new(observer));
    }

    /// Sets the `observer` that is called when a local backend server states in an answer that it is
    /// leaving, with its service. Replaces the previous one.
    pub fn observe_leaving(&self, observer: impl Fn(&ServiceName) + Send + Sync + 'static) {
        self.0.leaving_observer.set(Arc::new(observer));
    }

    /// Passes a request's record to the observer.
    pub(crate) fn notify_request(&self, record: &RequestRecord) {
        if let Some(observer) = self.0.request_observer.get() {
            observer(record);
        }
    }

    /// Passes a load report to the observer.
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

/// Locks the value. A poisoned lock is still consistent, since every change is one assignment.
fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}
