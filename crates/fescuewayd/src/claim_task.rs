//! Keeps idempotency keys: asks for the node's own runs, answers other nodes, and sees to the
//! partitions that the node is named for.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use fescueway_config::{ServicePlan, SitePlan};
use fescueway_core::{Idempotency, KeyDigest, MonoTime, NodeId, ServiceName, TargetState};
use fescueway_idempotency::{
    ClaimAttemptId, ClaimCall, ClaimLimits, ClaimNode, ClaimPurpose, ClaimReplica, ClaimReply,
    ClaimRequest, ClaimStep, ClaimVerdict, PartitionId, Replica, ReplicaAction,
};
use fescueway_proxy::ProxyState;
use fescueway_wire::{ControlKind, PREFIX_BYTES, decode_payload, encode_frame};
use tokio::{
    sync::Notify,
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{claim_records::ClaimRecords, store_link::StoreLink};

/// How long another node may take to answer.
const CALL_TIME: Duration = Duration::from_secs(1);

/// Pause between two looks at the partitions.
const TICK_PAUSE: Duration = Duration::from_secs(1);

/// Pause between two looks while something is under way.
const BUSY_PAUSE: Duration = Duration::from_millis(100);

/// What the partitions of one service want of the store.
type StoreActions = Vec<(PartitionId, ReplicaAction)>;

/// The claims of the services beside this node. Cheap to clone.
#[derive(Clone, Debug)]
pub struct ClaimTask(Arc<TaskState>);

/// What the clones of a [`ClaimTask`] share.
#[derive(Debug)]
struct TaskState {
    /// The path of requests.
    proxy: ProxyState,
    /// The records in the store. `None` without a store: then no key can be claimed.
    records: Option<ClaimRecords>,
    /// The node's part in each service beside it.
    nodes: Mutex<BTreeMap<ServiceName, ClaimNode>>,
    /// What is wanted of the store, by service. An entry stands while a call waits for its turn or
    /// its answer; what is wanted meanwhile replaces what was wanted before.
    wanted: Mutex<BTreeMap<ServiceName, StoreActions>>,
    /// Whether the node is leaving.
    is_leaving: Mutex<bool>,
    /// Asks for a look at the partitions soon.
    wake: Notify,
    /// Asks for a look at once: a record was learned, and its partition is closed until then.
    news: Notify,
}

impl ClaimTask {
    /// Starts to keep the claims of the services beside the node.
    pub fn start(proxy: &ProxyState, store: Option<StoreLink>) -> Self {
        let task = Self(Arc::new(TaskState {
            proxy: proxy.clone(),
            records: store.map(ClaimRecords::new),
            nodes: Mutex::default(),
            wanted: Mutex::default(),
            is_leaving: Mutex::default(),
            wake: Notify::new(),
            news: Notify::new(),
        }));
        let handler = task.clone();
        let controls = proxy.controls();
        controls.register(ControlKind::Claim, move |_peer, body| {
            let task = handler.clone();
            async move { task.answer(&body) }
        });
        proxy.tasks().spawn(task.clone().look_after());
        task
    }

    /// Settles whether a request with `key` may run.
    pub async fn claim(
        &self,
        service: &ServiceName,
        key: KeyDigest,
        purpose: ClaimPurpose,
    ) -> ClaimVerdict {
        let begun = self.with_node(service, |node, now| node.begin(now, key, purpose));
        let mut step = begun.unwrap_or(ClaimStep::Done(ClaimVerdict::Unavailable, Vec::new()));
        let mut calls = JoinSet::new();
        loop {
            match step {
                ClaimStep::Wait => {}
                ClaimStep::Send(next) => {
                    for call in next {
                        calls.spawn(self.clone().call(call));
                    }
                }
                ClaimStep::Done(verdict, rest) => {
                    self.send_off(rest);
                    if verdict == ClaimVerdict::Unavailable {
                        self.0.wake.notify_one();
                    }
                    return verdict;
                }
            }
            let Some(joined) = calls.join_next().await else {
                return ClaimVerdict::Unavailable;
            };
            let Ok((call, reply)) = joined else {
                return ClaimVerdict::Unavailable;
            };
            let next = self.with_node(service, |node, now| node.reply(now, &call, reply));
            step = next.unwrap_or(ClaimStep::Done(ClaimVerdict::Unavailable, Vec::new()));
        }
    }

    /// A granted run ended; `None` when its end is not known.
    pub fn finish(&self, service: &ServiceName, ask: ClaimAttemptId, status: Option<u16>) {
        self.with_node(service, |node, _now| node.finish(ask, status));
    }

    /// A granted run was given up before its hand-over.
    pub fn give_up(&self, service: &ServiceName, key: KeyDigest, ask: ClaimAttemptId) {
        let calls = self.with_node(service, |node, now| node.cancel_run(now, key, ask));
        self.send_off(calls.unwrap_or_default());
    }

    /// Hands the partitions over; waits at most `limit`.
    pub async fn leave(&self, limit: Duration) {
        *lock(&self.0.is_leaving) = true;
        self.nodes().values_mut().for_each(ClaimNode::leave);
        self.0.wake.notify_one();
        let handing_over = async {
            while !self.has_left() {
                sleep(BUSY_PAUSE).await;
            }
        };
        // What is not handed over by then is found by the nodes that stay.
        let _ = timeout(limit, handing_over).await;
    }

    /// Count of partitions of the services beside this node whose keys can't be claimed here yet.
    pub fn unsettled(&self) -> u32 {
        let plan = self.0.proxy.plan();
        let now = self.0.proxy.now();
        let nodes = self.nodes();
        let services = self.0.proxy.local_services().into_iter();
        let open = services.map(|service| match nodes.get(&service) {
            Some(node) => node.unsettled_partitions(now),
            None => keyed_partitions(&plan, &service),
        });
        open.map(u32::from).sum()
    }

    /// Whether the node may stop without taking memory with it that nobody else has, or there is
    /// nobody who could take it.
    fn has_left(&self) -> bool {
        let own = self.0.proxy.node();
        let is_alone = |service: &ServiceName| {
            let live = self.live_hosts(service);
            live.keys().all(|host| *host == own)
        };
        let nodes = self.nodes();
        let mut nodes = nodes.iter();
        nodes.all(|(service, node)| node.has_left() || is_alone(service))
    }

    // --- Messages ---

    /// Sends one message and waits for the reply, `None` when none comes.
    async fn call(self, call: ClaimCall) -> (ClaimCall, Option<ClaimReply>) {
        let reply = self.send(call.address, &call.request).await;
        (call, reply)
    }

    /// Sends one message and waits for the reply, `None` when none comes.
    async fn send(&self, address: SocketAddr, request: &ClaimRequest) -> Option<ClaimReply> {
        let body = encode_frame(request).ok()?;
        let peers = self.0.proxy.peers();
        let answer = peers.call(address, ControlKind::Claim, body, CALL_TIME);
        let bytes = answer.await.ok()?;
        decode_payload(bytes.get(PREFIX_BYTES..)?).ok()
    }

    /// Sends messages whose replies nobody waits for.
    fn send_off(&self, calls: Vec<ClaimCall>) {
        for call in calls {
            let task = self.clone();
            self.0.proxy.tasks().spawn(async move {
                task.call(call).await;
            });
        }
    }

    /// Answers a message.
    fn answer(&self, body: &[u8]) -> Result<Vec<u8>, String> {
        let payload = body.get(PREFIX_BYTES..).unwrap_or_default();
        let request: ClaimRequest = decode_payload(payload).map_err(|error| error.to_string())?;
        let service = &request.partition().service;
        let reply = self.with_node(service, |node, now| node.handle(now, &request));
        let reply = reply.unwrap_or(ClaimReply::Unavailable);
        if matches!(
            request,
            ClaimRequest::Doubt { .. } | ClaimRequest::Learn { .. }
        ) {
            self.0.wake.notify_one();
        }
        encode_frame(&reply).map_err(|error| error.to_string())
    }

    // --- Partitions ---

    /// Looks after the partitions, again and again.
    async fn look_after(self) {
        let mut announced = self.0.proxy.announced();
        loop {
            self.begin_services();
            let is_busy = self.tick();
            let pause = if is_busy { BUSY_PAUSE } else { TICK_PAUSE };
            // A node without backend servers has nothing to look after.
            if self.nodes().is_empty() && self.0.proxy.local_services().is_empty() {
                if announced.changed().await.is_err() {
                    return;
                }
                continue;
            }
            tokio::select! {
                () = sleep(pause) => {}
                () = self.0.news.notified() => {}
                () = self.0.wake.notified() => sleep(BUSY_PAUSE).await,
            }
        }
    }

    /// Takes a part in services whose backend server announced itself. A part once taken is kept
    /// until the node stops, as its memory may be needed.
    fn begin_services(&self) {
        let proxy = &self.0.proxy;
        let plan = proxy.plan();
        for service in proxy.local_services() {
            let known = plan.services.get(&service);
            let Some(plan) = known.filter(|plan| is_keyed(plan)) else {
                continue;
            };
            let mut nodes = self.nodes();
            if nodes.contains_key(&service) {
                continue;
            }
            let limits = ClaimLimits {
                retention: plan.claim.retention,
                ..ClaimLimits::default()
            };
            let mut node = ClaimNode::new(
                self.own_replica(),
                service.clone(),
                plan.claim.partitions,
                limits,
                proxy.now(),
            );
            if *lock(&self.0.is_leaving) {
                node.leave();
            }
            nodes.insert(service, node);
        }
    }

    /// Lets each service look after its partitions. Returns whether something is under way.
    fn tick(&self) -> bool {
        let services: Vec<_> = self.nodes().keys().cloned().collect();
        let mut is_busy = false;
        for service in services {
            let live = self.live_hosts(&service);
            let actions = self.with_node(&service, |node, now| node.tick(now, &live));
            is_busy |= self.act(&service, actions.unwrap_or_default());
        }
        is_busy || !self.is_settled()
    }

    /// Whether the node knows who keeps the keys of every service beside it, and that they are there.
    fn is_settled(&self) -> bool {
        let plan = self.0.proxy.plan();
        let nodes = self.nodes();
        let mut services = self.0.proxy.local_services().into_iter();
        services.all(|service| match nodes.get(&service) {
            Some(node) => node.replicas().iter().all(ClaimReplica::has_live_replicas),
            None => plan.services.contains_key(&service),
        })
    }

    /// Does what the partitions of a service want. Returns whether that is anything.
    fn act(&self, service: &ServiceName, actions: Vec<(PartitionId, ReplicaAction)>) -> bool {
        let is_busy = !actions.is_empty();
        let (stored, sent): (Vec<_>, Vec<_>) = actions.into_iter().partition(|(_, action)| {
            matches!(action, ReplicaAction::Read | ReplicaAction::Propose { .. })
        });
        let tasks = self.0.proxy.tasks();
        if let Some(records) = self.0.records.clone().filter(|_| !stored.is_empty()) {
            let before = lock(&self.0.wanted).insert(service.clone(), stored);
            if before.is_none() {
                tasks.spawn(self.clone().settle(records, service.clone()));
            }
        }
        for (partition, action) in sent {
            tasks.spawn(self.clone().exchange(partition, action));
        }
        is_busy
    }

    /// Calls the store when it is the node's turn, for what is wanted by then.
    async fn settle(self, records: ClaimRecords, service: ServiceName) {
        records.turn().await;
        let asked = lock(&self.0.wanted).get(&service).cloned();
        let live = self.live_hosts(&service);
        let wanted = self.with_node(&service, |node, now| {
            node.due_store_actions(now, &live, asked.unwrap_or_default())
        });
        let wanted = wanted.unwrap_or_default();
        records.settle(&self, &service, wanted).await;
        lock(&self.0.wanted).remove(&service);
        self.0.news.notify_one();
    }

    /// Exchanges memory, a record or a standing with another node, until there is no more.
    async fn exchange(self, partition: PartitionId, action: ReplicaAction) {
        let mut next = Some(action);
        while let Some(action) = next.take() {
            let Some((to, request)) = action.message(&partition) else {
                return;
            };
            let Some(reply) = self.send(to, &request).await else {
                return;
            };
            let answered = self.with_node(&partition.service, |node, now| {
                node.handle_action_reply(now, &partition, &action, &reply)
            });
            next = answered.flatten();
        }
    }

    /// The hosts of a service that are up and not leaving.
    fn live_hosts(&self, service: &ServiceName) -> BTreeMap<NodeId, Replica> {
        let targets = self.0.proxy.routes().targets();
        let records = targets.into_iter().map(|target| target.record);
        let live = records
            .filter(|record| record.service == *service && record.state != TargetState::Draining);
        let replica = |record: fescueway_core::TargetRecord| Replica {
            node: record.node,
            address: record.peer_address,
            domain: record.domain,
        };
        live.map(|record| (record.node, replica(record))).collect()
    }

    /// This node, as a record names it.
    fn own_replica(&self) -> Replica {
        let options = self.0.proxy.options();
        Replica {
            node: options.node,
            address: options.peer_address,
            domain: options.domain.clone(),
        }
    }

    /// Lets the node's part in a service act, `None` when it has none.
    pub(crate) fn with_node<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut ClaimNode, MonoTime) -> T,
    ) -> Option<T> {
        let now = self.0.proxy.now();
        self.nodes().get_mut(service).map(|node| act(node, now))
    }

    /// The time.
    pub(crate) fn now(&self) -> MonoTime {
        self.0.proxy.now()
    }

    /// The node's parts, locked.
    fn nodes(&self) -> MutexGuard<'_, BTreeMap<ServiceName, ClaimNode>> {
        lock(&self.0.nodes)
    }
}

/// Count of partitions of a service, 0 when all its requests may repeat.
fn keyed_partitions(plan: &SitePlan, service: &ServiceName) -> u16 {
    let known = plan.services.get(service);
    let keyed = known.filter(|plan| is_keyed(plan));
    keyed.map_or(0, |plan| plan.claim.partitions)
}

/// Whether a service has requests that may not repeat.
fn is_keyed(plan: &ServicePlan) -> bool {
    let mut routes = plan.routes.iter().chain([&plan.default_route]);
    routes.any(|route| route.idempotency == Idempotency::NonIdempotent)
}

/// The value, locked. A panic elsewhere leaves it whole.
fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}
