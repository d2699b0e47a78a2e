//! Merges and validates the documents of one site: the base and the overlay.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use fescueway_core::{ServiceName, SiteName};
use serde::Deserialize;
use serde_json::Value;

use crate::{
    AccountDirectory, AccountPlan, ConfigError, Document, FieldFault, RawService, ServicePlan,
    SitePlan, StoredService, ValidationStage, account_check, account_rules, document,
    service_rules as rules, stored_service::checked_name,
};

/// A base or an overlay, merged or not. `Debug` is not derived, since accounts hold keys.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
struct RawSite {
    /// The site. Set in overlays only.
    #[serde(default)]
    site: Option<String>,
    /// Services by name. They are decoded separately, so that each one reports its own error.
    #[serde(default)]
    services: BTreeMap<String, Value>,
    /// Client accounts by name, null for none. They are decoded separately as well.
    #[serde(default)]
    accounts: Value,
}

/// The documents of one site, in order of precedence.
struct SiteSources<'a> {
    /// The overlay, or the base when there is none.
    overlay: &'a Document,
    /// The base.
    base: &'a Document,
}

/// Validates a base without overlays.
pub(crate) fn check_base(base: &Document, errors: &mut Vec<ConfigError>) {
    let sources = SiteSources {
        overlay: base,
        base,
    };
    if let Some(raw) = decode_base(base, errors) {
        sources.services(raw.services, errors);
        sources.accounts(raw.accounts, errors);
    }
}

/// Merges the overlay into the base and validates the result. `None` when a document can't be
/// decoded or the name of the site is invalid.
pub(crate) fn check_site(
    base: &Document,
    overlay: &Document,
    errors: &mut Vec<ConfigError>,
) -> Option<SitePlan> {
    decode_base(base, errors)?;
    let raw_overlay: RawSite = ok_or_collect(overlay.decode(), errors)?;
    let site = ok_or_collect(site_name(overlay, raw_overlay.site.as_deref()), errors)?;
    let sources = SiteSources { overlay, base };
    let mut merged = base.root().clone();
    json_patch::merge(&mut merged, overlay.root());
    let raw = document::decode_value::<RawSite>(&merged);
    let raw = raw.map_err(|fault| sources.locate(ValidationStage::Schema, fault));
    let raw = ok_or_collect(raw, errors)?;
    let services = sources.services(raw.services, errors);
    let accounts = sources.accounts(raw.accounts, errors);
    Some(SitePlan {
        services,
        accounts: accounts.map(Arc::new),
        ..SitePlan::empty(site)
    })
}

/// The error of a second overlay for the same site.
pub(crate) fn duplicate_site_error(overlay: &Document) -> ConfigError {
    let fault = FieldFault::new(
        "site",
        "a site that another overlay names",
        "one overlay a site",
    );
    overlay.locate(ValidationStage::Value, fault)
}

/// Decodes the base, which must not name a site.
fn decode_base(base: &Document, errors: &mut Vec<ConfigError>) -> Option<RawSite> {
    let raw: RawSite = ok_or_collect(base.decode(), errors)?;
    if raw.site.is_some() {
        let fault = FieldFault::new("site", "a site in the base", "a site in overlays only");
        errors.push(base.locate(ValidationStage::Value, fault));
        return None;
    }
    Some(raw)
}

/// The site that an overlay names.
fn site_name(overlay: &Document, raw: Option<&str>) -> Result<SiteName, ConfigError> {
    let name = match raw {
        Some(name) => checked_name(String::from("site"), name),
        None => Err(FieldFault::new(
            "site",
            "nothing",
            "the name of the overlay's site",
        )),
    };
    let name = name.map_err(|fault| overlay.locate(ValidationStage::Value, fault))?;
    Ok(SiteName::new(name.as_str()))
}

/// Returns the value, or adds the error to `errors`.
fn ok_or_collect<T>(result: Result<T, ConfigError>, errors: &mut Vec<ConfigError>) -> Option<T> {
    result.map_err(|error| errors.push(error)).ok()
}

impl SiteSources<'_> {
    /// Returns the valid services and collects the errors of the others.
    fn services(
        &self,
        raw: BTreeMap<String, Value>,
        errors: &mut Vec<ConfigError>,
    ) -> BTreeMap<ServiceName, Arc<ServicePlan>> {
        let names: BTreeSet<_> = raw.keys().cloned().collect();
        let mut services = BTreeMap::new();
        for (name, value) in raw {
            if let Some(plan) = ok_or_collect(self.service(name, &value), errors) {
                services.insert(plan.name.clone(), Arc::new(plan));
            }
        }
        let checks = [
            check_distinct_paths(&services),
            check_weighted_services(&services, &names),
            check_reachable(&services),
        ];
        for fault in checks.into_iter().filter_map(Result::err) {
            errors.push(self.locate(ValidationStage::Value, fault));
        }
        services
    }

    /// Returns the valid client accounts and collects the errors of the others. `None` without
    /// accounts.
    fn accounts(&self, raw: Value, errors: &mut Vec<ConfigError>) -> Option<AccountDirectory> {
        let raw = match raw {
            Value::Null => return None,
            Value::Object(map) if !map.is_empty() => map,
            // An empty object would make requests need no key, which has to be asked for by null.
            other => {
                let fault = account_check::hidden_fault(
                    "accounts".to_owned(),
                    &other,
                    account_rules::ACCOUNTS,
                );
                errors.push(self.locate(ValidationStage::Value, fault));
                return None;
            }
        };
        let mut plans = Vec::new();
        for (name, value) in raw {
            plans.extend(ok_or_collect(self.account(name, &value), errors));
        }
        let directory = account_check::directory(plans);
        let directory = directory.map_err(|fault| self.locate(ValidationStage::Value, fault));
        ok_or_collect(directory, errors)
    }

    /// Validates one client account.
    fn account(&self, name: String, value: &Value) -> Result<AccountPlan, ConfigError> {
        let named = account_check::decode_account(name, value);
        let named = named.map_err(|fault| self.locate(ValidationStage::Schema, fault))?;
        let plan = AccountPlan::try_from(named);
        plan.map_err(|fault| self.locate(ValidationStage::Value, fault))
    }

    /// Validates one service.
    fn service(&self, name: String, value: &Value) -> Result<ServicePlan, ConfigError> {
        let plan = document::decode_value::<RawService>(value).map_err(|mut fault| {
            fault.field = join_path(&format!("services.{name}"), &fault.field);
            self.locate(ValidationStage::Schema, fault)
        })?;
        let stored = StoredService { name, plan };
        ServicePlan::try_from(stored).map_err(|fault| self.locate(ValidationStage::Value, fault))
    }

    /// Adds the file and line. Picks the document that contains the longer prefix of the path, the
    /// overlay when both are equal.
    fn locate(&self, stage: ValidationStage, fault: FieldFault) -> ConfigError {
        let overlay = self.overlay.longest_known_path(&fault.field);
        let base = self.base.longest_known_path(&fault.field);
        let source = if overlay.len() >= base.len() {
            self.overlay
        } else {
            self.base
        };
        source.locate(stage, fault)
    }
}

/// Joins two paths; an empty `path` refers to `scope` itself.
fn join_path(scope: &str, path: &str) -> String {
    if path.is_empty() {
        return scope.to_owned();
    }
    format!("{scope}.{path}")
}

/// Rejects two services with the same path prefix for the same host.
fn check_distinct_paths(
    services: &BTreeMap<ServiceName, Arc<ServicePlan>>,
) -> Result<(), FieldFault> {
    let mut owners: BTreeMap<(&str, &str), &ServiceName> = BTreeMap::new();
    for plan in services.values() {
        for (host, prefix) in claimed_paths(plan) {
            if let Some(owner) = owners.insert((host, prefix), &plan.name) {
                let path = format!("services.{}.path_prefixes", plan.name);
                let found = format!("{prefix:?}, which service {owner} has for the same host");
                return Err(FieldFault::new(
                    path,
                    found,
                    "each host and path prefix once",
                ));
            }
        }
    }
    Ok(())
}

/// Rejects a route that sends requests to a service that the site doesn't have.
fn check_weighted_services(
    services: &BTreeMap<ServiceName, Arc<ServicePlan>>,
    names: &BTreeSet<String>,
) -> Result<(), FieldFault> {
    for plan in services.values() {
        for route in &plan.routes {
            for part in &route.split {
                if !names.contains(part.service.as_str()) {
                    let path = format!("services.{}.routes.{}.weights", plan.name, route.name);
                    let found = format!("the service {:?}", part.service.as_str());
                    return Err(FieldFault::new(path, found, rules::ROUTE_WEIGHTS.allowed));
                }
            }
        }
    }
    Ok(())
}

/// Rejects a service that has no path prefix and is not named by any route.
fn check_reachable(services: &BTreeMap<ServiceName, Arc<ServicePlan>>) -> Result<(), FieldFault> {
    let routes = services.values().flat_map(|plan| &plan.routes);
    let named: BTreeSet<_> = routes
        .flat_map(|route| &route.split)
        .map(|part| &part.service)
        .collect();
    let unreachable = services
        .values()
        .find(|plan| plan.path_prefixes.is_empty() && !named.contains(&plan.name));
    match unreachable {
        None => Ok(()),
        Some(plan) => {
            let path = format!("services.{}.{}", plan.name, rules::PATH_PREFIXES.field);
            Err(FieldFault::new(path, "none", rules::PATH_PREFIXES.allowed))
        }
    }
}

/// Each pair of host and path prefix of a service. The empty host matches all hosts.
fn claimed_paths(plan: &ServicePlan) -> impl Iterator<Item = (&str, &str)> {
    let hosts = plan.hosts.iter().map(|host| &**host);
    let any_host = plan.hosts.is_empty().then_some("");
    hosts.chain(any_host).flat_map(|host| {
        let prefixes = plan.path_prefixes.iter();
        prefixes.map(move |prefix| (host, &**prefix))
    })
}
