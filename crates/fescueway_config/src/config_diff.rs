//! Differences between two configurations.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write as _,
};

use fescueway_core::{ServiceName, SiteName};
use serde::Serialize;
use serde_json::Value;

use crate::{
    AccountDirectory, AccountKey, AccountPlan, ConfigSet, RawAccount, RawService, ServicePlan,
    SitePlan,
};

/// What changes of client accounts have in place of the service.
const ACCOUNTS: &str = "(accounts)";

/// One field that differs between two configurations.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ConfigChange {
    /// The site.
    pub site: SiteName,
    /// The service; `(accounts)` for a client account, whose name begins the field.
    pub service: ServiceName,
    /// Path of the field relative to the service, empty for the service as a whole.
    pub field: String,
    /// The old value as JSON, `None` when the field was added.
    pub before: Option<String>,
    /// The new value as JSON, `None` when the field was removed.
    pub after: Option<String>,
}

impl ConfigSet {
    /// Returns the changes from `self` to `next`, ordered by site, service and field.
    #[must_use]
    pub fn diff(&self, next: &Self) -> Vec<ConfigChange> {
        let before = fields_by_service(self);
        let after = fields_by_service(next);
        let keys: BTreeSet<_> = before.keys().chain(after.keys()).collect();
        let no_fields = BTreeMap::new();
        let mut changes = Vec::new();
        for (site, service) in keys {
            let key = (site.clone(), service.clone());
            let old = before.get(&key).unwrap_or(&no_fields);
            let new = after.get(&key).unwrap_or(&no_fields);
            changes.extend(changed_fields(&key, old, new));
        }
        changes.extend(self.account_changes(next));
        changes.sort_by(|one, other| (&one.site, &one.service).cmp(&(&other.site, &other.service)));
        changes
    }

    /// The changes of client accounts. Keys are counted, not shown.
    fn account_changes(&self, next: &Self) -> Vec<ConfigChange> {
        let sites: BTreeSet<_> = self.sites().keys().chain(next.sites().keys()).collect();
        let mut changes = Vec::new();
        for site in sites {
            let accounts = [self, next].map(|config| accounts_by_name(config.sites().get(site)));
            let names: BTreeSet<_> = accounts.iter().flat_map(BTreeMap::keys).collect();
            let key = (site.clone(), ServiceName::from(ACCOUNTS));
            for name in names {
                let [old, new] = accounts
                    .each_ref()
                    .map(|accounts| accounts.get(name).copied());
                let before = account_fields(old, new, "removed");
                let after = account_fields(new, old, "added");
                changes.extend(changed_fields(&key, &before, &after));
            }
        }
        changes
    }
}

/// The accounts of a site; empty without them.
fn accounts_by_name(site: Option<&SitePlan>) -> BTreeMap<&str, &AccountPlan> {
    let directory = site.and_then(|site| site.accounts.as_deref());
    let accounts = directory.into_iter().flat_map(AccountDirectory::accounts);
    accounts
        .map(|(name, plan)| (name.as_str(), &**plan))
        .collect()
}

/// The fields of one account by path, as JSON; empty without an account. Its keys are given as their
/// number, and as the number of those that `other` doesn't have, with `label`.
fn account_fields(
    plan: Option<&AccountPlan>,
    other: Option<&AccountPlan>,
    label: &str,
) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let Some(plan) = plan else {
        return fields;
    };
    let raw = RawAccount {
        key_digests: Value::Null,
        ..RawAccount::from(plan)
    };
    let name = plan.name.as_str();
    let value = serde_json::to_value(raw).unwrap_or_default();
    collect_fields(name, &value, &mut fields);
    let is_only_here = |key: &&AccountKey| other.is_some_and(|other| !other.keys.contains(key));
    let mut keys = plan.keys.len().to_string();
    let only_here = plan.keys.iter().filter(is_only_here).count();
    if only_here > 0 {
        // Writing to a string can't fail.
        let _ = write!(keys, " ({only_here} {label})");
    }
    fields.insert(format!("{name}.keys"), keys);
    fields
}

/// The fields of every service by path.
fn fields_by_service(
    config: &ConfigSet,
) -> BTreeMap<(SiteName, ServiceName), BTreeMap<String, String>> {
    let mut services = BTreeMap::new();
    for site in config.sites().values() {
        for (name, plan) in &site.services {
            services.insert((site.site.clone(), name.clone()), fields_of(plan));
        }
    }
    services
}

/// The fields of one service by path, as JSON.
fn fields_of(plan: &ServicePlan) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    // The raw type holds only strings, numbers and lists of them, which always have a JSON form.
    let value = serde_json::to_value(RawService::from(plan)).unwrap_or_default();
    collect_fields("", &value, &mut fields);
    fields
}

/// Adds the fields of `value` below `path`. A list is one field.
fn collect_fields(path: &str, value: &Value, fields: &mut BTreeMap<String, String>) {
    let Value::Object(map) = value else {
        fields.insert(path.to_owned(), value.to_string());
        return;
    };
    for (name, inner) in map {
        let path = if path.is_empty() {
            name.clone()
        } else {
            format!("{path}.{name}")
        };
        collect_fields(&path, inner, fields);
    }
}

/// The fields of one service that differ.
fn changed_fields(
    key: &(SiteName, ServiceName),
    before: &BTreeMap<String, String>,
    after: &BTreeMap<String, String>,
) -> Vec<ConfigChange> {
    let paths: BTreeSet<_> = before.keys().chain(after.keys()).collect();
    let changed = paths
        .into_iter()
        .filter(|path| before.get(*path) != after.get(*path));
    changed
        .map(|path| ConfigChange {
            site: key.0.clone(),
            service: key.1.clone(),
            field: path.clone(),
            before: before.get(path).cloned(),
            after: after.get(path).cloned(),
        })
        .collect()
}
