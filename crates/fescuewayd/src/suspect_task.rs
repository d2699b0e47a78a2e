//! Limits how many backend servers a crashing request can take down.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use fescueway_admission::{SuspectDecision, SuspectEnd, SuspectList, SuspectMessage, SuspectReply};
use fescueway_core::{MonoTime, NodeId, RequestTerms, ServiceName};
use fescueway_proxy::ProxyState;
use fescueway_telemetry::{
    emit,
    events::claim::{BACKEND_CRASHED, SUSPECT_REFUSED},
};
use fescueway_wire::{ControlKind, PREFIX_BYTES, decode_payload, encode_frame};
use tokio::{
    net::TcpStream,
    sync::Mutex as AsyncMutex,
    task::JoinSet,
    time::{sleep, timeout},
};

/// Timeout of a call to another host.
const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// A backend server that accepts no connection within this time after a lost request has crashed.
const RECONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// A connection that stays open for this long shows that the backend server is alive.
const CLOSE_DETECTION_TIME: Duration = Duration::from_millis(20);

/// Time for a strike message to reach the other hosts.
const STRIKE_PROPAGATION_TIME: Duration = Duration::from_millis(10);

/// Longest wait for another suspect that runs exclusively on this host.
const TURN_TIMEOUT: Duration = Duration::from_millis(500);

/// A host queries others for earlier strikes for this long after its first request. After that it
/// has received every strike itself.
const RECALL_PERIOD: Duration = Duration::from_secs(10);

/// Maximum number of hosts to query. Each knows every strike.
const MAX_RECALL_HOSTS: usize = 8;

/// Poll interval while waiting for another suspect to end.
const TURN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The suspects of this node's local services. Cheap to clone.
#[derive(Clone, Debug)]
pub struct SuspectTask(Arc<TaskState>);

/// State shared by the clones of a [`SuspectTask`].
#[derive(Debug)]
struct TaskState {
    /// The proxy.
    proxy: ProxyState,
    /// Suspects of each service, and whether a loss is being investigated.
    lists: Mutex<BTreeMap<ServiceName, (SuspectList, bool)>>,
    /// Time of each service's first request here, and the hosts already queried for strikes. Locked
    /// during the queries, so that no request runs before the replies.
    recalls: AsyncMutex<BTreeMap<ServiceName, (MonoTime, BTreeSet<NodeId>)>>,
}

impl SuspectTask {
    /// Starts answering other hosts.
    pub fn start(proxy: &ProxyState) -> Self {
        let task = Self(Arc::new(TaskState {
            proxy: proxy.clone(),
            lists: Mutex::default(),
            recalls: AsyncMutex::default(),
        }));
        let handler = task.clone();
        let controls = proxy.controls();
        controls.register(ControlKind::Suspect, move |_peer, body| {
            let task = handler.clone();
            async move { task.answer(&body) }
        });
        task
    }

    /// Decides whether a request may be handed over. Its end is passed to [`SuspectTask::finish`].
    pub async fn begin(&self, terms: &RequestTerms) -> bool {
        let (service, fingerprint) = (&terms.service, terms.fingerprint);
        self.recall(service).await;
        let is_run = match self.wait_for_turn(terms).await {
            SuspectDecision::Run => true,
            SuspectDecision::Wait | SuspectDecision::Refuse => false,
            SuspectDecision::RequestTrial(message) => {
                let mut trial = PendingTrial::begin(self, service, fingerprint);
                let reply = self.query_coordinator(service, fingerprint, &message).await;
                // Without a reply the trial may have been granted; dropping the guard releases it.
                trial.is_pending = reply.is_none();
                self.with_list(service, |list, now| {
                    list.trial_reply(now, fingerprint, reply.as_ref())
                })
            }
        };
        if !is_run {
            emit(&SUSPECT_REFUSED, &[service, &format!("{fingerprint:016x}")]);
        }
        is_run
    }

    /// On a new host, queries the other hosts for earlier strikes.
    async fn recall(&self, service: &ServiceName) {
        let now = self.0.proxy.now();
        let mut recalls = self.0.recalls.lock().await;
        let (since, queried) = recalls
            .entry(service.clone())
            .or_insert_with(|| (now, BTreeSet::new()));
        if now.since(*since) >= RECALL_PERIOD {
            return;
        }
        let own = self.0.proxy.node();
        let hosts = self.hosts(service).into_iter();
        let unqueried = hosts.filter(|(host, _)| *host != own && !queried.contains(host));
        let unqueried: Vec<_> = unqueried
            .take(MAX_RECALL_HOSTS.saturating_sub(queried.len()))
            .collect();
        let mut set = JoinSet::new();
        for &(_, address) in &unqueried {
            let (task, service) = (self.clone(), service.clone());
            set.spawn(async move { task.recall_from(address, &service).await });
        }
        // If the caller disconnects here, the next request repeats the queries.
        set.join_all().await;
        queried.extend(unqueried.iter().map(|(host, _)| *host));
    }

    /// Queries one host for earlier strikes.
    async fn recall_from(&self, address: SocketAddr, service: &ServiceName) {
        let reply = self.send(address, service, &SuspectMessage::Recall).await;
        if let Some(SuspectReply::Struck(struck)) = reply {
            self.with_list(service, |list, now| list.learn(now, &struck));
        }
    }

    /// Waits, up to a limit, while another suspect runs exclusively on this host.
    async fn wait_for_turn(&self, terms: &RequestTerms) -> SuspectDecision {
        let limit = self.0.proxy.now() + TURN_TIMEOUT.min(terms.time_left / 2);
        if terms.lost_runs > 0 {
            // The strike message of that crash may still be in flight.
            sleep(STRIKE_PROPAGATION_TIME).await;
        }
        loop {
            let decision = self.with_list(&terms.service, |list, now| {
                list.begin(now, terms.fingerprint, terms.lost_runs)
            });
            if decision != SuspectDecision::Wait || self.0.proxy.now() >= limit {
                return decision;
            }
            sleep(TURN_POLL_INTERVAL).await;
        }
    }

    /// Whether a request may still be handed over after a later check has waited.
    pub fn may_run(&self, service: &ServiceName, fingerprint: u64) -> bool {
        self.with_list(service, |list, now| list.may_run(now, fingerprint))
    }

    /// Records that a request is handed over to the backend server.
    pub fn hand_over(&self, service: &ServiceName, fingerprint: u64) {
        self.with_list(service, |list, _now| list.hand_over(fingerprint));
    }

    /// Records the end of a request for which `begin` returned true.
    pub fn finish(&self, service: &ServiceName, fingerprint: u64, end: SuspectEnd) {
        let message = self.with_list(service, |list, _now| list.finish(fingerprint, end));
        if let Some(message) = message {
            self.notify_hosts(service, &message);
        }
        if end == SuspectEnd::Lost {
            self.settle_loss(service);
        }
    }

    /// Finds out whether the backend server crashed; concurrent losses share one check.
    fn settle_loss(&self, service: &ServiceName) {
        let was_settling = {
            let mut lists = self.lists();
            let entry = lists.get_mut(service);
            entry.is_some_and(|(_, is_settling)| std::mem::replace(is_settling, true))
        };
        if was_settling {
            return;
        }
        let (task, service) = (self.clone(), service.clone());
        self.0.proxy.tasks().spawn(async move {
            let is_crash = task.is_crashed(&service).await;
            let messages = {
                let now = task.0.proxy.now();
                let mut lists = task.lists();
                let list = lists.get_mut(&service);
                list.map_or_else(Vec::new, |(list, is_settling)| {
                    *is_settling = false;
                    list.settle_loss(now, is_crash)
                })
            };
            for message in messages {
                task.notify_hosts(&service, &message);
            }
        });
    }

    /// Whether the backend server refuses a connection or closes it at once.
    async fn is_crashed(&self, service: &ServiceName) -> bool {
        let Some(target) = self.0.proxy.host_target(service) else {
            return true;
        };
        let connect_call = TcpStream::connect(target.pool().address());
        let Ok(Ok(stream)) = timeout(RECONNECT_TIMEOUT, connect_call).await else {
            return true;
        };
        // Before a request the socket becomes readable only when it closes. The port of an exiting
        // process may keep accepting for a while.
        timeout(CLOSE_DETECTION_TIME, stream.readable())
            .await
            .is_ok()
    }

    /// Sends a message to its recipients: all hosts, or the coordinator.
    fn notify_hosts(&self, service: &ServiceName, message: &SuspectMessage) {
        if let SuspectMessage::Strike { fingerprints, .. } = message {
            emit(&BACKEND_CRASHED, &[service, &fingerprints.len()]);
        }
        for (_, address) in self.recipients(service, message) {
            let (task, service) = (self.clone(), service.clone());
            let message = message.clone();
            self.0.proxy.tasks().spawn(async move {
                let reply = task.send(address, &service, &message).await;
                if let Some(SuspectReply::Noted(running)) = reply {
                    task.notify_running(&service, address, running);
                }
            });
        }
    }

    /// Notifies the coordinators of struck requests that run on the host at `address`.
    fn notify_running(&self, service: &ServiceName, address: SocketAddr, running: Vec<u64>) {
        let hosts = self.hosts(service);
        let host = hosts.iter().find(|(_, known)| **known == address);
        let Some(host) = host.map(|(host, _)| *host) else {
            return;
        };
        for fingerprint in running {
            self.notify_hosts(service, &SuspectMessage::Running { fingerprint, host });
        }
    }

    /// The other hosts that a message is for. If this node is a recipient, it handles the message
    /// at once.
    fn recipients(
        &self,
        service: &ServiceName,
        message: &SuspectMessage,
    ) -> Vec<(NodeId, SocketAddr)> {
        let hosts = self.hosts(service);
        let coordinator = match message {
            SuspectMessage::Strike { .. }
            | SuspectMessage::Cleared { .. }
            | SuspectMessage::Recall => None,
            SuspectMessage::Trial { fingerprint, .. }
            | SuspectMessage::Running { fingerprint, .. }
            | SuspectMessage::TrialEnded { fingerprint, .. } => {
                SuspectList::coordinator(*fingerprint, hosts.keys().copied())
            }
        };
        let own = self.0.proxy.node();
        let is_recipient = |host: &NodeId| coordinator.is_none_or(|one| one == *host);
        if is_recipient(&own) {
            self.with_list(service, |list, now| list.handle(now, message));
        }
        let others = hosts.into_iter().filter(|(host, _)| *host != own);
        others.filter(|(host, _)| is_recipient(host)).collect()
    }

    /// Sends a message to the coordinator of a fingerprint, which may be this node.
    async fn query_coordinator(
        &self,
        service: &ServiceName,
        fingerprint: u64,
        message: &SuspectMessage,
    ) -> Option<SuspectReply> {
        let hosts = self.hosts(service);
        let coordinator = SuspectList::coordinator(fingerprint, hosts.keys().copied())?;
        if coordinator == self.0.proxy.node() {
            return Some(self.with_list(service, |list, now| list.handle(now, message)));
        }
        let address = *hosts.get(&coordinator)?;
        self.send(address, service, message).await
    }

    /// Sends one message and waits for the reply; `None` without a reply.
    async fn send(
        &self,
        address: SocketAddr,
        service: &ServiceName,
        message: &SuspectMessage,
    ) -> Option<SuspectReply> {
        let body = encode_frame(&(service, message)).ok()?;
        let peers = self.0.proxy.peers();
        let answer = peers.call(address, ControlKind::Suspect, body, PEER_CALL_TIMEOUT);
        let bytes = answer.await.ok()?;
        decode_payload(bytes.get(PREFIX_BYTES..)?).ok()
    }

    /// Answers a message.
    fn answer(&self, body: &[u8]) -> Result<Vec<u8>, String> {
        let payload = body.get(PREFIX_BYTES..).unwrap_or_default();
        let (service, message): (ServiceName, SuspectMessage) =
            decode_payload(payload).map_err(|error| error.to_string())?;
        if self.0.proxy.host_target(&service).is_none() {
            return Err(format!("{service} is not served here"));
        }
        let reply = self.with_list(&service, |list, now| list.handle(now, &message));
        encode_frame(&reply).map_err(|error| error.to_string())
    }

    /// The hosts of a service, by node.
    fn hosts(&self, service: &ServiceName) -> BTreeMap<NodeId, SocketAddr> {
        let targets = self.0.proxy.routes().targets();
        let records = targets.into_iter().map(|target| target.record);
        let hosts = records.filter(|record| record.service == *service);
        hosts
            .map(|record| (record.node, record.peer_address))
            .collect()
    }

    /// Runs `action` on the suspect list of a service.
    fn with_list<T>(
        &self,
        service: &ServiceName,
        action: impl FnOnce(&mut SuspectList, MonoTime) -> T,
    ) -> T {
        let now = self.0.proxy.now();
        let mut lists = self.lists();
        let entry = lists
            .entry(service.clone())
            .or_insert_with(|| (SuspectList::new(self.0.proxy.node()), false));
        action(&mut entry.0, now)
    }

    /// Locks the lists.
    fn lists(&self) -> MutexGuard<'_, BTreeMap<ServiceName, (SuspectList, bool)>> {
        self.0.lists.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A requested trial. Releases the trial when dropped before the reply arrived.
struct PendingTrial<'a> {
    /// The requesting task.
    task: &'a SuspectTask,
    /// The service.
    service: &'a ServiceName,
    /// The suspect's fingerprint.
    fingerprint: u64,
    /// Whether the reply is outstanding.
    is_pending: bool,
}

impl<'a> PendingTrial<'a> {
    /// Registers a requested trial.
    fn begin(task: &'a SuspectTask, service: &'a ServiceName, fingerprint: u64) -> Self {
        Self {
            task,
            service,
            fingerprint,
            is_pending: true,
        }
    }
}

impl Drop for PendingTrial<'_> {
    fn drop(&mut self) {
        if !self.is_pending {
            return;
        }
        let (service, fingerprint) = (self.service, self.fingerprint);
        self.task.with_list(service, |list, now| {
            list.trial_reply(now, fingerprint, None);
        });
        let host = self.task.0.proxy.node();
        let message = SuspectMessage::TrialEnded { fingerprint, host };
        self.task.notify_hosts(service, &message);
    }
}
