//! Finds the client account of a request and decides whether the request may be offered.

use std::sync::Arc;

use fescueway_config::{AccountDirectory, AccountPlan, RoutePlan, SitePlan};
use fescueway_core::RefusalReason;
use http::{HeaderMap, HeaderValue};

use crate::{edge_profile::EdgeProfile, proxy_state::ProxyState};

/// Whether a request may be offered, and for which client account.
#[derive(Clone, Debug, PartialEq)]
pub enum AccountCheck {
    /// The request belongs to no account and needs none.
    Anonymous,
    /// The request belongs to this account.
    Known(Arc<AccountPlan>),
    /// No account has the request's key.
    Unauthorized,
    /// Whether the request may run can't be told now.
    Refused(RefusalReason),
}

/// Finds the account of a request on `route` by its key. Removes the key from the header fields and
/// sets the account's name.
pub fn check_account(
    state: &ProxyState,
    plan: &SitePlan,
    route: &RoutePlan,
    headers: &mut HeaderMap,
    is_call: bool,
) -> AccountCheck {
    let Some(accounts) = &plan.accounts else {
        return AccountCheck::Anonymous;
    };
    let profile = state.profile();
    let check = find_account(accounts, profile, headers);
    strip_fields(profile, headers);
    if route.is_public {
        return AccountCheck::Anonymous;
    }
    match check {
        KeyCheck::None if is_call => AccountCheck::Anonymous,
        // The account may have lost the key, or got it, since the last proof.
        KeyCheck::Account(_) | KeyCheck::Unknown if !state.is_key_proven(plan) => {
            AccountCheck::Refused(RefusalReason::KeyUnproven)
        }
        KeyCheck::Account(account) => {
            if let Some(name) = &profile.account
                && let Ok(value) = HeaderValue::from_str(account.name.as_str())
            {
                headers.insert(name.clone(), value);
            }
            AccountCheck::Known(account)
        }
        KeyCheck::None | KeyCheck::Unknown if state.is_plan_current() => AccountCheck::Unauthorized,
        // The key may have been added meanwhile.
        KeyCheck::None | KeyCheck::Unknown => AccountCheck::Refused(RefusalReason::NoConfiguration),
    }
}

/// What the key of a request tells.
enum KeyCheck {
    /// There is no key.
    None,
    /// No account has the key, or there are several keys.
    Unknown,
    /// The account that has the key.
    Account(Arc<AccountPlan>),
}

/// Looks up the key of a request.
fn find_account(
    accounts: &AccountDirectory,
    profile: &EdgeProfile,
    headers: &HeaderMap,
) -> KeyCheck {
    let Some(name) = &profile.api_key else {
        return KeyCheck::None;
    };
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => KeyCheck::None,
        (Some(key), None) => match accounts.find(key.as_bytes()) {
            Some(account) => KeyCheck::Account(Arc::clone(account)),
            None => KeyCheck::Unknown,
        },
        (Some(_), Some(_)) => KeyCheck::Unknown,
    }
}

/// Removes the key and any account name that the caller sent.
fn strip_fields(profile: &EdgeProfile, headers: &mut HeaderMap) {
    for name in [&profile.api_key, &profile.account].into_iter().flatten() {
        headers.remove(name);
    }
}
