//! What the path of requests shares with the rest of a node.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use fescueway_admission::GatePlan;
use fescueway_config::SitePlan;
use fescueway_core::{MonoTime, NodeId, ServiceName, SiteName, TargetRecord, TargetState};
use tokio::{sync::watch, time::sleep};

use crate::{
    backend_announcement::BackendAnnouncement,
    call_table::CallTable,
    host::{HostTarget, RunChecks},
    mono_clock::MonoClock,
    open_guard::OpenGuard,
    peer::{ControlTable, PeerPool},
    proxy_limits::ProxyLimits,
    proxy_options::ProxyOptions,
    recent_entries::RecentEntries,
    request_record::RequestRecord,
    route_table::RouteTable,
    task_group::TaskGroup,
};

/// Hears of each request that got its answer's head.
type RequestObserver = Arc<dyn Fn(&RequestRecord) + Send + Sync>;

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
    hosts: Mutex<BTreeMap<ServiceName, Arc<HostTarget>>>,
    /// Entries that sent this node requests lately.
    entries: RecentEntries,
    /// What the backend servers of this node announced.
    announced: watch::Sender<Vec<TargetRecord>>,
    /// Requests of callers that are not answered whole.
    open_requests: Arc<AtomicUsize>,
    /// Connections of callers that are open.
    caller_connections: Arc<AtomicUsize>,
    /// Connections that peers opened.
    peer_connections: Arc<AtomicUsize>,
    /// Hears of each request.
    observer: Mutex<Option<RequestObserver>>,
}

impl ProxyState {
    /// The path of a node without configuration and targets.
    #[must_use]
    pub fn new(options: ProxyOptions, tasks: TaskGroup) -> Self {
        let limits = Arc::new(options.limits.clone());
        let clock = MonoClock::start();
        let plan = SitePlan {
            site: options.site.clone(),
            services: BTreeMap::new(),
        };
        Self(Arc::new(SharedState {
            limits: Arc::clone(&limits),
            clock,
            tasks: tasks.clone(),
            plan: Mutex::new(Arc::new(plan)),
            routes: RouteTable::new(&options),
            peers: PeerPool::new(limits, tasks, clock),
            controls: ControlTable::default(),
            calls: CallTable::new(options.secret),
            checks: RunChecks::default(),
            hosts: Mutex::default(),
            entries: RecentEntries::default(),
            announced: watch::Sender::default(),
            open_requests: Arc::default(),
            caller_connections: Arc::default(),
            peer_connections: Arc::default(),
            observer: Mutex::default(),
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
        self.0.open_requests.load(Ordering::Relaxed)
    }

    /// Counts a request until the guard is dropped.
    pub(crate) fn open_request(&self) -> OpenGuard {
        OpenGuard::new(&self.0.open_requests)
    }

    /// Connections of callers that are open.
    #[must_use]
    pub fn caller_connections(&self) -> usize {
        self.0.caller_connections.load(Ordering::Relaxed)
    }

    /// Connections that peers opened.
    #[must_use]
    pub fn peer_connections(&self) -> usize {
        self.0.peer_connections.load(Ordering::Relaxed)
    }

    /// Counts a connection that a peer opened until the guard is dropped.
    pub(crate) fn peer_connection(&self) -> OpenGuard {
        OpenGuard::new(&self.0.peer_connections)
    }

    /// Counts a caller's connection until the guard is dropped.
    pub(crate) fn caller_connection(&self) -> OpenGuard {
        OpenGuard::new(&self.0.caller_connections)
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
        *lock(&self.0.plan) = plan;
    }

    /// Adds or replaces a target of this node's site.
    pub fn set_target(&self, record: &TargetRecord) {
        self.set_target_of(&self.0.options.site, record);
    }

    /// Adds or replaces a target of the fleet. Requests go to those of this node's site only.
    pub fn set_target_of(&self, site: &SiteName, record: &TargetRecord) {
        self.0.routes.set_target(self.now(), site, record);
    }

    /// Forgets a target of the fleet.
    pub fn remove_target(&self, node: NodeId, service: &ServiceName) {
        self.0.routes.remove_target(node, service);
    }

    /// From now on `observer` hears of each request that got its answer's head.
    pub fn observe(&self, observer: impl Fn(&RequestRecord) + Send + Sync + 'static) {
        *lock(&self.0.observer) = Some(Arc::new(observer));
    }

    /// Tells the observer of a request.
    pub(crate) fn record(&self, record: &RequestRecord) {
        let observer = lock(&self.0.observer).clone();
        if let Some(observer) = observer {
            observer(record);
        }
    }
}

/// The backend servers beside this node.
impl ProxyState {
    /// What the backend servers of this node announced, as it changes.
    #[must_use]
    pub fn announced(&self) -> watch::Receiver<Vec<TargetRecord>> {
        self.0.announced.subscribe()
    }

    /// Notes an offer of `entry` to a target of this node.
    pub(crate) fn note_entry(&self, entry: NodeId) {
        self.0.entries.note(self.now(), entry);
    }

    /// The entries that sent this node requests in the last 30 to 60 s, sorted.
    #[must_use]
    pub fn recent_entries(&self) -> Vec<NodeId> {
        self.0.entries.get(self.now())
    }

    /// A backend server takes work. Announced again unchanged it goes on as it was.
    pub fn announce(&self, announcement: &BackendAnnouncement) {
        let record = self.local_record(announcement);
        let known = self.known_announcement(&announcement.service);
        if known.is_some_and(|known| is_same(&known, &record))
            && self.backend_address(&announcement.service) == Some(announcement.address)
        {
            return;
        }
        let plan = self.gate_plan(announcement);
        let ramp_time = plan.ramp_time;
        let target = Arc::new(HostTarget::new(
            announcement.address,
            announcement.connections,
            plan,
            Arc::clone(&self.0.limits),
            self.0.tasks.clone(),
            self.0.clock,
        ));
        let service = announcement.service.clone();
        self.hosts().insert(service.clone(), Arc::clone(&target));
        let warming = self.clone().end_start(service, target, ramp_time);
        self.0.tasks.spawn(warming);
        self.publish(record);
    }

    /// A backend server left: its target is gone.
    pub fn withdraw(&self, service: &ServiceName) {
        if let Some(target) = self.hosts().remove(service) {
            target.drain();
        }
        self.remove_target(self.node(), service);
        self.0.announced.send_modify(|records| {
            records.retain(|record| record.service != *service);
        });
    }

    /// A backend server takes nothing new from now on. Nothing happens when there is none.
    pub fn drain(&self, service: &ServiceName) {
        let Some(target) = self.host_target(service) else {
            return;
        };
        target.drain();
        self.set_state(service, TargetState::Draining);
    }

    /// A backend server takes work again. Nothing happens when there is none.
    pub fn undrain(&self, service: &ServiceName) {
        let Some(target) = self.host_target(service) else {
            return;
        };
        target.undrain();
        self.set_state(service, TargetState::Serving);
    }

    /// Services whose backend server is beside this node.
    #[must_use]
    pub fn local_services(&self) -> Vec<ServiceName> {
        self.hosts().keys().cloned().collect()
    }

    /// The target of this node that serves `service`.
    #[must_use]
    pub fn host_target(&self, service: &ServiceName) -> Option<Arc<HostTarget>> {
        self.hosts().get(service).cloned()
    }

    /// Whether a backend server of this node has this address.
    pub(crate) fn is_local_backend(&self, address: IpAddr) -> bool {
        let hosts = self.hosts();
        let mut addresses = hosts.values().map(|target| target.pool().address().ip());
        addresses.any(|own| own == address)
    }

    /// Announces a target as serving once it has warmed up, unless it left or drains by then.
    async fn end_start(self, service: ServiceName, target: Arc<HostTarget>, ramp_time: Duration) {
        sleep(ramp_time).await;
        let current = self.host_target(&service);
        let is_current = current.is_some_and(|current| Arc::ptr_eq(&current, &target));
        let record = self.known_announcement(&service);
        let is_starting = record.is_some_and(|record| record.state == TargetState::Starting);
        if is_current && is_starting {
            self.set_state(&service, TargetState::Serving);
        }
    }

    /// The record of an announcement.
    fn local_record(&self, announcement: &BackendAnnouncement) -> TargetRecord {
        TargetRecord {
            node: self.node(),
            service: announcement.service.clone(),
            peer_address: self.0.options.peer_address,
            domain: self.0.options.domain.clone(),
            slots: announcement.slots,
            connections: announcement.connections,
            state: TargetState::Starting,
        }
    }

    /// What the announcement and the configuration mean for the gate.
    fn gate_plan(&self, announcement: &BackendAnnouncement) -> GatePlan {
        let default = GatePlan::default();
        let plan = self.plan();
        let service = plan.services.get(&announcement.service);
        let queue_per_slot = service.map(|plan| plan.limit.queue_per_slot);
        GatePlan {
            slots: announcement.slots,
            queue_per_slot: queue_per_slot.unwrap_or(default.queue_per_slot),
            ..default
        }
    }

    /// What was announced for `service`.
    fn known_announcement(&self, service: &ServiceName) -> Option<TargetRecord> {
        let records = self.0.announced.borrow();
        let mut records = records.iter();
        records.find(|record| record.service == *service).cloned()
    }

    /// Where the backend server of `service` takes requests.
    fn backend_address(&self, service: &ServiceName) -> Option<SocketAddr> {
        Some(self.host_target(service)?.pool().address())
    }

    /// Changes the state in the record of `service`.
    fn set_state(&self, service: &ServiceName, state: TargetState) {
        if let Some(mut record) = self.known_announcement(service) {
            record.state = state;
            self.publish(record);
        }
    }

    /// Tells a record to the entry and to those who watch.
    fn publish(&self, record: TargetRecord) {
        self.set_target(&record);
        self.0.announced.send_modify(|records| {
            records.retain(|known| known.service != record.service);
            records.push(record);
        });
    }

    /// The targets of this node, locked.
    fn hosts(&self) -> MutexGuard<'_, BTreeMap<ServiceName, Arc<HostTarget>>> {
        lock(&self.0.hosts)
    }
}

impl std::fmt::Debug for ProxyState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ProxyState")
            .field("options", &self.0.options)
            .finish_non_exhaustive()
    }
}

/// Whether two records differ in nothing but their state.
fn is_same(known: &TargetRecord, record: &TargetRecord) -> bool {
    known.slots == record.slots && known.connections == record.connections
}

/// The value, locked. A panic elsewhere leaves it whole: every change is one assignment.
fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}
