//! Decides by the key of a request whether it may be offered, and for which client account.

use std::sync::Arc;

use fescueway_config::{AccountDirectory, AccountPlan, RoutePlan, SitePlan};
use fescueway_core::RefusalReason;
use http::HeaderMap;

use super::presented_key::PresentedKey;
use crate::{edge_profile::EdgeProfile, request_record::KeyFault};

/// Whether a request may be offered, and for which client account.
#[derive(Clone, Debug, PartialEq)]
pub enum AccountCheck {
    /// The request belongs to no account and needs none.
    Anonymous,
    /// The request belongs to this account.
    Known(Arc<AccountPlan>),
    /// No account has the request's key.
    Unauthorized(KeyFault),
    /// Whether the request may run can't be told now. It did not run.
    Refused(RefusalReason),
}

/// What the check of a request depends on.
#[derive(Clone, Copy, Debug)]
pub struct AccountRequest<'a> {
    /// The configuration in force.
    pub plan: &'a SitePlan,
    /// The request's route.
    pub route: &'a RoutePlan,
    /// The key that its caller sent.
    pub key: &'a PresentedKey,
    /// Whether the token of a running request shows that a backend server of this node made the request.
    /// Counts only without a key.
    pub is_call: bool,
    /// Whether the configuration is the newest one, as far as is known.
    pub is_plan_current: bool,
    /// Whether a young proof shows that the configuration is the newest one, where one is required.
    pub is_key_proven: bool,
}

impl AccountRequest<'_> {
    /// Checks the request, and sets the header fields for its backend server: at a site with accounts
    /// the key is removed, and the account's name replaces what the caller sent. Neither allocates nor
    /// locks.
    pub fn check(&self, profile: &EdgeProfile, headers: &mut HeaderMap) -> AccountCheck {
        let Some(accounts) = &self.plan.accounts else {
            return AccountCheck::Anonymous;
        };
        for name in [&profile.api_key, &profile.account].into_iter().flatten() {
            headers.remove(name);
        }
        if self.route.is_public {
            return AccountCheck::Anonymous;
        }
        // The account may have lost the key, or got it, since the last proof.
        if !self.is_key_proven && *self.key != PresentedKey::None {
            return AccountCheck::Refused(RefusalReason::KeyUnproven);
        }
        self.find_account(accounts, profile, headers)
            .unwrap_or_else(|fault| self.without_account(accounts, fault))
    }

    /// Finds the account and sets its name; fails with the fault of the key.
    fn find_account(
        &self,
        accounts: &AccountDirectory,
        profile: &EdgeProfile,
        headers: &mut HeaderMap,
    ) -> Result<AccountCheck, KeyFault> {
        let key = match self.key {
            PresentedKey::One(key) => key,
            PresentedKey::None => return Err(KeyFault::Missing),
            PresentedKey::Several => return Err(KeyFault::Unknown),
        };
        let found = accounts.find(key.as_bytes()).ok_or(KeyFault::Unknown)?;
        if let Some(name) = &profile.account {
            headers.insert(name.clone(), found.name_value.clone());
        }
        Ok(AccountCheck::Known(Arc::clone(&found.plan)))
    }

    /// The result for a request whose key identifies no account.
    fn without_account(&self, accounts: &AccountDirectory, fault: KeyFault) -> AccountCheck {
        let needs_no_key = self.is_call || accounts.is_key_optional();
        match fault {
            KeyFault::Missing if needs_no_key => AccountCheck::Anonymous,
            fault if self.is_plan_current => AccountCheck::Unauthorized(fault),
            // The key may have been added since.
            _ => AccountCheck::Refused(RefusalReason::NoConfiguration),
        }
    }
}
