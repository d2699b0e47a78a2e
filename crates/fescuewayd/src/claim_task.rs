//! Claims idempotency keys for the node's own requests, answers the claim requests of other nodes,
//! and maintains the partitions of which this node is a replica.

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

/// Timeout of a call to another node.
const PEER_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between ticks of the partitions.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between ticks while a partition has actions in progress.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Store actions that the partitions of one service request.
type StoreActions = Vec<(PartitionId, ReplicaAction)>;

/// The claims of this node's local services. Cheap to clone.
#[derive(Clone, Debug)]
pub struct ClaimTask(Arc<TaskState>);

/// State shared by the clones of a [`ClaimTask`].
#[derive(Debug)]
struct TaskState {
    /// The proxy.
    proxy: ProxyState,
    /// The partition records in the store. `None` without a store; no key can be claimed then.
    records: Option<ClaimRecords>,
    /// The claim state of each local service.
    nodes: Mutex<BTreeMap<ServiceName, ClaimNode>>,
    /// Requested store actions by service. An item exists while a store call waits for the call
    /// budget or its reply; newer actions replace older ones.
    pending_actions: Mutex<BTreeMap<ServiceName, StoreActions>>,
    /// Whether the node is shutting down.
    is_leaving: Mutex<bool>,
    /// Requests a tick after the busy interval.
    tick_requested: Notify,
    /// Requests a tick at once: a record was read, and its partition takes no claims until the
    /// tick.
    record_learned: Notify,
}

impl ClaimTask {
    /// Starts the task that manages the claims of the node's local services.
    pub fn start(proxy: &ProxyState, store: Option<StoreLink>) -> Self {
        let task = Self(Arc::new(TaskState {
            proxy: proxy.clone(),
            records: store.map(ClaimRecords::new),
            nodes: Mutex::default(),
            pending_actions: Mutex::default(),
            is_leaving: Mutex::default(),
            tick_requested: Notify::new(),
            record_learned: Notify::new(),
        }));
        let handler = task.clone();
        let controls = proxy.controls();
        controls.register(ControlKind::Claim, move |_peer, body| {
            let task = handler.clone();
            async move { task.answer(&body) }
        });
        proxy.tasks().spawn(task.clone().run());
        task
    }

    /// Decides whether a request with `key` may run.
    pub async fn claim(
        &self,
        service: &ServiceName,
        key: KeyDigest,
        purpose: ClaimPurpose,
    ) -> ClaimVerdict {
        let begin_step = self.with_node(service, |node, now| node.begin(now, key, purpose));
        let mut step = begin_step.unwrap_or(ClaimStep::Done(ClaimVerdict::Unavailable, Vec::new()));
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
                    self.spawn_calls(rest);
                    if verdict == ClaimVerdict::Unavailable {
                        self.0.tick_requested.notify_one();
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

    /// Records the end of a granted run; `status` is `None` when its outcome is unknown.
    pub fn finish(&self, service: &ServiceName, attempt_id: ClaimAttemptId, status: Option<u16>) {
        self.with_node(service, |node, _now| node.finish(attempt_id, status));
    }

    /// Cancels a granted run that was not handed over.
    pub fn cancel_run(&self, service: &ServiceName, key: KeyDigest, attempt_id: ClaimAttemptId) {
        let calls = self.with_node(service, |node, now| node.cancel_run(now, key, attempt_id));
        self.spawn_calls(calls.unwrap_or_default());
    }

    /// Hands over the partitions; waits at most `limit`.
    pub async fn leave(&self, limit: Duration) {
        *lock(&self.0.is_leaving) = true;
        self.nodes().values_mut().for_each(ClaimNode::leave);
        self.0.tick_requested.notify_one();
        let hand_over = async {
            while !self.has_left() {
                sleep(BUSY_TICK_INTERVAL).await;
            }
        };
        // The remaining nodes recover partitions that were not handed over by then.
        let _ = timeout(limit, hand_over).await;
    }

    /// Number of partitions of the local services whose keys can't be claimed here yet.
    pub fn unsettled_partitions(&self) -> u32 {
        let plan = self.0.proxy.plan();
        let now = self.0.proxy.now();
        let nodes = self.nodes();
        let services = self.0.proxy.local_services().into_iter();
        let counts = services.map(|service| match nodes.get(&service) {
            Some(node) => node.unsettled_partitions(now),
            None => partition_count(&plan, &service),
        });
        counts.map(u32::from).sum()
    }

    /// Whether no claims would be lost if the node stopped, or no other node could take them over.
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

    /// Sends one message and returns it with the reply; `None` without a reply.
    async fn call(self, call: ClaimCall) -> (ClaimCall, Option<ClaimReply>) {
        let reply = self.send(call.address, &call.request).await;
        (call, reply)
    }

    /// Sends one request and waits for the reply; `None` without a reply.
    async fn send(&self, address: SocketAddr, request: &ClaimRequest) -> Option<ClaimReply> {
        let body = encode_frame(request).ok()?;
        let peers = self.0.proxy.peers();
        let answer = peers.call(address, ControlKind::Claim, body, PEER_CALL_TIMEOUT);
        let bytes = answer.await.ok()?;
        decode_payload(bytes.get(PREFIX_BYTES..)?).ok()
    }

    /// Sends messages without waiting for the replies.
    fn spawn_calls(&self, calls: Vec<ClaimCall>) {
        for call in calls {
            let task = self.clone();
            self.0.proxy.tasks().spawn(async move {
                task.call(call).await;
            });
        }
    }

    /// Answers a claim request.
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
            self.0.tick_requested.notify_one();
        }
        encode_frame(&reply).map_err(|error| error.to_string())
    }

    /// Ticks the partitions periodically.
    async fn run(self) {
        let mut announced = self.0.proxy.announced();
        loop {
            self.add_services();
            let is_busy = self.tick();
            let pause = if is_busy {
                BUSY_TICK_INTERVAL
            } else {
                TICK_INTERVAL
            };
            // A node without backend servers has no partitions.
            if self.nodes().is_empty() && self.0.proxy.local_services().is_empty() {
                if announced.changed().await.is_err() {
                    return;
                }
                continue;
            }
            tokio::select! {
                () = sleep(pause) => {}
                () = self.0.record_learned.notified() => {}
                () = self.0.tick_requested.notified() => sleep(BUSY_TICK_INTERVAL).await,
            }
        }
    }

    /// Creates the claim state of newly announced services. It is kept until the node stops, as
    /// other nodes may need its claims.
    fn add_services(&self) {
        let proxy = &self.0.proxy;
        let plan = proxy.plan();
        for service in proxy.local_services() {
            let known = plan.services.get(&service);
            let Some(plan) = known.filter(|plan| needs_keys(plan)) else {
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

    /// Ticks the partitions of each service. Returns whether any has actions in progress.
    fn tick(&self) -> bool {
        let services: Vec<_> = self.nodes().keys().cloned().collect();
        let mut is_busy = false;
        for service in services {
            let live = self.live_hosts(&service);
            let actions = self.with_node(&service, |node, now| node.tick(now, &live));
            is_busy |= self.execute(&service, actions.unwrap_or_default());
        }
        is_busy || !self.has_live_replicas()
    }

    /// Whether the replicas of every local service's partitions are known and live.
    fn has_live_replicas(&self) -> bool {
        let plan = self.0.proxy.plan();
        let nodes = self.nodes();
        let mut services = self.0.proxy.local_services().into_iter();
        services.all(|service| match nodes.get(&service) {
            Some(node) => node.replicas().iter().all(ClaimReplica::has_live_replicas),
            None => plan.services.contains_key(&service),
        })
    }

    /// Executes the actions of a service's partitions. Returns whether there are any.
    fn execute(&self, service: &ServiceName, actions: Vec<(PartitionId, ReplicaAction)>) -> bool {
        let is_busy = !actions.is_empty();
        let (store_actions, peer_actions): (Vec<_>, Vec<_>) =
            actions.into_iter().partition(|(_, action)| {
                matches!(action, ReplicaAction::Read | ReplicaAction::Propose { .. })
            });
        let tasks = self.0.proxy.tasks();
        if let Some(records) = self.0.records.clone().filter(|_| !store_actions.is_empty()) {
            let before = lock(&self.0.pending_actions).insert(service.clone(), store_actions);
            if before.is_none() {
                tasks.spawn(self.clone().sync_records(records, service.clone()));
            }
        }
        for (partition, action) in peer_actions {
            tasks.spawn(self.clone().exchange_with_peer(partition, action));
        }
        is_busy
    }

    /// Waits for the store's call budget, then executes the store actions that are still due.
    async fn sync_records(self, records: ClaimRecords, service: ServiceName) {
        records.wait_for_budget().await;
        let requested = lock(&self.0.pending_actions).get(&service).cloned();
        let live = self.live_hosts(&service);
        let pending_actions = self.with_node(&service, |node, now| {
            node.due_store_actions(now, &live, requested.unwrap_or_default())
        });
        let pending_actions = pending_actions.unwrap_or_default();
        records.sync(&self, &service, pending_actions).await;
        lock(&self.0.pending_actions).remove(&service);
        self.0.record_learned.notify_one();
    }

    /// Exchanges claims, a record or a standing with another node until no action follows.
    async fn exchange_with_peer(self, partition: PartitionId, action: ReplicaAction) {
        let mut next = Some(action);
        while let Some(action) = next.take() {
            let Some((to, request)) = action.message(&partition) else {
                return;
            };
            let Some(reply) = self.send(to, &request).await else {
                return;
            };
            let next_action = self.with_node(&partition.service, |node, now| {
                node.handle_action_reply(now, &partition, &action, &reply)
            });
            next = next_action.flatten();
        }
    }

    /// The live hosts of a service that are not draining.
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

    /// This node as it appears in partition records.
    fn own_replica(&self) -> Replica {
        let options = self.0.proxy.options();
        Replica {
            node: options.node,
            address: options.peer_address,
            domain: options.domain.clone(),
        }
    }

    /// Runs `action` on the claim state of a service; `None` when there is none.
    pub(crate) fn with_node<T>(
        &self,
        service: &ServiceName,
        action: impl FnOnce(&mut ClaimNode, MonoTime) -> T,
    ) -> Option<T> {
        let now = self.0.proxy.now();
        self.nodes().get_mut(service).map(|node| action(node, now))
    }

    /// The current time.
    pub(crate) fn now(&self) -> MonoTime {
        self.0.proxy.now()
    }

    /// Locks the claim state of all services.
    fn nodes(&self) -> MutexGuard<'_, BTreeMap<ServiceName, ClaimNode>> {
        lock(&self.0.nodes)
    }
}

/// Number of partitions of a service, 0 when all its requests are idempotent.
fn partition_count(plan: &SitePlan, service: &ServiceName) -> u16 {
    let known = plan.services.get(service);
    let keyed = known.filter(|plan| needs_keys(plan));
    keyed.map_or(0, |plan| plan.claim.partitions)
}

/// Whether a service has non-idempotent requests.
fn needs_keys(plan: &ServicePlan) -> bool {
    let mut routes = plan.routes.iter().chain([&plan.default_route]);
    routes.any(|route| route.idempotency == Idempotency::NonIdempotent)
}

/// Locks the value. Ignores poisoning: a panic elsewhere leaves the value consistent.
fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}
