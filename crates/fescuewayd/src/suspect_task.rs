//! Keeps requests that crash backend servers from crashing more of them.

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

/// How long another host may take to answer.
const CALL_TIME: Duration = Duration::from_millis(200);

/// A backend server that takes no connection within this long after a loss has crashed.
const RECONNECT_TIME: Duration = Duration::from_millis(250);

/// A connection that stays open for this long shows that the backend server lives.
const CUT_TIME: Duration = Duration::from_millis(20);

/// How long the word of a crash may take to reach the other hosts.
const STRIKE_TIME: Duration = Duration::from_millis(10);

/// Longest wait for a suspect that runs alone here.
const TURN_TIME: Duration = Duration::from_millis(500);

/// A host asks others what has struck for this long after its first request. Later it has heard
/// of every crash itself.
const RECALL_TIME: Duration = Duration::from_secs(10);

/// Hosts that are asked at most. Each knows every strike.
const RECALL_HOSTS: usize = 8;

/// How often the wait looks whether that suspect has ended.
const TURN_POLL: Duration = Duration::from_millis(10);

/// The suspects of the services beside this node. Cheap to clone.
#[derive(Clone, Debug)]
pub struct SuspectTask(Arc<TaskState>);

/// What the clones of a [`SuspectTask`] share.
#[derive(Debug)]
struct TaskState {
    /// The path of requests.
    proxy: ProxyState,
    /// Suspects of each service, with whether a loss is being settled.
    lists: Mutex<BTreeMap<ServiceName, (SuspectList, bool)>>,
    /// When each service had its first request here, and which hosts were asked what has struck.
    /// Held while they are asked, so that no request runs before.
    recalls: AsyncMutex<BTreeMap<ServiceName, (MonoTime, BTreeSet<NodeId>)>>,
}

impl SuspectTask {
    /// Starts to answer the other hosts.
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

    /// Settles whether a request may be handed over. Its end goes to [`SuspectTask::finish`].
    pub async fn begin(&self, terms: &RequestTerms) -> bool {
        let (service, fingerprint) = (&terms.service, terms.fingerprint);
        self.recall(service).await;
        let is_run = match self.wait_for_turn(terms).await {
            SuspectDecision::Run => true,
            SuspectDecision::Wait | SuspectDecision::Refuse => false,
            SuspectDecision::RequestTrial(message) => {
                let mut asking = OpenTrial::begin(self, service, fingerprint);
                let reply = self.ask_coordinator(service, fingerprint, &message).await;
                // Without a reply the trial may have been granted, and is given back.
                asking.is_open = reply.is_none();
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

    /// On a host that is new, asks hosts that are there what has struck before.
    async fn recall(&self, service: &ServiceName) {
        let now = self.0.proxy.now();
        let mut recalls = self.0.recalls.lock().await;
        let (since, asked) = recalls
            .entry(service.clone())
            .or_insert_with(|| (now, BTreeSet::new()));
        if now.since(*since) >= RECALL_TIME {
            return;
        }
        let own = self.0.proxy.node();
        let hosts = self.hosts(service).into_iter();
        let unasked = hosts.filter(|(host, _)| *host != own && !asked.contains(host));
        let unasked: Vec<_> = unasked
            .take(RECALL_HOSTS.saturating_sub(asked.len()))
            .collect();
        let mut asking = JoinSet::new();
        for &(_, address) in &unasked {
            let (task, service) = (self.clone(), service.clone());
            asking.spawn(async move { task.recall_from(address, &service).await });
        }
        // A request whose caller leaves meanwhile leaves the asking to the next one.
        asking.join_all().await;
        asked.extend(unasked.iter().map(|(host, _)| *host));
    }

    /// Asks one host what has struck before.
    async fn recall_from(&self, address: SocketAddr, service: &ServiceName) {
        let reply = self.send(address, service, &SuspectMessage::Recall).await;
        if let Some(SuspectReply::Struck(struck)) = reply {
            self.with_list(service, |list, now| list.learn(now, &struck));
        }
    }

    /// Waits while another suspect runs alone here, for a while.
    async fn wait_for_turn(&self, terms: &RequestTerms) -> SuspectDecision {
        let limit = self.0.proxy.now() + TURN_TIME.min(terms.time_left / 2);
        if terms.lost_runs > 0 {
            // Word of the crash, and of what it struck here, may still be on its way.
            sleep(STRIKE_TIME).await;
        }
        loop {
            let step = self.with_list(&terms.service, |list, now| {
                list.begin(now, terms.fingerprint, terms.lost_runs)
            });
            if step != SuspectDecision::Wait || self.0.proxy.now() >= limit {
                return step;
            }
            sleep(TURN_POLL).await;
        }
    }

    /// Whether a request may still be handed over, after it waited for something else.
    pub fn may_run(&self, service: &ServiceName, fingerprint: u64) -> bool {
        self.with_list(service, |list, now| list.may_run(now, fingerprint))
    }

    /// A request is handed over to the backend server.
    pub fn hand_over(&self, service: &ServiceName, fingerprint: u64) {
        self.with_list(service, |list, _now| list.hand_over(fingerprint));
    }

    /// A request that was handed over, or was about to be, ended.
    pub fn finish(&self, service: &ServiceName, fingerprint: u64, end: SuspectEnd) {
        let message = self.with_list(service, |list, _now| list.finish(fingerprint, end));
        if let Some(message) = message {
            self.tell(service, &message);
        }
        if end == SuspectEnd::Lost {
            self.settle_loss(service);
        }
    }

    /// Finds out whether the backend server crashed, once for losses that come together.
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
            let message = {
                let now = task.0.proxy.now();
                let mut lists = task.lists();
                lists.get_mut(&service).and_then(|(list, is_settling)| {
                    *is_settling = false;
                    list.settle_loss(now, is_crash)
                })
            };
            if let Some(message) = message {
                task.tell(&service, &message);
            }
        });
    }

    /// Whether the backend server takes no connection, or cuts one at once.
    async fn is_crashed(&self, service: &ServiceName) -> bool {
        let Some(target) = self.0.proxy.host_target(service) else {
            return true;
        };
        let connecting = TcpStream::connect(target.pool().address());
        let Ok(Ok(stream)) = timeout(RECONNECT_TIME, connecting).await else {
            return true;
        };
        // Nothing comes before a request but the end: the port of a process that exits may stay
        // open for a while.
        timeout(CUT_TIME, stream.readable()).await.is_ok()
    }

    // --- Messages ---

    /// Tells all hosts, or the coordinator, what a list says.
    fn tell(&self, service: &ServiceName, message: &SuspectMessage) {
        if let SuspectMessage::Strike { fingerprints, .. } = message {
            emit(&BACKEND_CRASHED, &[service, &fingerprints.len()]);
        }
        for (_, address) in self.audience(service, message) {
            let (task, service) = (self.clone(), service.clone());
            let message = message.clone();
            self.0.proxy.tasks().spawn(async move {
                let reply = task.send(address, &service, &message).await;
                if let Some(SuspectReply::Noted(running)) = reply {
                    task.tell_running(&service, address, running);
                }
            });
        }
    }

    /// Tells the coordinators which struck requests run at the host at `address`.
    fn tell_running(&self, service: &ServiceName, address: SocketAddr, running: Vec<u64>) {
        let hosts = self.hosts(service);
        let host = hosts.iter().find(|(_, known)| **known == address);
        let Some(host) = host.map(|(host, _)| *host) else {
            return;
        };
        for fingerprint in running {
            self.tell(service, &SuspectMessage::Running { fingerprint, host });
        }
    }

    /// Who is to hear a message: this node handles its own part at once.
    fn audience(
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
        let is_meant = |host: &NodeId| coordinator.is_none_or(|one| one == *host);
        if is_meant(&own) {
            self.with_list(service, |list, now| list.handle(now, message));
        }
        let others = hosts.into_iter().filter(|(host, _)| *host != own);
        others.filter(|(host, _)| is_meant(host)).collect()
    }

    /// Asks the coordinator of a fingerprint, which may be this node.
    async fn ask_coordinator(
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

    /// Sends one message and waits for the reply, `None` when none comes.
    async fn send(
        &self,
        address: SocketAddr,
        service: &ServiceName,
        message: &SuspectMessage,
    ) -> Option<SuspectReply> {
        let body = encode_frame(&(service, message)).ok()?;
        let peers = self.0.proxy.peers();
        let answer = peers.call(address, ControlKind::Suspect, body, CALL_TIME);
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

    /// Lets a service's list act.
    fn with_list<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut SuspectList, MonoTime) -> T,
    ) -> T {
        let now = self.0.proxy.now();
        let mut lists = self.lists();
        let entry = lists
            .entry(service.clone())
            .or_insert_with(|| (SuspectList::new(self.0.proxy.node()), false));
        act(&mut entry.0, now)
    }

    /// The lists, locked.
    fn lists(&self) -> MutexGuard<'_, BTreeMap<ServiceName, (SuspectList, bool)>> {
        self.0.lists.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A trial that is being asked for. Dropped before its reply came, it is given up.
struct OpenTrial<'a> {
    /// Who asks.
    task: &'a SuspectTask,
    /// The service.
    service: &'a ServiceName,
    /// The suspect.
    fingerprint: u64,
    /// Whether the reply is still to come.
    is_open: bool,
}

impl<'a> OpenTrial<'a> {
    /// A trial is asked for.
    fn begin(task: &'a SuspectTask, service: &'a ServiceName, fingerprint: u64) -> Self {
        Self {
            task,
            service,
            fingerprint,
            is_open: true,
        }
    }
}

impl Drop for OpenTrial<'_> {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        let (service, fingerprint) = (self.service, self.fingerprint);
        self.task.with_list(service, |list, now| {
            list.trial_reply(now, fingerprint, None);
        });
        let host = self.task.0.proxy.node();
        let message = SuspectMessage::TrialEnded { fingerprint, host };
        self.task.tell(service, &message);
    }
}
