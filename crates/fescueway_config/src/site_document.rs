//! One site's documents: the base, the overlay, and what they say together.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use fescueway_core::{ServiceName, SiteName};
use serde::Deserialize;
use serde_json::Value;

use crate::{
    ConfigError, Document, FieldFault, RawService, ServicePlan, SitePlan, StoredService,
    ValidationStage, document, service_rules as rules, stored_service::checked_name,
};

/// A base or an overlay, merged or not.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
struct RawSite {
    /// The site; only an overlay names it.
    #[serde(default)]
    site: Option<String>,
    /// Services by name. They are decoded one by one, so that each reports its own fault.
    #[serde(default)]
    services: BTreeMap<String, Value>,
}

/// The documents of one site, the one that counts for more first.
struct SiteSources<'a> {
    /// The overlay, or the base when there is none.
    upper: &'a Document,
    /// The base.
    base: &'a Document,
}

/// Checks a base that no overlay is given for.
pub(crate) fn check_base(base: &Document, errors: &mut Vec<ConfigError>) {
    let sources = SiteSources { upper: base, base };
    if let Some(raw) = decode_base(base, errors) {
        sources.services(raw.services, errors);
    }
}

/// Checks what a site gets; `None` when its name is not known.
pub(crate) fn check_site(
    base: &Document,
    overlay: &Document,
    errors: &mut Vec<ConfigError>,
) -> Option<SitePlan> {
    decode_base(base, errors)?;
    let upper: RawSite = keep_error(overlay.decode(), errors)?;
    let site = keep_error(site_name(overlay, upper.site.as_deref()), errors)?;
    let sources = SiteSources {
        upper: overlay,
        base,
    };
    let mut merged = base.root().clone();
    json_patch::merge(&mut merged, overlay.root());
    let raw = document::decode_value::<RawSite>(&merged);
    let raw = raw.map_err(|fault| sources.locate(ValidationStage::Schema, fault));
    let raw = keep_error(raw, errors)?;
    let services = sources.services(raw.services, errors);
    Some(SitePlan {
        services,
        ..SitePlan::empty(site)
    })
}

/// The error of a second overlay for the same site.
pub(crate) fn repeated_site(overlay: &Document) -> ConfigError {
    let fault = FieldFault::new(
        "site",
        "a site that another overlay names",
        "one overlay a site",
    );
    overlay.locate(ValidationStage::Value, fault)
}

/// The base, which names no site.
fn decode_base(base: &Document, errors: &mut Vec<ConfigError>) -> Option<RawSite> {
    let raw: RawSite = keep_error(base.decode(), errors)?;
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

/// The value, or its error noted.
fn keep_error<T>(result: Result<T, ConfigError>, errors: &mut Vec<ConfigError>) -> Option<T> {
    result.map_err(|error| errors.push(error)).ok()
}

impl SiteSources<'_> {
    /// The services that are valid; the faults of the others are noted.
    fn services(
        &self,
        raw: BTreeMap<String, Value>,
        errors: &mut Vec<ConfigError>,
    ) -> BTreeMap<ServiceName, Arc<ServicePlan>> {
        let names: BTreeSet<_> = raw.keys().cloned().collect();
        let mut services = BTreeMap::new();
        for (name, value) in raw {
            if let Some(plan) = keep_error(self.service(name, &value), errors) {
                services.insert(plan.name.clone(), Arc::new(plan));
            }
        }
        let checks = [
            check_distinct_paths(&services),
            check_split_names(&services, &names),
            check_reachable(&services),
        ];
        for fault in checks.into_iter().filter_map(Result::err) {
            errors.push(self.locate(ValidationStage::Value, fault));
        }
        services
    }

    /// One service.
    fn service(&self, name: String, value: &Value) -> Result<ServicePlan, ConfigError> {
        let plan = document::decode_value::<RawService>(value).map_err(|mut fault| {
            fault.field = join_path(&format!("services.{name}"), &fault.field);
            self.locate(ValidationStage::Schema, fault)
        })?;
        let stored = StoredService { name, plan };
        ServicePlan::try_from(stored).map_err(|fault| self.locate(ValidationStage::Value, fault))
    }

    /// Adds file and line: the document that gives more of the path, the overlay before the base.
    fn locate(&self, step: ValidationStage, fault: FieldFault) -> ConfigError {
        let upper = self.upper.known_part(&fault.field);
        let base = self.base.known_part(&fault.field);
        let source = if upper.len() >= base.len() {
            self.upper
        } else {
            self.base
        };
        source.locate(step, fault)
    }
}

/// A path below another; an empty one stands for the other itself.
fn join_path(scope: &str, path: &str) -> String {
    if path.is_empty() {
        return scope.to_owned();
    }
    format!("{scope}.{path}")
}

/// Refuses two services that claim the same path of the same host.
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

/// Refuses a route that sends requests to a service that the site doesn't have.
fn check_split_names(
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

/// Refuses a service without path prefixes that no route names either.
fn check_reachable(services: &BTreeMap<ServiceName, Arc<ServicePlan>>) -> Result<(), FieldFault> {
    let routes = services.values().flat_map(|plan| &plan.routes);
    let named: BTreeSet<_> = routes
        .flat_map(|route| &route.split)
        .map(|part| &part.service)
        .collect();
    let hidden = services
        .values()
        .find(|plan| plan.path_prefixes.is_empty() && !named.contains(&plan.name));
    match hidden {
        None => Ok(()),
        Some(plan) => {
            let path = format!("services.{}.{}", plan.name, rules::PATH_PREFIXES.field);
            Err(FieldFault::new(path, "none", rules::PATH_PREFIXES.allowed))
        }
    }
}

/// Each host and path prefix of a service; the empty host stands for all.
fn claimed_paths(plan: &ServicePlan) -> impl Iterator<Item = (&str, &str)> {
    let hosts = plan.hosts.iter().map(|host| &**host);
    let any = plan.hosts.is_empty().then_some("");
    hosts.chain(any).flat_map(|host| {
        let prefixes = plan.path_prefixes.iter();
        prefixes.map(move |prefix| (host, &**prefix))
    })
}
