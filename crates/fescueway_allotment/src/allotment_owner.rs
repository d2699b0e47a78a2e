//! The token buckets of the accounts that a node owns.

use std::{collections::BTreeMap, time::Duration};

use fescueway_config::AllotmentPlan;
use fescueway_core::{AccountName, MonoTime};

use crate::{AccountAnswer, AccountQuestion, FleetView, owned_account::OwnedAccount};

/// Time without questions after which a full bucket is dropped.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// The token buckets of the accounts that a node owns and that are in use.
#[derive(Clone, Debug, Default)]
pub struct AllotmentOwner {
    /// Buckets by account.
    accounts: BTreeMap<AccountName, OwnedAccount>,
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
        let Some(owned_since) = view.owned_since(&question.account) else {
            let owner = view.owner(&question.account);
            return owner.map_or(AccountAnswer::NotGranting, AccountAnswer::Moved);
        };
        if !view.may_grant(now) {
            return AccountAnswer::NotGranting;
        }
        let owned = self.accounts.entry(question.account.clone());
        let owned = owned.or_insert_with(|| OwnedAccount::new(now, plan, owned_since));
        owned.refresh(now, plan, view.grant_factor(), owned_since);
        owned.answer(now, plan, question)
    }

    /// Drops buckets that are not in use. `plan_of` returns the limit of an account.
    pub fn sweep(
        &mut self,
        now: MonoTime,
        plan_of: impl Fn(&AccountName) -> Option<AllotmentPlan>,
    ) {
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
