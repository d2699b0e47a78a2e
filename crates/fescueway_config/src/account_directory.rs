//! Finds the client account of an API key.

use std::{collections::BTreeMap, sync::Arc};

use fescueway_core::AccountName;
use http::HeaderValue;

use crate::{AccountKey, AccountPlan};

/// The client accounts of a site, by key and by name.
///
/// A lookup neither allocates nor locks, and takes the same steps whether or not a key is known: its
/// time depends on the length of the key and on the number of keys only.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AccountDirectory {
    /// Accounts by name.
    by_name: BTreeMap<AccountName, Arc<AccountPlan>>,
    /// Every key with its account, in the order of the keys' digests. No digest occurs twice.
    keys: Vec<KeyEntry>,
    /// Whether requests without a key are allowed on every route. A key is unknown all the same.
    is_key_optional: bool,
}

/// A key of an account.
#[derive(Clone, Debug, PartialEq)]
struct KeyEntry {
    /// The key.
    key: AccountKey,
    /// The account that has it.
    found: FoundAccount,
}

/// The account of a key.
#[derive(Clone, Debug, PartialEq)]
pub struct FoundAccount {
    /// The account.
    pub plan: Arc<AccountPlan>,
    /// Its name as the value of a header field.
    pub name_value: HeaderValue,
}

/// Why accounts can't be part of one configuration.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum DirectoryError {
    /// Two accounts have the same key.
    #[error("accounts {first:?} and {second:?} have the same key")]
    SharedKey {
        /// The account that comes first by name.
        first: AccountName,
        /// The other account.
        second: AccountName,
    },
    /// The name of an account can't be sent in a header field.
    #[error("the name {0:?} can't be sent in a header field")]
    InvalidName(AccountName),
}

impl AccountDirectory {
    /// Creates the directory of `accounts`, whose names are distinct.
    ///
    /// # Errors
    ///
    /// When two accounts have the same key, or a name can't be sent in a header field.
    pub fn try_new(
        accounts: impl IntoIterator<Item = AccountPlan>,
    ) -> Result<Self, DirectoryError> {
        let accounts = accounts.into_iter();
        let by_name: BTreeMap<_, _> = accounts
            .map(|account| (account.name.clone(), Arc::new(account)))
            .collect();
        let mut owners = BTreeMap::new();
        for (name, plan) in &by_name {
            let found = FoundAccount {
                plan: Arc::clone(plan),
                name_value: name_value(name)?,
            };
            for key in &plan.keys {
                // The hexadecimal form sorts like the digest.
                let owner = owners.insert(key.to_hex(), (*key, found.clone()));
                let owner = owner.map(|(_, owner)| owner.plan.name.clone());
                if let Some(first) = owner.filter(|owner| owner != name) {
                    let second = name.clone();
                    return Err(DirectoryError::SharedKey { first, second });
                }
            }
        }
        let keys = owners
            .into_values()
            .map(|(key, found)| KeyEntry { key, found });
        Ok(Self {
            keys: keys.collect(),
            by_name,
            is_key_optional: false,
        })
    }

    /// The directory of a site that uses accounts, under a configuration that states none: requests
    /// need no key, and every key is unknown.
    #[must_use]
    pub fn without_accounts() -> Self {
        Self {
            is_key_optional: true,
            ..Self::default()
        }
    }

    /// Whether requests without a key are allowed on every route.
    #[must_use]
    pub fn is_key_optional(&self) -> bool {
        self.is_key_optional
    }

    /// The account that has `key`.
    #[must_use]
    pub fn find(&self, key: &[u8]) -> Option<&FoundAccount> {
        let key = AccountKey::of_bytes(key);
        let position = self.keys.partition_point(|entry| entry.key.is_below(key));
        let entry = self.keys.get(position)?;
        entry.key.is_same(key).then_some(&entry.found)
    }

    /// Every account by name.
    #[must_use]
    pub fn accounts(&self) -> &BTreeMap<AccountName, Arc<AccountPlan>> {
        &self.by_name
    }
}

/// The name of an account as the value of a header field.
fn name_value(name: &AccountName) -> Result<HeaderValue, DirectoryError> {
    let value = HeaderValue::from_str(name.as_str()).ok();
    // A field without a value looks like a request without an account.
    let value = value.filter(|value| !value.is_empty());
    value.ok_or_else(|| DirectoryError::InvalidName(name.clone()))
}
