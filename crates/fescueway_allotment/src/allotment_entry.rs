//! An entry's decisions on the requests of accounts with an allotment.

mod owner_answers;
mod share_decisions;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fescueway_config::AllotmentPlan;
use fescueway_core::{AccountName, MonoTime, NodeId, Priority};

use crate::{
    AccountAnswer, AllotmentTotals, EntryDecision, FleetView, OwnerQuestion, ReleasedBucket,
    TOKEN_LIFETIME, WaitEnd, WaitId,
    entry_account::{EntryAccount, WaitingRequest},
    fleet_view::mix,
    owner_link::OwnerLink,
    priority_class::class_of,
};

/// Time without requests after which an account's state is dropped.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// Time without messages after which the state of an owner is dropped.
const OWNER_IDLE_TIME: Duration = Duration::from_secs(10);

/// Shortest time between two messages that only fetch tokens in advance.
const TOP_UP_PERIOD: Duration = Duration::from_millis(100);

/// Time for which an owner that another node has named is preferred. By then the view of the fleet
/// names it too.
const MOVED_TIME: Duration = Duration::from_secs(2);

/// How often a waiting request is sent on: to the former owner, if the entry learned of the new one
/// first, and from there to the new one.
const MAX_REDIRECTS: u8 = 2;

/// Time until an owner that may not grant is asked again.
const DENIED_TIME: Duration = Duration::from_millis(200);

/// An entry's decisions on the requests of accounts with an allotment.
///
/// After each call, [`Self::next_questions`] returns the messages to send now. The answer of each, or its
/// failure, is given back with [`Self::answered`] or [`Self::failed`].
#[derive(Clone, Debug)]
pub struct AllotmentEntry {
    /// Accounts in use.
    accounts: BTreeMap<AccountName, EntryAccount>,
    /// Owners in use.
    owners: BTreeMap<NodeId, OwnerLink>,
    /// Owners to which a message is due.
    ready: BTreeSet<NodeId>,
    /// The next identity of a waiting request.
    next_id: WaitId,
    /// Counts of decisions.
    totals: AllotmentTotals,
    /// State of the pseudorandom numbers that spread retries.
    random: u64,
}

impl AllotmentEntry {
    /// Creates an entry without accounts in use. `seed` is to differ between nodes.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self {
            accounts: BTreeMap::new(),
            owners: BTreeMap::new(),
            ready: BTreeSet::new(),
            next_id: 0,
            totals: AllotmentTotals {
                admitted: 0,
                refused: 0,
                admitted_by_share: 0,
                refused_by_share: 0,
                questions: 0,
            },
            random: seed,
        }
    }

    /// Decides on a request that has arrived.
    pub fn request(
        &mut self,
        now: MonoTime,
        view: &FleetView,
        (name, plan): (&AccountName, &AllotmentPlan),
        priority: Priority,
    ) -> EntryDecision {
        let class = class_of(priority);
        let account = self.accounts.entry(name.clone()).or_default();
        account.used_at = now;
        account.demand.record(now, 1);
        account.expire_tokens(now);
        let owner = owner_of(account, now, view, name);
        let is_failed = owner
            .and_then(|owner| self.owners.get(&owner))
            .is_some_and(|link| link.failed_since.is_some());
        if account.is_blocked(now, class) {
            account.refused[class] = account.refused[class].saturating_add(1);
            return self.refuse(now, name, plan);
        }
        if account.tokens.try_take() {
            let is_low = account.tokens.count() < account.wanted(now) / 2;
            if let Some(owner) = owner.filter(|_owner| is_low) {
                self.top_up(now, owner, name);
            }
            self.totals.admitted += 1;
            return EntryDecision::Admitted;
        }
        let Some(owner) = owner else {
            return self.decide_by_share(now, view, (name, plan));
        };
        if is_failed || now < account.denied_until {
            self.set_due(owner, name);
            return self.decide_by_share(now, view, (name, plan));
        }
        let id = self.next_id;
        self.next_id += 1;
        account.waits.push(WaitingRequest {
            id,
            class: class as u8,
            is_asked: false,
        });
        self.set_due(owner, name);
        EntryDecision::Wait(id)
    }

    /// The messages to send now, each with the owner to which it goes, which may be this node.
    pub fn next_questions(
        &mut self,
        now: MonoTime,
        view: &FleetView,
    ) -> Vec<(NodeId, OwnerQuestion)> {
        let mut questions = Vec::new();
        let mut others = Vec::new();
        let ready: Vec<_> = self.ready.iter().copied().collect();
        for owner in ready {
            let Some(link) = self.owners.get_mut(&owner).filter(|link| link.may_ask(now)) else {
                continue;
            };
            self.ready.remove(&owner);
            let is_remote = owner != view.own();
            let due = std::mem::take(&mut link.due);
            let mut asked = Vec::with_capacity(due.len());
            for name in due {
                let Some(account) = self.accounts.get_mut(&name) else {
                    continue;
                };
                match owner_of(account, now, view, &name) {
                    Some(current) if current == owner => {
                        asked.push(account.question(now, &name, is_remote));
                    }
                    Some(current) => others.push((current, name)),
                    None => {}
                }
            }
            if asked.is_empty() {
                continue;
            }
            if let Some(link) = self.owners.get_mut(&owner) {
                link.is_asked = true;
                link.sent_at = Some(now);
            }
            self.totals.questions += u64::from(is_remote);
            let question = OwnerQuestion {
                sent_at: now,
                accounts: asked,
            };
            questions.push((owner, question));
        }
        if others.is_empty() {
            return questions;
        }
        // Another node has become the owner since they were due.
        for (owner, name) in others {
            self.set_due(owner, &name);
        }
        questions.extend(self.next_questions(now, view));
        questions
    }

    /// Handles the answers of an owner to `question`, in the same order. Returns the decisions on
    /// waiting requests. `plan_of` returns the limit of an account.
    pub fn answered(
        &mut self,
        now: MonoTime,
        view: &FleetView,
        (owner, question): (NodeId, &OwnerQuestion),
        answers: &[AccountAnswer],
        plan_of: impl Fn(&AccountName) -> Option<AllotmentPlan>,
    ) -> Vec<WaitEnd> {
        let is_late = now.since(question.sent_at) >= TOKEN_LIFETIME;
        if is_late || answers.len() != question.accounts.len() {
            return self.failed(now, view, (owner, question), plan_of);
        }
        if let Some(link) = self.owners.get_mut(&owner) {
            link.is_asked = false;
            link.failed_since = None;
            if !link.due.is_empty() {
                self.ready.insert(owner);
            }
        }
        let mut ends = Vec::new();
        for (asked, answer) in question.accounts.iter().zip(answers) {
            let name = &asked.account;
            let Some(plan) = plan_of(name) else {
                // The account no longer has a limit.
                let waits = self.accounts.remove(name).map(|account| account.waits);
                let waits = waits.into_iter().flatten();
                ends.extend(waits.map(|wait| WaitEnd {
                    id: wait.id,
                    result: Ok(()),
                }));
                continue;
            };
            match answer {
                AccountAnswer::Decided { .. } => {
                    self.decided(now, (name, &plan), owner, question, answer, &mut ends);
                }
                AccountAnswer::Moved { to, released } => {
                    let released = released.map(|tokens| ReleasedBucket { by: owner, tokens });
                    let step = (owner, *to, released);
                    self.moved(now, view, (name, &plan), step, &mut ends);
                }
                AccountAnswer::NotGranting => {
                    self.denied(now, view, (name, &plan), &mut ends);
                }
            }
        }
        ends
    }

    /// Handles that an owner didn't answer `question`. Returns the decisions on waiting requests.
    /// Unused tokens that the message gave back are lost.
    pub fn failed(
        &mut self,
        now: MonoTime,
        view: &FleetView,
        (owner, question): (NodeId, &OwnerQuestion),
        plan_of: impl Fn(&AccountName) -> Option<AllotmentPlan>,
    ) -> Vec<WaitEnd> {
        let mut names: BTreeSet<_> = question
            .accounts
            .iter()
            .map(|asked| asked.account.clone())
            .collect();
        if let Some(link) = self.owners.get_mut(&owner) {
            link.is_asked = false;
            link.failed_since.get_or_insert(now);
            names.extend(link.due.iter().cloned());
        }
        let mut ends = Vec::new();
        for name in &names {
            match plan_of(name) {
                Some(plan) => self.end_waits_by_share(now, view, (name, &plan), &mut ends),
                None => {
                    self.accounts.remove(name);
                }
            }
        }
        ends
    }

    /// Ends the wait of a request that has waited for too long. `None` if it has ended already.
    pub fn give_up(
        &mut self,
        now: MonoTime,
        view: &FleetView,
        (name, plan): (&AccountName, &AllotmentPlan),
        id: WaitId,
    ) -> Option<EntryDecision> {
        if !self.cancel(name, id) {
            return None;
        }
        Some(self.decide_by_share(now, view, (name, plan)))
    }

    /// Removes a waiting request whose caller has left. Returns whether it waited. A token that arrives
    /// for it later is used for another request or given back.
    pub fn cancel(&mut self, name: &AccountName, id: WaitId) -> bool {
        let Some(account) = self.accounts.get_mut(name) else {
            return false;
        };
        let before = account.waits.len();
        account.waits.retain(|wait| wait.id != id);
        account.waits.len() < before
    }

    /// Gives back the token of a request that was admitted at `admitted_at` and did not run. Tokens of
    /// fixed shares are not given back.
    pub fn give_back(&mut self, now: MonoTime, name: &AccountName, admitted_at: MonoTime) {
        if now.since(admitted_at) >= TOKEN_LIFETIME {
            return;
        }
        if let Some(account) = self.accounts.get_mut(name)
            && account.share.is_none()
        {
            account.returned = account.returned.saturating_add(1);
        }
    }

    /// Gives back expired tokens, and drops what is not in use. To be called about once a second.
    pub fn sweep(&mut self, now: MonoTime, view: &FleetView) {
        let mut returns = Vec::new();
        self.accounts.retain(|name, account| {
            account.expire_tokens(now);
            if account.returned > 0
                && let Some(owner) = owner_of(account, now, view, name)
            {
                returns.push((owner, name.clone()));
            }
            !account.is_idle(now, IDLE_TIME)
        });
        for (owner, name) in returns {
            self.set_due(owner, &name);
        }
        self.owners.retain(|_, link| {
            let idle = link.sent_at.map_or(Duration::ZERO, |at| now.since(at));
            !(link.is_idle() && idle >= OWNER_IDLE_TIME)
        });
        let owners = &self.owners;
        self.ready.retain(|owner| owners.contains_key(owner));
    }

    /// Counts of decisions since the start.
    #[must_use]
    pub const fn totals(&self) -> AllotmentTotals {
        self.totals
    }

    /// Number of accounts in use.
    #[must_use]
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }

    /// Whether an owner has not answered the last message.
    #[must_use]
    pub fn is_failed(&self, owner: NodeId) -> bool {
        let link = self.owners.get(&owner);
        link.is_some_and(|link| link.failed_since.is_some())
    }

    /// Number of accounts that use a fixed share at present.
    #[must_use]
    pub fn share_count(&self) -> usize {
        let accounts = self.accounts.values();
        accounts.filter(|account| account.share.is_some()).count()
    }

    /// Has the next message to an owner fetch tokens in advance, unless the last one was just sent.
    fn top_up(&mut self, now: MonoTime, owner: NodeId, name: &AccountName) {
        let link = self.owners.get(&owner);
        let sent_at = link.and_then(|link| link.sent_at);
        if sent_at.is_none_or(|sent_at| now.since(sent_at) >= TOP_UP_PERIOD) {
            self.set_due(owner, name);
        }
    }

    /// Includes an account in the next message to an owner.
    fn set_due(&mut self, owner: NodeId, name: &AccountName) {
        let link = self.owners.entry(owner).or_default();
        link.due.insert(name.clone());
        if !link.is_asked {
            self.ready.insert(owner);
        }
    }

    /// A pseudorandom number from 0 to below 1.
    fn fraction(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (mix(self.random) >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// The owner of an account.
fn owner_of(
    account: &mut EntryAccount,
    now: MonoTime,
    view: &FleetView,
    name: &AccountName,
) -> Option<NodeId> {
    if let Some((node, until)) = account.moved {
        if now < until {
            return Some(node);
        }
        account.moved = None;
    }
    match account.owner {
        Some((generation, owner)) if generation == view.generation() => owner,
        _ => {
            let owner = view.owner(name);
            account.owner = Some((view.generation(), owner));
            owner
        }
    }
}
