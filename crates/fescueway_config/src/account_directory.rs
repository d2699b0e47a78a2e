//! Finds the client account of an API key.

use std::{collections::BTreeMap, sync::Arc};

use fescueway_core::AccountName;
use sha2::{Digest, Sha256};

use crate::AccountPlan;

/// The client accounts of a site, by key and by name.
///
/// Keys are looked up by their digest: the time of a lookup depends on a key's length only, not on how
/// much of it matches another key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AccountDirectory {
    /// Accounts by name.
    by_name: BTreeMap<AccountName, Arc<AccountPlan>>,
    /// Accounts by the SHA-256 of each of their keys.
    by_key: BTreeMap<[u8; 32], Arc<AccountPlan>>,
}

/// Two accounts that have the same key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SharedKeyError {
    /// One of the accounts.
    pub first: AccountName,
    /// The other account.
    pub second: AccountName,
}

impl AccountDirectory {
    /// Creates the directory of `accounts`, whose names are distinct.
    ///
    /// # Errors
    ///
    /// When two accounts have the same key.
    pub fn try_new(
        accounts: impl IntoIterator<Item = AccountPlan>,
    ) -> Result<Self, SharedKeyError> {
        let mut directory = Self::default();
        for account in accounts {
            let account = Arc::new(account);
            for key in &account.keys {
                let digest = Self::digest(key.secret().as_bytes());
                let other = directory.by_key.insert(digest, Arc::clone(&account));
                if let Some(other) = other.filter(|other| other.name != account.name) {
                    return Err(SharedKeyError {
                        first: other.name.clone(),
                        second: account.name.clone(),
                    });
                }
            }
            directory.by_name.insert(account.name.clone(), account);
        }
        Ok(directory)
    }

    /// The account that has `key`.
    #[must_use]
    pub fn find(&self, key: &[u8]) -> Option<&Arc<AccountPlan>> {
        self.by_key.get(&Self::digest(key))
    }

    /// Every account by name.
    #[must_use]
    pub fn accounts(&self) -> &BTreeMap<AccountName, Arc<AccountPlan>> {
        &self.by_name
    }

    /// The digest by which a key is looked up.
    fn digest(key: &[u8]) -> [u8; 32] {
        Sha256::digest(key).into()
    }
}
