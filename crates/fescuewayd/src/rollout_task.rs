//! Puts the newest configuration in force at this node, and reports which one is.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use fescueway_core::{MonoTime, NodeId};
use fescueway_membership::MemberEvent;
use fescueway_proxy::ProxyState;
use fescueway_rollout::{
    ConfigHead, ConfigReply, ConfigRequest, DomainReport, FetchSource, ReportAction, ReportTree,
    RolloutAction, RolloutEvent, RolloutState, driver,
};
use fescueway_telemetry::{emit, events::control};
use fescueway_wire::ControlKind;
use rand_pcg::Pcg64Mcg;
use tokio::{
    sync::{Notify, mpsc},
    time::sleep_until,
};

use crate::{
    StatusBoard,
    member_link::{MemberLink, ReceivedNote},
    store_link::{CALL_TIMEOUT, StoreLink},
    watch_task::WatchTask,
};

/// Capacity of the event queues.
const MAX_QUEUED_EVENTS: usize = 16;

/// Timeout of fetching a configuration from a peer.
const PEER_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before a failed write of a report is retried.
const REPORT_RETRY_PERIOD: Duration = Duration::from_secs(1);

/// A node's rollout. Cheap to clone.
#[derive(Clone, Debug)]
pub struct RolloutTask {
    proxy: ProxyState,
    members: MemberLink,
    board: StatusBoard,
    store: Option<StoreLink>,
    core: Arc<Mutex<RolloutCore>>,
    /// Results of fetches.
    fetched: mpsc::Sender<RolloutEvent>,
    /// Wakes the report loop when the configuration in force has changed.
    report_due: Arc<Notify>,
}

/// The state machines and their random number generator.
#[derive(Debug)]
struct RolloutCore {
    state: RolloutState,
    tree: ReportTree,
    random: Pcg64Mcg,
}

/// Starts the rollout of a node.
pub fn run_rollout(
    proxy: &ProxyState,
    members: &MemberLink,
    board: &StatusBoard,
    store: Option<StoreLink>,
    notes: mpsc::Receiver<ReceivedNote>,
) {
    let (fetched, events) = mpsc::channel(MAX_QUEUED_EVENTS);
    let (heads, received_heads) = mpsc::channel(MAX_QUEUED_EVENTS);
    let options = proxy.options();
    let core = RolloutCore {
        state: RolloutState::new(options.site.clone()),
        tree: ReportTree::new(options.node),
        random: Pcg64Mcg::new(u128::from(options.seed.rotate_left(13)) << 1 | 1),
    };
    let task = RolloutTask {
        proxy: proxy.clone(),
        members: members.clone(),
        board: board.clone(),
        store: store.clone(),
        core: Arc::new(Mutex::new(core)),
        fetched,
        report_due: Arc::default(),
    };
    task.serve_peers();
    let watch = store.map(|store| WatchTask::new(proxy.clone(), members.clone(), store));
    if let Some(watch) = &watch {
        watch.run(heads);
    }
    proxy
        .tasks()
        .spawn(task.clone().run(events, received_heads));
    proxy.tasks().spawn(task.report(watch, notes));
}

impl RolloutTask {
    /// Answers configuration requests of peers.
    fn serve_peers(&self) {
        let task = self.clone();
        let controls = self.proxy.controls();
        controls.register(ControlKind::Config, move |_peer, body| {
            let answer = task.answer(&body);
            async move { answer }
        });
    }

    fn answer(&self, body: &[u8]) -> Result<Vec<u8>, String> {
        let request = ConfigRequest::from_bytes(body).map_err(|error| error.to_string())?;
        let reply = self.core().state.answer(&request);
        let reply = reply.ok_or_else(|| "nothing newer for this site".to_owned())?;
        Ok(reply.to_bytes())
    }

    /// Handles events as they arrive.
    async fn run(
        self,
        mut events: mpsc::Receiver<RolloutEvent>,
        mut heads: mpsc::Receiver<ConfigHead>,
    ) {
        let mut marks = self.members.newest_mark();
        loop {
            let wake = self.proxy.clock().instant(self.core().state.next_wake());
            let event = tokio::select! {
                Some(event) = events.recv() => event,
                Some(head) = heads.recv() => RolloutEvent::StoreHead(head),
                Ok(()) = marks.changed() => RolloutEvent::PeerMark(*marks.borrow_and_update()),
                () = sleep_until(wake) => RolloutEvent::Tick,
            };
            self.handle(event);
        }
    }

    fn handle(&self, event: RolloutEvent) {
        let (actions, status) = {
            let mut core = self.core();
            let RolloutCore {
                state,
                tree,
                random,
            } = &mut *core;
            let actions = state.handle(self.proxy.now(), event, random);
            let status = state.status();
            tree.set_local(status.in_force.revision, &status.fault);
            (actions, status)
        };
        for action in actions {
            self.execute(action);
        }
        let is_behind = status.newest.revision > status.in_force.revision;
        self.proxy.set_plan_behind(is_behind);
        self.report_due.notify_one();
        let now = self.proxy.now();
        self.board.change(|facts| {
            facts.revision = status.newest.revision;
            if facts.in_force != status.in_force.revision {
                facts.in_force_at = now;
            }
            facts.in_force = status.in_force.revision;
            facts.config_error = Some(status.fault).filter(|fault| !fault.is_empty());
        });
    }

    fn execute(&self, action: RolloutAction) {
        match action {
            RolloutAction::PutInForce { plan, mark } => {
                let services = plan.services.len();
                self.proxy.apply_plan(plan);
                self.members.handle(MemberEvent::Mark(mark));
                emit(&control::CONFIG_IN_FORCE, &[&mark.revision, &services]);
            }
            RolloutAction::Rejected { revision, reason } => {
                emit(&control::CONFIG_REJECTED, &[&revision, &reason]);
            }
            RolloutAction::Fetch {
                source,
                request,
                revision,
            } => {
                let task = self.clone();
                let tasks = self.proxy.tasks();
                tasks.spawn(async move { task.fetch(source, request, revision).await });
            }
        }
    }

    async fn fetch(self, source: FetchSource, request: ConfigRequest, revision: u64) {
        let fetch = async {
            match source {
                FetchSource::Peer => self.fetch_from_peer(&request, revision).await,
                FetchSource::Store => self.fetch_from_store(&request).await,
            }
        };
        let event = match fetch.await {
            Ok(reply) => RolloutEvent::Fetched(reply),
            Err(reason) => {
                let from = match source {
                    FetchSource::Peer => "peer",
                    FetchSource::Store => "store",
                };
                emit(&control::CONFIG_FETCH_FAILED, &[&revision, &from, &reason]);
                RolloutEvent::FetchFailed
            }
        };
        // A missing receiver means that the node is stopping.
        let _ = self.fetched.send(event).await;
    }

    async fn fetch_from_peer(
        &self,
        request: &ConfigRequest,
        revision: u64,
    ) -> Result<ConfigReply, String> {
        let address = self.members.node_with_revision(revision);
        let address = address.ok_or_else(|| "no peer of this site has it".to_owned())?;
        let peers = self.proxy.peers();
        let call = peers.call(
            address,
            ControlKind::Config,
            request.to_bytes(),
            PEER_CALL_TIMEOUT,
        );
        let bytes = call.await.map_err(|error| error.to_string())?;
        ConfigReply::from_bytes(&bytes).map_err(|error| error.to_string())
    }

    async fn fetch_from_store(&self, request: &ConfigRequest) -> Result<ConfigReply, String> {
        let Some(store) = &self.store else {
            return Err("no store in the settings".to_owned());
        };
        let held = self.core().state.held_values();
        let fetch = driver::fetch_site(&store.client, &request.site, &held, CALL_TIMEOUT);
        let reply = store.call(fetch).await.map_err(|error| error.to_string())?;
        reply.ok_or_else(|| "the store holds no configuration".to_owned())
    }

    /// Takes part in aggregating the reports of what is in force.
    async fn report(self, watch: Option<WatchTask>, mut notes: mpsc::Receiver<ReceivedNote>) {
        let mut unwritten = None;
        loop {
            let now = self.proxy.now();
            let retry_at = if unwritten.is_some() {
                now + REPORT_RETRY_PERIOD
            } else {
                MonoTime::NEVER
            };
            let due = self.core().tree.next_wake().min(retry_at);
            tokio::select! {
                Some((from, body)) = notes.recv() => self.handle_note(from, &body),
                () = self.report_due.notified() => {}
                () = sleep_until(self.proxy.clock().instant(due)) => {}
            }
            let domain = self.members.domain_nodes();
            let action = self.core().tree.tick(self.proxy.now(), &domain);
            match action {
                Some(ReportAction::Send { to, report }) => {
                    let body = report.to_bytes();
                    self.members.handle(MemberEvent::Note { to, body });
                }
                Some(ReportAction::Write(report)) => unwritten = Some(report),
                None => {}
            }
            if let (Some(watch), Some(report)) = (&watch, &unwritten)
                && watch.write_report(report.clone()).await
            {
                unwritten = None;
            }
        }
    }

    fn handle_note(&self, from: NodeId, body: &[u8]) {
        if let Ok(report) = DomainReport::from_bytes(body) {
            let now = self.proxy.now();
            self.core().tree.on_report(now, from, report);
        }
    }

    /// Locks the state machines.
    fn core(&self) -> MutexGuard<'_, RolloutCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
