//! The form of a site's client accounts in the platform's store.

use std::collections::BTreeMap;

use fescueway_core::{AccountName, ServiceName, fnv1a_64};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    AccountDirectory, AccountPlan, FieldFault, RawAccount, ServiceDigest, ServicePlan,
    ServiceValue, account_check, document,
};

/// Start of the names of the values that hold accounts. No service's name has such a start.
const NAME_PREFIX: &str = "@accounts-";

/// Number of values that the accounts of a site are divided into by name, so that a change of one
/// account doesn't transfer all of them.
const VALUES: u64 = 16;

/// The accounts of one value. Its JSON is the value in the store; versions without accounts reject
/// it as an invalid service and keep their configuration.
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
struct StoredAccounts {
    /// The accounts by name, decoded separately.
    accounts: BTreeMap<String, Value>,
}

/// A value of a site in the platform's store.
pub(crate) enum SiteValue {
    /// A service.
    Service(Box<ServicePlan>),
    /// A part of the site's client accounts.
    Accounts(Vec<AccountPlan>),
}

impl TryFrom<&[u8]> for SiteValue {
    type Error = FieldFault;

    /// Parses and validates a service or accounts in their canonical form.
    fn try_from(bytes: &[u8]) -> Result<Self, FieldFault> {
        let value: Option<Value> = serde_json::from_slice(bytes).ok();
        let value = value.filter(|value| value.get("accounts").is_some());
        let Some(value) = value else {
            return ServicePlan::try_from(bytes).map(|plan| Self::Service(Box::new(plan)));
        };
        let stored: StoredAccounts = document::decode_value(&value)?;
        let plans = stored.accounts.into_iter().map(|(name, value)| {
            AccountPlan::try_from(account_check::decode_account(name, &value)?)
        });
        plans.collect::<Result<_, _>>().map(Self::Accounts)
    }
}

/// The canonical form of a site's accounts by the names of their values.
pub(crate) fn account_values(
    directory: &AccountDirectory,
) -> impl Iterator<Item = (ServiceName, ServiceValue)> {
    let mut parts: BTreeMap<ServiceName, StoredAccounts> = BTreeMap::new();
    for (name, plan) in directory.accounts() {
        // The type holds only strings, numbers and lists of them, which always have a JSON form.
        let value = serde_json::to_value(RawAccount::from(&**plan)).unwrap_or_default();
        let part = parts.entry(value_name(name)).or_insert(StoredAccounts {
            accounts: BTreeMap::new(),
        });
        part.accounts.insert(name.as_str().to_owned(), value);
    }
    parts.into_iter().map(|(name, stored)| {
        let bytes = serde_json::to_vec(&stored).unwrap_or_default();
        let value = ServiceValue {
            digest: ServiceDigest::of(&bytes),
            bytes: bytes.into(),
        };
        (name, value)
    })
}

/// The name of the value that holds an account.
fn value_name(account: &AccountName) -> ServiceName {
    let part = fnv1a_64(account.as_str().as_bytes()) % VALUES;
    ServiceName::new(format!("{NAME_PREFIX}{part:x}"))
}
