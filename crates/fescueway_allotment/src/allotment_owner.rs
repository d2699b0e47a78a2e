//! The token buckets of the accounts that a node owns.

use std::{collections::BTreeMap, time::Duration};

use fescueway_config::AllotmentPlan;
use fescueway_core::{AccountName, MonoTime, NodeId};

use crate::{
    AccountAnswer, AccountQuestion, CLASSES, FleetView, ReleasedBucket, owned_account::OwnedAccount,
};

/// Time without questions after which a full bucket is dropped.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Time for which a node grants tokens of an account that was released to it, although its own view of
/// the fleet may name another owner. By then the views agree.
const ACCEPTED_TIME: Duration = Duration::from_secs(10);

/// Time for which a released account is remembered, so that its tokens are not released twice.
const RELEASED_MEMORY: Duration = Duration::from_secs(30);

/// Whether a node may answer a question as the owner.
enum GrantRight {
    /// It owns the account, since this time.
    Owner(MonoTime),
    /// A former owner has released the account to it.
    Accepted,
    /// It owns the account or knows no owner, and may not grant.
    None,
    /// This node owns the account.
    Other(NodeId),
}

/// The token buckets of the accounts that a node owns and that are in use.
#[derive(Clone, Debug, Default)]
pub struct AllotmentOwner {
    /// Buckets by account.
    accounts: BTreeMap<AccountName, OwnedAccount>,
    /// Accounts that were released to another node, with the time of that.
    released: BTreeMap<AccountName, MonoTime>,
    /// Whether this node has released its accounts, since it leaves.
    is_leaving: bool,
}

impl AllotmentOwner {
    /// Answers an entry's question about an account with the limit `plan`.
    pub fn answer(
        &mut self,
        now: MonoTime,
        view: &FleetView,
        plan: &AllotmentPlan,
        question: &AccountQuestion,
    ) -> AccountAnswer {
        let name = &question.account;
        match self.grant_right(now, view, question) {
            GrantRight::Owner(owned_since) => {
                let owned = self.accounts.entry(name.clone());
                let owned = owned.or_insert_with(|| OwnedAccount::new(now, plan, owned_since));
                owned.refresh(now, plan, view.grant_factor(), owned_since);
                owned.answer(now, plan, question)
            }
            GrantRight::Accepted => {
                let is_held = |owned: &OwnedAccount| owned.is_accepted(now);
                let held = self.accounts.remove(name).filter(is_held);
                let mut owned = held.unwrap_or_else(|| {
                    let owned = OwnedAccount::new(now, plan, view.own_since().max(now));
                    let by = question.released.map(|released| released.by);
                    owned.accepted(by, now + ACCEPTED_TIME)
                });
                owned.refresh(now, plan, view.grant_factor(), MonoTime::ZERO);
                let answer = owned.answer(now, plan, question);
                self.accounts.insert(name.clone(), owned);
                answer
            }
            GrantRight::None => AccountAnswer::NotGranting,
            GrantRight::Other(to) => {
                let released = self.release(now, view, (name, plan), to);
                AccountAnswer::Moved { to, released }
            }
        }
    }

    /// Releases all accounts to their next owners, since this node leaves. Returns the messages.
    pub fn release_all(
        &mut self,
        now: MonoTime,
        view: &FleetView,
    ) -> BTreeMap<NodeId, Vec<AccountQuestion>> {
        self.is_leaving = true;
        let mut messages: BTreeMap<NodeId, Vec<AccountQuestion>> = BTreeMap::new();
        for (account, owned) in std::mem::take(&mut self.accounts) {
            if let Some(to) = view.owner_without(&account, view.own()) {
                messages.entry(to).or_default().push(AccountQuestion {
                    account,
                    waiting: [0; CLASSES],
                    prefetch: 0,
                    returned: 0,
                    refused: [0; CLASSES],
                    released: Some(ReleasedBucket {
                        by: view.own(),
                        tokens: owned.tokens_left(now),
                    }),
                });
            }
        }
        messages
    }

    /// Drops the bucket of an account that now belongs to `to`. Returns the tokens that were left if
    /// this node has granted tokens of it until now.
    fn release(
        &mut self,
        now: MonoTime,
        view: &FleetView,
        (name, plan): (&AccountName, &AllotmentPlan),
        to: NodeId,
    ) -> Option<u16> {
        if self.is_leaving {
            // All tokens have been released.
            return Some(0);
        }
        // A node that may not own accounts for a while, after a pause, is asked again later.
        let may_release = view.may_grant(now) && view.may_own();
        let owned = self.accounts.remove(name).filter(|_owned| may_release);
        if let Some(owned) = owned {
            self.released.insert(name.clone(), now);
            return Some(owned.tokens_left(now));
        }
        let held_since = view.owned_before(now, name, to)?;
        // A full bucket was dropped, or never made, since the account was idle.
        let is_first = self.released.insert(name.clone(), now).is_none();
        let idle = is_first.then(|| OwnedAccount::new(now, plan, held_since));
        let idle = idle.filter(|_owned| view.may_grant(now));
        Some(idle.map_or(0, |owned| owned.tokens_left(now)))
    }

    /// Whether this node may answer a question as the owner.
    fn grant_right(
        &self,
        now: MonoTime,
        view: &FleetView,
        question: &AccountQuestion,
    ) -> GrantRight {
        let name = &question.account;
        if self.is_leaving {
            let next = view.owner_without(name, view.own());
            return next.map_or(GrantRight::None, GrantRight::Other);
        }
        let owned = self.accounts.get(name);
        let owned = owned.filter(|owned| owned.is_accepted(now));
        let asked_by = question.released.map(|released| released.by);
        let mut former = [owned.and_then(|owned| owned.released_by), asked_by]
            .into_iter()
            .flatten();
        let is_accepted = former.any(|by| view.owner_without(name, by) == Some(view.own()));
        let owned_since = view.owned_since(name);
        match owned_since {
            Some(since) if view.may_grant(now) => GrantRight::Owner(since),
            _ if is_accepted && view.has_majority(now) => GrantRight::Accepted,
            Some(_) => GrantRight::None,
            None => view.owner(name).map_or(GrantRight::None, GrantRight::Other),
        }
    }

    /// Drops buckets that are not in use. `plan_of` returns the limit of an account.
    pub fn sweep(
        &mut self,
        now: MonoTime,
        plan_of: impl Fn(&AccountName) -> Option<AllotmentPlan>,
    ) {
        self.released
            .retain(|_, at| now.since(*at) < RELEASED_MEMORY);
        self.accounts.retain(|name, owned| {
            let is_recent = now.since(owned.used_at) < IDLE_TIME;
            is_recent || plan_of(name).is_some_and(|plan| !owned.is_full(now, &plan))
        });
    }

    /// Number of accounts with a bucket.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no account has a bucket.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}
