//! One running node.

use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

use fescueway_core::NodeId;
use fescueway_membership::MemberEvent;
use fescueway_proxy::{ProxyOptions, ProxyState, TaskGroup, serve_callers, serve_peers};
use fescueway_telemetry::{LogQueue, MetricSet, emit, events::operator};
use tokio::{
    net::UdpSocket,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

use crate::{
    DaemonError, DaemonSettings,
    backend_api::BackendApi,
    claim_task::ClaimTask,
    daemon_sockets::{DaemonAddresses, DaemonSockets},
    document_task::DocumentTask,
    drain_orders::DrainOrders,
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

/// How often a stopping daemon looks whether its last request is done.
const STOP_POLL: Duration = Duration::from_millis(20);

/// How long handing idempotency keys over may take.
const HAND_OVER_TIME: Duration = Duration::from_secs(2);

/// Time in which the goodbye leaves for the peers.
const GOODBYE_TIME: Duration = Duration::from_millis(100);

/// Time in which entries that sent requests lately may acknowledge the goodbye.
const MOST_GOODBYE_TIME: Duration = Duration::from_millis(500);

/// One running node. Dropping it leaves it running; [`Daemon::stop`] ends it in order.
#[derive(Debug)]
pub struct Daemon {
    /// The path of requests.
    state: ProxyState,
    /// Where it listens.
    addresses: DaemonAddresses,
    /// What it was started with.
    settings: Arc<DaemonSettings>,
    /// The installation's dialects.
    adapter: NodeAdapter,
    /// Metrics and burn.
    meter: NodeMeter,
    /// What its tasks tell operators.
    board: StatusBoard,
    /// Who wants the targets beside it drained.
    orders: DrainOrders,
    /// The idempotency keys that it keeps, once the tasks run.
    claims: OnceLock<ClaimTask>,
    /// Who is there, once the tasks run.
    members: OnceLock<MemberLink>,
    /// Stops taking callers' connections.
    closing_callers: CancellationToken,
    /// Stops taking peers' connections.
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

    /// Starts a node on the current runtime that speaks the dialects of an installation.
    ///
    /// # Errors
    ///
    /// When an address can't be bound.
    pub async fn start_with(
        settings: DaemonSettings,
        adapter: NodeAdapter,
    ) -> Result<Self, DaemonError> {
        let sockets = DaemonSockets::bind(&settings).await?;
        let addresses = sockets.addresses(&settings);
        let tasks = TaskGroup::default();
        let options = proxy_options(&settings, &adapter, addresses.peers)?;
        let state = ProxyState::new(options, tasks);
        tell_caller_service(&state, &settings);
        if let Some(plan) = &settings.plan {
            state.apply_plan(Arc::clone(plan));
        }
        let board = StatusBoard::default();
        let daemon = Self {
            meter: NodeMeter::start(&state)?,
            orders: DrainOrders::new(state.clone(), board.clone()),
            board,
            claims: OnceLock::new(),
            members: OnceLock::new(),
            state,
            addresses,
            settings: Arc::new(settings),
            adapter,
            closing_callers: CancellationToken::new(),
            closing_peers: CancellationToken::new(),
        };
        daemon.run(sockets);
        daemon.tell_start();
        Ok(daemon)
    }

    /// The path of requests.
    #[must_use]
    pub fn state(&self) -> &ProxyState {
        &self.state
    }

    /// What its tasks tell operators.
    #[must_use]
    pub fn board(&self) -> &StatusBoard {
        &self.board
    }

    /// Partitions of the services beside this node whose idempotency keys can't be claimed here
    /// now.
    #[must_use]
    pub fn unsettled_partitions(&self) -> u32 {
        self.claims.get().map_or(0, ClaimTask::unsettled)
    }

    /// Metrics.
    #[must_use]
    pub fn metrics(&self) -> &Arc<MetricSet> {
        self.meter.metrics()
    }

    /// Shows in its metrics how many lines the log leaves out.
    pub fn watch_log(&self, log: LogQueue) {
        self.meter.watch_log(log);
    }

    /// Where it listens.
    #[must_use]
    pub fn addresses(&self) -> DaemonAddresses {
        self.addresses
    }

    /// Takes over from changed settings what can change while a node runs: the service beside it.
    pub fn reload(&self, settings: &DaemonSettings) {
        tell_caller_service(&self.state, settings);
        emit(&operator::SETTINGS_RELOADED, &[]);
    }

    /// Takes no new work, finishes what is in flight within the time that the settings allow,
    /// says goodbye to its peers, and ends.
    pub async fn stop(self) {
        let start = Instant::now();
        let limit = self.settings.stop_timeout;
        emit(
            &operator::STOP_BEGAN,
            &[&self.state.open_requests(), &limit.as_millis()],
        );
        // Callers that have not seen yet that the node isn't ready are served, and so are entries: the
        // backend server is out of reach only from the drain on.
        self.board.change(|facts| facts.is_stopping = true);
        sleep(self.settings.stop_linger.min(limit)).await;
        self.orders.drain_node();
        self.closing_callers.cancel();
        while !self.is_idle() && start.elapsed() < limit {
            sleep(STOP_POLL).await;
        }
        self.leave().await;
        // Peers close their connections once the last stream on them is read.
        while self.is_open() && start.elapsed() < limit {
            sleep(STOP_POLL).await;
        }
        if self.is_open() {
            let cut = self.state.open_requests();
            emit(
                &operator::STOP_ABORTED_REQUESTS,
                &[&cut, &limit.as_millis()],
            );
        }
        self.state.tasks().cancel();
        emit(&operator::STOP_ENDED, &[&start.elapsed().as_millis()]);
    }

    /// Says goodbye to the peers, and takes no new stream of theirs.
    async fn leave(&self) {
        if let Some(claims) = self.claims.get() {
            claims.leave(HAND_OVER_TIME).await;
        }
        for service in self.state.local_services() {
            self.state.withdraw(&service);
        }
        if let Some(members) = self.members.get() {
            members.handle(MemberEvent::Leave);
            members.handle(MemberEvent::DeliverRecord(self.state.recent_entries()));
        }
        self.closing_peers.cancel();
        sleep(GOODBYE_TIME).await;
        let start = Instant::now();
        while !self.is_goodbye_told() && start.elapsed() < MOST_GOODBYE_TIME {
            sleep(STOP_POLL).await;
        }
    }

    /// Whether the entries that sent requests lately have acknowledged the goodbye.
    fn is_goodbye_told(&self) -> bool {
        self.members
            .get()
            .is_none_or(MemberLink::is_record_delivery_done)
    }

    /// Ends at once, as a crash would.
    pub fn kill(self) {
        self.state.tasks().cancel();
    }

    /// Starts every task.
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
            self.orders.clone(),
            &self.settings,
            self.adapter.read_call,
        );
        tasks.spawn(backends.clone().greet());
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
            self.orders.clone(),
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

    /// Starts what the nodes agree on: who is there, and which configuration is in force.
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
                DocumentTask::start(state, &link, board, store.clone(), source);
            }
        }
        self.run_rules(store);
        // Nobody else starts the membership, so that it is set once.
        let _ = self.members.set(link);
    }

    /// Starts what is settled before a request is handed over.
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
            // Nobody else starts the claims, so that they are set once.
            let _ = self.claims.set(claims);
        }
    }

    /// Tells that the node takes requests.
    fn tell_start(&self) {
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

    /// Whether a request is in flight, or an answer on its way to a peer.
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

/// Tells the path which service runs beside the node.
fn tell_caller_service(state: &ProxyState, settings: &DaemonSettings) {
    let service = settings.caller_service.as_ref();
    // A name that is no header value can't be told.
    state.set_caller_service(service.and_then(|name| name.as_str().parse().ok()));
}

/// What the path starts with.
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
        log_lines_per_s: settings.log.lines_per_s,
        seed: random()?,
        secret: u128::from(random()?) << 64 | u128::from(random()?),
    })
}
