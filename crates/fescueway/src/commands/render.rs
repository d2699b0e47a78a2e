//! `fescueway render`: prints the configuration of a site with all defaults.

use std::collections::BTreeMap;

use fescueway_config::{RawAccount, RawService};
use fescueway_core::{AccountName, ServiceName, SiteName};
use serde::Serialize;

use crate::{
    cli_error::{CommandError, CommandReply, CommandResult},
    command_line::CliOptions,
    command_spec::unknown_name,
    commands::json_text,
    config_files::read_sites,
};

/// The configuration of a site, in the form of a document.
#[derive(Debug, Serialize)]
struct SiteDocument {
    /// Name of the site.
    site: String,
    /// Its services with every default filled in.
    services: BTreeMap<ServiceName, RawService>,
    /// Its client accounts, with the digests of their keys.
    #[serde(skip_serializing_if = "Option::is_none")]
    accounts: Option<BTreeMap<AccountName, RawAccount>>,
}

/// Runs the command.
pub(crate) fn run(options: &CliOptions) -> CommandResult {
    let Some(site) = &options.site else {
        return Err(CommandError::usage("no site given; --site SITE names one"));
    };
    let config = read_sites(&options.files)?;
    let Some(plan) = config.sites().get(&**site) else {
        let known = config.sites().keys().map(SiteName::as_str);
        let message = unknown_name("site", site, known, "fescueway check");
        return Err(CommandError::usage(message));
    };
    let services = plan.services.iter();
    let document = SiteDocument {
        site: site.clone(),
        services: services
            .map(|(name, plan)| (name.clone(), RawService::from(&**plan)))
            .collect(),
        accounts: plan.accounts.as_ref().map(|directory| {
            let accounts = directory.accounts().iter();
            accounts
                .map(|(name, plan)| (name.clone(), RawAccount::from(&**plan)))
                .collect()
        }),
    };
    Ok(CommandReply::done(json_text(&document)?))
}
