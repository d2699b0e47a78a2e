//! The checked configuration of all sites.

use std::{collections::BTreeMap, sync::Arc};

use fescueway_core::{ServiceName, SiteName};

use crate::{
    AccountPlan, ConfigError, Document, FieldFault, ServiceValue, SitePlan, account_check,
    site_document,
    stored_accounts::{SiteValue, account_values},
};

/// The checked configuration of all sites: the base with each overlay merged into it.
///
/// Invariant: every service is valid, and no two services of a site claim the same path.
///
/// ```
/// # use fescueway_config::{ConfigSet, Document};
/// let base = Document::parse(
///     "base.json",
///     r#"{ "services": { "bands": { "path_prefixes": ["/bands"] } } }"#,
/// )?;
/// let overlay = Document::parse("bala.json", r#"{ "site": "bala" }"#)?;
/// let config = ConfigSet::check(&base, &[overlay]).map_err(|errors| errors[0].clone())?;
/// assert_eq!(config.service_values().len(), 1);
/// # Ok::<(), fescueway_config::ConfigError>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigSet {
    /// The configuration of each site.
    sites: BTreeMap<SiteName, SitePlan>,
}

impl ConfigSet {
    /// Merges each overlay into the base (RFC 7396) and validates the results.
    ///
    /// # Errors
    ///
    /// All errors without duplicates, in the order of the files. An error in a field that is set in
    /// an overlay names the overlay, any other the base.
    pub fn check(base: &Document, overlays: &[Document]) -> Result<Self, Vec<ConfigError>> {
        let mut errors = Vec::new();
        let mut sites = BTreeMap::new();
        if overlays.is_empty() {
            site_document::check_base(base, &mut errors);
        }
        for overlay in overlays {
            if let Some(plan) = site_document::check_site(base, overlay, &mut errors) {
                let site = plan.site.clone();
                if sites.insert(site, plan).is_some() {
                    errors.push(site_document::duplicate_site_error(overlay));
                }
            }
        }
        if errors.is_empty() {
            return Ok(Self { sites });
        }
        Err(deduplicate(errors))
    }

    /// Creates a configuration from sites that were checked separately.
    #[must_use]
    pub fn from_sites(sites: impl IntoIterator<Item = SitePlan>) -> Self {
        let sites = sites.into_iter().map(|plan| (plan.site.clone(), plan));
        Self {
            sites: sites.collect(),
        }
    }

    /// Parses a configuration from the canonical forms of its services and client accounts.
    ///
    /// # Errors
    ///
    /// When a value is neither a valid service nor valid accounts, or accounts have the same key. The
    /// field path starts with the site.
    pub fn from_values<'a>(
        values: impl IntoIterator<Item = (SiteName, &'a [u8])>,
    ) -> Result<Self, FieldFault> {
        let mut sites = BTreeMap::new();
        let mut accounts: BTreeMap<SiteName, Vec<AccountPlan>> = BTreeMap::new();
        for (site, bytes) in values {
            let value = SiteValue::try_from(bytes).map_err(|fault| at_site(&site, fault))?;
            let entry = sites.entry(site.clone());
            let plan: &mut SitePlan = entry.or_insert_with(|| SitePlan::empty(site.clone()));
            match value {
                SiteValue::Service(service) => {
                    plan.services
                        .insert(service.name.clone(), Arc::from(service));
                }
                SiteValue::Accounts(part) => accounts.entry(site).or_default().extend(part),
            }
        }
        for (site, accounts) in accounts {
            let directory = account_check::directory(accounts);
            let directory = directory.map_err(|fault| at_site(&site, fault))?;
            if let Some(plan) = sites.get_mut(&site) {
                plan.accounts = Some(Arc::new(directory));
            }
        }
        Ok(Self { sites })
    }

    /// The configuration of each site.
    #[must_use]
    pub fn sites(&self) -> &BTreeMap<SiteName, SitePlan> {
        &self.sites
    }

    /// The canonical form of every service and of each site's client accounts, with its digest.
    /// Accounts have names that no service can have.
    #[must_use]
    pub fn service_values(&self) -> BTreeMap<(SiteName, ServiceName), ServiceValue> {
        let services = self.sites.values().flat_map(|site| {
            let names = site.services.iter();
            names.map(|(name, plan)| ((site.site.clone(), name.clone()), plan))
        });
        let services = services.map(|(key, plan)| (key, ServiceValue::from(&**plan)));
        let accounts = self.sites.values().flat_map(|site| {
            let directory = site.accounts.iter();
            let values = directory.flat_map(|directory| account_values(directory));
            values.map(|(name, value)| ((site.site.clone(), name), value))
        });
        services.chain(accounts).collect()
    }
}

/// Adds the site to the field path of a fault.
fn at_site(site: &SiteName, mut fault: FieldFault) -> FieldFault {
    fault.field = format!("{site}: {}", fault.field);
    fault
}

/// Removes duplicates, since an error in the base is found again for every site.
fn deduplicate(errors: Vec<ConfigError>) -> Vec<ConfigError> {
    let mut unique_errors = Vec::new();
    for error in errors {
        if !unique_errors.contains(&error) {
            unique_errors.push(error);
        }
    }
    unique_errors
}
