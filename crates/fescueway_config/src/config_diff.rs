//! Differences between two configurations.

use std::collections::{BTreeMap, BTreeSet};

use fescueway_core::{ServiceName, SiteName};
use serde::Serialize;
use serde_json::Value;

use crate::{ConfigSet, RawService, ServicePlan};

/// One field that differs between two configurations.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ConfigChange {
    /// The site.
    pub site: SiteName,
    /// The service.
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
        changes
    }
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
