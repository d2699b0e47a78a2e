//! Enforces the allotments of client accounts: asks the owners of accounts for tokens, and answers as the
//! owner of some.

use std::{
    collections::BTreeMap,
    mem::replace,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use fescueway_allotment::{
    AccountAnswer, AccountQuestion, AllotmentEntry, AllotmentOwner, EntryDecision, FleetView,
    OwnerQuestion, WaitEnd, WaitId,
};
use fescueway_config::{AccountPlan, AllotmentPlan, SitePlan};
use fescueway_core::{AccountName, MonoTime, NodeId, Priority};
use fescueway_proxy::{AllotmentPermit, ProxyState};
use fescueway_telemetry::{
    AllotmentCounts, SourceRateLimit, emit,
    events::control::{ALLOTMENT_SHARES_BEGAN, ALLOTMENT_SHARES_ENDED, ALLOTMENT_SPENT},
};
use fescueway_wire::{ControlKind, PREFIX_BYTES, decode_payload, encode_frame};
use tokio::{
    sync::oneshot,
    time::{sleep, timeout},
};

use crate::member_link::MemberLink;

/// Timeout of a question to an owner, and longest time that a request waits.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval of the updates of the view of the fleet.
const UPDATE_PERIOD: Duration = Duration::from_millis(200);

/// Updates after which state that is not in use is dropped.
const SWEEP_UPDATES: u32 = 5;

/// Time after which a node that does not search for the fleet in the store, and knows no other node, is
/// taken to be alone.
const SEARCH_TIME: Duration = Duration::from_secs(3);

/// Result for a request that has waited. The error is the time after which it may come again.
type WaitResult = Result<(), Duration>;

/// Enforces the allotments of client accounts. Cheap to clone.
#[derive(Clone)]
pub struct AllotmentTask(Arc<TaskState>);

/// State shared by the clones of an [`AllotmentTask`].
struct TaskState {
    /// The proxy.
    proxy: ProxyState,
    /// The membership.
    members: MemberLink,
    /// Whether the node searches for the fleet in the store, and asks other nodes whether they know it.
    is_searching: bool,
    /// The decisions.
    core: Mutex<TaskCore>,
    /// Limits the log lines about refused requests.
    spent: SourceRateLimit<AccountName>,
}

/// The decisions, and the requests that wait for them.
struct TaskCore {
    /// Who owns an account.
    view: FleetView,
    /// The buckets of accounts that this node owns.
    owner: AllotmentOwner,
    /// The requests of this node's callers.
    entry: AllotmentEntry,
    /// Requests that wait.
    waiting: BTreeMap<WaitId, oneshot::Sender<WaitResult>>,
    /// Peer addresses of the site's nodes.
    addresses: BTreeMap<NodeId, SocketAddr>,
    /// Accounts that used a fixed share at the last update.
    shares: usize,
}

impl AllotmentTask {
    /// Starts the task. `is_searching` tells whether the node searches for the fleet in the store.
    pub fn start(proxy: &ProxyState, members: &MemberLink, is_searching: bool) -> Self {
        let node = proxy.node();
        let task = Self(Arc::new(TaskState {
            proxy: proxy.clone(),
            members: members.clone(),
            is_searching,
            core: Mutex::new(TaskCore {
                view: FleetView::new(node),
                owner: AllotmentOwner::default(),
                entry: AllotmentEntry::new(node.0),
                waiting: BTreeMap::new(),
                addresses: BTreeMap::new(),
                shares: 0,
            }),
            spent: SourceRateLimit::new(&ALLOTMENT_SPENT),
        }));
        let handler = task.clone();
        proxy
            .controls()
            .register(ControlKind::Allotment, move |_peer, body| {
                let answer = handler.answer(&body);
                async move { answer }
            });
        let checker = task.clone();
        proxy.allotments().install(move |account, priority| {
            let checker = checker.clone();
            async move { checker.check(&account, priority).await }
        });
        proxy.tasks().spawn(task.clone().follow_members());
        task
    }

    /// Releases this node's accounts to their next owners, since the node leaves.
    pub fn leave(&self) {
        let messages = {
            let now = self.now();
            let mut core = self.core();
            let TaskCore { view, owner, .. } = &mut *core;
            owner.release_all(now, view)
        };
        for (to, questions) in messages {
            let task = self.clone();
            self.0.proxy.tasks().spawn(async move {
                // If it fails, the next owner starts with a nearly empty bucket.
                let _ = task.ask(to, &questions).await;
            });
        }
    }

    /// Counts of decisions since the start.
    #[must_use]
    pub fn counts(&self) -> AllotmentCounts {
        let core = self.core();
        let totals = core.entry.totals();
        AllotmentCounts {
            admitted: totals.admitted,
            refused: totals.refused,
            admitted_by_share: totals.admitted_by_share,
            refused_by_share: totals.refused_by_share,
            questions: totals.questions,
            shares: core.shares as u64,
        }
    }

    /// Decides on a request of an account. The error is the time after which it may come again.
    async fn check(
        &self,
        account: &Arc<AccountPlan>,
        priority: Priority,
    ) -> Result<AllotmentPermit, Duration> {
        let Some(plan) = account.allotment else {
            return Ok(AllotmentPermit::default());
        };
        let name = &account.name;
        let result = match self.request(name, &plan, priority) {
            (EntryDecision::Admitted, _) => Ok(()),
            (EntryDecision::Refused(retry_after), _) => Err(retry_after),
            (EntryDecision::Wait(id), receiver) => {
                let _guard = WaitGuard {
                    task: self,
                    name,
                    id,
                };
                self.send();
                self.wait((name, &plan), id, receiver).await
            }
        };
        self.send();
        let now = self.now();
        if let Err(retry_after) = result {
            let values: [&dyn std::fmt::Display; 3] =
                [name, &plan.rate_per_s, &retry_after.as_millis()];
            self.0.spent.emit(now, name.clone(), &values);
            return Err(retry_after);
        }
        let (task, name) = (self.clone(), name.clone());
        Ok(AllotmentPermit::new(move || {
            let returned_at = task.now();
            task.core().entry.give_back(returned_at, &name, now);
        }))
    }

    /// Decides on a request, and registers it if it has to wait.
    fn request(
        &self,
        name: &AccountName,
        plan: &AllotmentPlan,
        priority: Priority,
    ) -> (EntryDecision, oneshot::Receiver<WaitResult>) {
        let (sender, receiver) = oneshot::channel();
        let now = self.now();
        let mut core = self.core();
        let TaskCore { view, entry, .. } = &mut *core;
        let decision = entry.request(now, view, (name, plan), priority);
        if let EntryDecision::Wait(id) = decision {
            core.waiting.insert(id, sender);
        }
        (decision, receiver)
    }

    /// Waits for the decision on a request.
    async fn wait(
        &self,
        (name, plan): (&AccountName, &AllotmentPlan),
        id: WaitId,
        mut receiver: oneshot::Receiver<WaitResult>,
    ) -> WaitResult {
        if let Ok(Ok(result)) = timeout(ANSWER_TIMEOUT, &mut receiver).await {
            return result;
        }
        let now = self.now();
        let mut core = self.core();
        let TaskCore { view, entry, .. } = &mut *core;
        match entry.give_up(now, view, (name, plan), id) {
            Some(EntryDecision::Admitted) => Ok(()),
            Some(EntryDecision::Refused(retry_after)) => Err(retry_after),
            // Decided just now.
            Some(EntryDecision::Wait(..)) | None => {
                receiver.try_recv().unwrap_or(Err(ANSWER_TIMEOUT))
            }
        }
    }

    /// Sends the messages that are due.
    fn send(&self) {
        loop {
            let now = self.now();
            let questions = {
                let mut core = self.core();
                let TaskCore { view, entry, .. } = &mut *core;
                entry.next_questions(now, view)
            };
            if questions.is_empty() {
                return;
            }
            for (owner, question) in questions {
                if owner == self.0.proxy.node() {
                    let answers = self.decide(&question.accounts);
                    self.finish(owner, &question, Some(&answers));
                } else {
                    let task = self.clone();
                    self.0.proxy.tasks().spawn(async move {
                        let answers = task.ask(owner, &question.accounts).await;
                        task.finish(owner, &question, answers.as_deref());
                        task.send();
                    });
                }
            }
        }
    }

    /// Asks the owner on another node; `None` without an answer.
    async fn ask(
        &self,
        owner: NodeId,
        questions: &[AccountQuestion],
    ) -> Option<Vec<AccountAnswer>> {
        let address = self.core().addresses.get(&owner).copied()?;
        let body = encode_frame(&questions).ok()?;
        let peers = self.0.proxy.peers();
        let call = peers.call(address, ControlKind::Allotment, body, ANSWER_TIMEOUT);
        let bytes = call.await.ok()?;
        decode_payload(bytes.get(PREFIX_BYTES..)?).ok()
    }

    /// Handles the answers to a question, or that there are none.
    fn finish(&self, owner: NodeId, question: &OwnerQuestion, answers: Option<&[AccountAnswer]>) {
        let now = self.now();
        let site = self.0.proxy.plan();
        let plan_of = |name: &AccountName| allotment_of(&site, name);
        let mut core = self.core();
        let TaskCore { view, entry, .. } = &mut *core;
        let asked = (owner, question);
        let ends = match answers {
            Some(answers) => entry.answered(now, view, asked, answers, plan_of),
            None => entry.failed(now, view, asked, plan_of),
        };
        for WaitEnd { id, result } in ends {
            if let Some(sender) = core.waiting.remove(&id) {
                // Fails if the caller has just left; its token is lost.
                let _ = sender.send(result);
            }
        }
    }

    /// Answers a message of another node.
    fn answer(&self, body: &[u8]) -> Result<Vec<u8>, String> {
        let payload = body.get(PREFIX_BYTES..).unwrap_or_default();
        let questions: Vec<AccountQuestion> =
            decode_payload(payload).map_err(|error| error.to_string())?;
        encode_frame(&self.decide(&questions)).map_err(|error| error.to_string())
    }

    /// Answers questions as the owner.
    fn decide(&self, questions: &[AccountQuestion]) -> Vec<AccountAnswer> {
        let (now, site) = (self.now(), self.0.proxy.plan());
        let mut core = self.core();
        let TaskCore { view, owner, .. } = &mut *core;
        let answers = questions.iter().map(|question| {
            // An account without a limit here has another one at the entry, which is newer or older.
            let plan = allotment_of(&site, &question.account);
            plan.map_or(AccountAnswer::NotGranting, |plan| {
                owner.answer(now, view, &plan, question)
            })
        });
        answers.collect()
    }

    /// Keeps the view of the fleet up to date.
    async fn follow_members(self) {
        let mut updates = 0_u32;
        loop {
            self.update_view();
            updates = updates.wrapping_add(1);
            if updates.is_multiple_of(SWEEP_UPDATES) {
                self.sweep();
            }
            self.send();
            sleep(UPDATE_PERIOD).await;
        }
    }

    /// Takes over the nodes that the membership knows.
    fn update_view(&self) {
        let now = self.now();
        let members = &self.0.members;
        let has_searched = if self.0.is_searching {
            members.is_fleet_known()
        } else {
            members.is_joined() || now.since(MonoTime::ZERO) >= SEARCH_TIME
        };
        let nodes = members.site_nodes();
        let mut core = self.core();
        let live = nodes
            .iter()
            .map(|(node, _, is_suspect)| (*node, *is_suspect));
        core.view.update(now, has_searched, live);
        let addresses = nodes.into_iter();
        core.addresses = addresses
            .map(|(node, address, _)| (node, address))
            .collect();
    }

    /// Drops what is not in use, and reports whether fixed shares are in use.
    fn sweep(&self) {
        let now = self.now();
        let site = self.0.proxy.plan();
        let mut core = self.core();
        let TaskCore {
            view, owner, entry, ..
        } = &mut *core;
        owner.sweep(now, |name| allotment_of(&site, name));
        entry.sweep(now, view);
        let shares = entry.share_count();
        let nodes = view.max_count();
        let before = replace(&mut core.shares, shares);
        if before == 0 && shares > 0 {
            emit(&ALLOTMENT_SHARES_BEGAN, &[&shares, &nodes]);
        } else if before > 0 && shares == 0 {
            emit(&ALLOTMENT_SHARES_ENDED, &[]);
        }
    }

    /// Current time. It does not advance while the VM is suspended.
    fn now(&self) -> MonoTime {
        self.0.proxy.now()
    }

    /// Locks the decisions.
    fn core(&self) -> MutexGuard<'_, TaskCore> {
        self.0.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl std::fmt::Debug for AllotmentTask {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AllotmentTask").finish_non_exhaustive()
    }
}

/// A request that waits. Withdraws it when dropped, which is when it is decided or its caller has left.
struct WaitGuard<'a> {
    /// The task.
    task: &'a AllotmentTask,
    /// The account.
    name: &'a AccountName,
    /// The request.
    id: WaitId,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut core = self.task.core();
        core.entry.cancel(self.name, self.id);
        core.waiting.remove(&self.id);
    }
}

/// The limit of an account in a configuration.
fn allotment_of(site: &SitePlan, name: &AccountName) -> Option<AllotmentPlan> {
    let accounts = site.accounts.as_ref()?;
    accounts.accounts().get(name)?.allotment
}
