//! One running node.

use std::{
    mem::replace,
    net::SocketAddr,
    sync::{Arc, Mutex, OnceLock, PoisonError},
    time::Duration,
};

use fescueway_admission::StopSchedule;
use fescueway_config::HedgePlan;
use fescueway_core::{NodeId, ServiceName};
use fescueway_membership::MemberEvent;
use fescueway_proxy::{ProxyOptions, ProxyState, TaskGroup, serve_callers, serve_peers};
use fescueway_rollout::ProofTimes;
use fescueway_telemetry::{LogQueue, MetricSet, emit, events::operator};
use tokio::{
    net::UdpSocket,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

use crate::{
    DaemonError, DaemonSettings,
    allotment_task::AllotmentTask,
    backend_api::BackendApi,
    claim_task::ClaimTask,
    daemon_sockets::{DaemonAddresses, DaemonSockets},
    document_task::DocumentTask,
    drain_requests::DrainRequests,
    local_http::serve_local,
    member_link::MemberLink,
    membership_task::run_membership,
    node_adapter::NodeAdapter,
    node_meter::NodeMeter,
    operator_api::OperatorApi,
    pace_task::PaceTask,
    probe_task::ProbeTask,
    rollout_task::run_rollout,
    run_rules::RunRules,
    seed_task::SeedTask,
    status_board::StatusBoard,
    store_link::StoreLink,
    suspect_task::SuspectTask,
};

/// How often a stopping daemon checks whether its last request has ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of handing over the claims of idempotency keys.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for sending the leave message to the peers.
const LEAVE_SEND_TIME: Duration = Duration::from_millis(100);

/// Timeout for the acknowledgements of entries that sent requests recently.
const LEAVE_ACK_TIMEOUT: Duration = Duration::from_millis(500);

/// One running node. Dropping it doesn't stop the node; [`Daemon::stop`] shuts it down gracefully.
#[derive(Debug)]
pub struct Daemon {
    /// The proxy's state.
    state: ProxyState,
    /// The addresses on which it listens.
    addresses: DaemonAddresses,
    /// The settings that it was started with.
    settings: Arc<DaemonSettings>,
    /// The service beside the node, according to the latest settings.
    stated_service: Mutex<Option<ServiceName>>,
    /// The adapter of the installation.
    adapter: NodeAdapter,
    /// Metrics and the service-level burn.
    meter: NodeMeter,
    /// The status reported by its tasks.
    board: StatusBoard,
    /// Drain requests for the local targets.
    drains: DrainRequests,
    /// The claims of idempotency keys; set once the tasks run.
    claims: OnceLock<ClaimTask>,
    /// The allotments of client accounts; set once the tasks run.
    allotments: OnceLock<AllotmentTask>,
    /// The membership; set once the tasks run.
    members: OnceLock<MemberLink>,
    /// Stops accepting connections of callers.
    closing_callers: CancellationToken,
    /// Stops accepting connections of peers.
    closing_peers: CancellationToken,
}

impl Daemon {
    /// Starts a node on the current runtime.
    ///
    /// # Errors
    ///
    /// When an address can't be bound.
    pub async fn start(settings: DaemonSettings) -> Result<Self, DaemonError> {
        Self::start_with(settings, NodeAdapter::default()).await
    }

    /// Starts a node on the current runtime with the adapter of an installation.
    ///
    /// # Errors
    ///
    /// When an address can't be bound.
    pub async fn start_with(
        settings: DaemonSettings,
        adapter: NodeAdapter,
    ) -> Result<Self, DaemonError> {
        if settings.key_proof.is_some() && adapter.document.is_none() {
            return Err(DaemonError::KeyProof);
        }
        let sockets = DaemonSockets::bind(&settings).await?;
        let addresses = sockets.addresses(&settings);
        let tasks = TaskGroup::default();
        let options = proxy_options(&settings, &adapter, addresses.peers)?;
        let state = ProxyState::new(options, tasks);
        apply_caller_service(&state, settings.caller_service.as_ref());
        let hedge_default = HedgePlan::of_fields(settings.hedge_share, settings.hedge_per_s);
        state.routes().set_hedge_default(hedge_default);
        if let Some(plan) = &settings.plan {
            state.apply_plan(Arc::clone(plan));
        }
        let board = StatusBoard::default();
        let daemon = Self {
            meter: NodeMeter::start(&state)?,
            drains: DrainRequests::new(state.clone(), board.clone()),
            board,
            claims: OnceLock::new(),
            allotments: OnceLock::new(),
            members: OnceLock::new(),
            state,
            addresses,
            stated_service: Mutex::new(settings.caller_service.clone()),
            settings: Arc::new(settings),
            adapter,
            closing_callers: CancellationToken::new(),
            closing_peers: CancellationToken::new(),
        };
        daemon.run(sockets);
        daemon.log_start();
        Ok(daemon)
    }

    /// The proxy's state.
    #[must_use]
    pub fn state(&self) -> &ProxyState {
        &self.state
    }

    /// The status reported by its tasks.
    #[must_use]
    pub fn board(&self) -> &StatusBoard {
        &self.board
    }

    /// Number of partitions of the local services whose idempotency keys can't be claimed here at
    /// present.
    #[must_use]
    pub fn unsettled_partitions(&self) -> u32 {
        self.claims.get().map_or(0, ClaimTask::unsettled_partitions)
    }

    /// Metrics.
    #[must_use]
    pub fn metrics(&self) -> &Arc<MetricSet> {
        self.meter.metrics()
    }

    /// Includes the number of lost log lines in the metrics.
    pub fn watch_log(&self, log: LogQueue) {
        self.meter.watch_log(log);
    }

    /// The addresses on which it listens.
    #[must_use]
    pub fn addresses(&self) -> DaemonAddresses {
        self.addresses
    }

    /// Applies the settings that can change while a node runs, which is only the service beside it. A
    /// service that the settings stated before doesn't replace what a backend server has reported since.
    pub fn reload(&self, settings: &DaemonSettings) {
        let service = &settings.caller_service;
        let former = {
            let stated = self.stated_service.lock();
            let mut stated = stated.unwrap_or_else(PoisonError::into_inner);
            replace(&mut *stated, service.clone())
        };
        if former != *service {
            apply_caller_service(&self.state, service.as_ref());
        }
        emit(&operator::SETTINGS_RELOADED, &[]);
    }

    /// Shuts down gracefully: takes no new work, finishes the requests in flight within the timeout
    /// of the settings, tells its peers that it leaves, and stops all tasks.
    pub async fn stop(self) {
        let start = Instant::now();
        let limit = self.settings.stop_timeout;
        emit(
            &operator::STOP_BEGAN,
            &[&self.state.open_requests(), &limit.as_millis()],
        );
        // During the linger time, callers and entries that have not seen yet that the node isn't
        // ready are still served; the backend server becomes unreachable only with the drain.
        self.board.change(|facts| facts.is_stopping = true);
        let schedule = StopSchedule::new(self.state.now(), self.settings.stop_linger, limit);
        self.state.begin_stop(schedule);
        if let Some(allotments) = self.allotments.get() {
            allotments.leave();
        }
        sleep(self.settings.stop_linger.min(limit)).await;
        self.drains.drain_node();
        self.closing_callers.cancel();
        while !self.is_idle() && start.elapsed() < limit {
            sleep(STOP_POLL_INTERVAL).await;
        }
        self.leave().await;
        // Peers close their connections after reading the last stream.
        while self.is_open() && start.elapsed() < limit {
            sleep(STOP_POLL_INTERVAL).await;
        }
        if self.is_open() {
            let aborted = self.state.open_requests();
            emit(
                &operator::STOP_ABORTED_REQUESTS,
                &[&aborted, &limit.as_millis()],
            );
        }
        self.state.tasks().cancel();
        emit(&operator::STOP_ENDED, &[&start.elapsed().as_millis()]);
    }

    /// Tells the peers that the node leaves, and stops accepting their streams.
    async fn leave(&self) {
        if let Some(claims) = self.claims.get() {
            claims.leave(HAND_OVER_TIMEOUT).await;
        }
        for service in self.state.local_services() {
            self.state.withdraw(&service);
        }
        if let Some(members) = self.members.get() {
            members.handle(MemberEvent::Leave);
            members.handle(MemberEvent::DeliverRecord(self.state.recent_entries()));
        }
        self.closing_peers.cancel();
        sleep(LEAVE_SEND_TIME).await;
        let start = Instant::now();
        while !self.is_leave_acked() && start.elapsed() < LEAVE_ACK_TIMEOUT {
            sleep(STOP_POLL_INTERVAL).await;
        }
    }

    /// Whether the entries that sent requests recently have acknowledged that the node leaves.
    fn is_leave_acked(&self) -> bool {
        self.members
            .get()
            .is_none_or(MemberLink::is_record_delivery_done)
    }

    /// Stops all tasks at once, like a crash.
    pub fn kill(self) {
        self.state.tasks().cancel();
    }

    /// Starts all tasks.
    fn run(&self, sockets: DaemonSockets) {
        let state = &self.state;
        let tasks = state.tasks();
        let callers = self.closing_callers.clone();
        tasks.spawn(serve_callers(state.clone(), sockets.callers, callers));
        let peers = self.closing_peers.clone();
        tasks.spawn(serve_peers(state.clone(), sockets.peers, peers));
        self.run_control(sockets.gossip);
        let backends = BackendApi::new(
            state.clone(),
            self.drains.clone(),
            &self.settings,
            self.adapter.read_call,
        );
        tasks.spawn(backends.clone().verify_early_report());
        let answer = move |request| backends.answer(&request);
        tasks.spawn(serve_local(
            tasks.clone(),
            sockets.backends,
            "backends",
            answer,
        ));
        let operators = OperatorApi::new(
            state.clone(),
            self.meter.clone(),
            self.board.clone(),
            self.claims.get().cloned(),
            self.drains.clone(),
            self.members
                .get()
                .cloned()
                .filter(|_| self.searches_fleet()),
        );
        if let Some(listener) = sockets.metrics {
            let operators = operators.clone();
            let answer = move |request| operators.answer_metrics(&request);
            tasks.spawn(serve_local(tasks.clone(), listener, "metrics", answer));
        }
        let answer = move |request| operators.answer(&request);
        tasks.spawn(serve_local(
            tasks.clone(),
            sockets.operators,
            "operators",
            answer,
        ));
    }

    /// Starts the control plane: membership and configuration.
    fn run_control(&self, socket: UdpSocket) {
        let (state, board) = (&self.state, &self.board);
        let (link, notes) = MemberLink::new(state.clone(), board.clone(), socket, &self.settings);
        run_membership(state, &link);
        let mapping = self.adapter.store_mapping;
        let store = StoreLink::new(state, board, &self.settings, mapping);
        if let Some(store) = &store {
            self.meter.watch_store(store.client.clone());
        }
        match self.adapter.document.clone() {
            None => run_rollout(state, &link, board, store.clone(), notes),
            Some(source) => {
                if let Some(store) = store.clone() {
                    SeedTask::start(state, &link, store);
                }
                let settings = &self.settings;
                DocumentTask::start(state, &link, board, settings, store.clone(), source);
            }
        }
        let allotments = AllotmentTask::start(state, &link, self.searches_fleet());
        self.meter.watch_allotments(allotments.clone());
        // Can't fail: the allotments are started only here.
        let _ = self.allotments.set(allotments);
        self.run_rules(store);
        // Can't fail: the membership is started only here.
        let _ = self.members.set(link);
    }

    /// Whether the node searches for the fleet in the store.
    fn searches_fleet(&self) -> bool {
        !self.settings.store.is_empty() && self.adapter.document.is_some()
    }

    /// Starts the checks made before a request is handed over.
    fn run_rules(&self, store: Option<StoreLink>) {
        let takes_keys = self.settings.takes_keys;
        let claims = takes_keys.then(|| ClaimTask::start(&self.state, store));
        let rules = RunRules {
            claims: claims.clone(),
            suspects: SuspectTask::start(&self.state),
            probes: ProbeTask::start(&self.state, self.meter.metrics()),
        };
        rules.install(&self.state);
        PaceTask::start(&self.state);
        if let Some(claims) = claims {
            // Can't fail: the claims are started only here.
            let _ = self.claims.set(claims);
        }
    }

    /// Logs that the node accepts requests.
    fn log_start(&self) {
        let options = self.state.options();
        let (site, domain) = (&options.site, &options.domain);
        let address = self.addresses.callers;
        emit(
            &operator::NODE_STARTED,
            &[&options.node, site, domain, &address],
        );
        emit(
            &operator::OPERATOR_LISTENER_STARTED,
            &[&self.addresses.operators],
        );
    }

    /// Whether a request is in flight, or a response is still being sent to a peer.
    fn is_open(&self) -> bool {
        !self.is_idle() || self.state.peer_connections() > 0
    }

    /// Whether nothing is in flight.
    fn is_idle(&self) -> bool {
        let services = self.state.local_services();
        let mut targets = services
            .iter()
            .filter_map(|service| self.state.host_target(service));
        targets.all(|target| target.is_idle())
            && self.state.open_requests() == 0
            && self.state.caller_connections() == 0
    }
}

/// Sets the service beside the node in the proxy.
pub fn apply_caller_service(state: &ProxyState, service: Option<&ServiceName>) {
    // A name that is not a valid header value is left out.
    state.set_caller_service(service.and_then(|name| name.as_str().parse().ok()));
}

/// The options of the proxy.
fn proxy_options(
    settings: &DaemonSettings,
    adapter: &NodeAdapter,
    peer_address: SocketAddr,
) -> Result<ProxyOptions, DaemonError> {
    let random = || getrandom::u64().map_err(DaemonError::Random);
    Ok(ProxyOptions {
        node: NodeId(random()?),
        domain: settings.domain.clone(),
        site: settings.site.clone(),
        peer_address,
        limits: settings.limits.clone(),
        profile: adapter.profile.clone(),
        takes_keys: settings.takes_keys,
        key_proof: settings
            .key_proof
            .map(|bound| ProofTimes::for_bound(bound).limit),
        log_lines_per_s: settings.log.lines_per_s,
        seed: random()?,
        secret: u128::from(random()?) << 64 | u128::from(random()?),
    })
}
