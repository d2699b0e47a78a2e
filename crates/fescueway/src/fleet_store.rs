//! What the platform's store holds of the fleet's configuration.

use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use eyre::{WrapErr, eyre};
use fescueway_config::ConfigSet;
use fescueway_core::SiteName;
use fescueway_platform::{StoreClient, StoreSettings};
use fescueway_rollout::{ConfigHead, driver};

use crate::{cli_error::CommandError, command_line::CliOptions};

/// How long one read of the store may take.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Attempts to read all sites at one revision, while others change it.
const READ_ATTEMPTS: usize = 5;

/// A client of the store that the options name.
pub(crate) fn connect(options: &CliOptions) -> Result<StoreClient, CommandError> {
    let settings = StoreSettings::try_from(options.stores.clone());
    let settings = settings.map_err(|_empty| {
        CommandError::usage("no store given; --store ADDRESS names the platform's store")
    })?;
    Ok(StoreClient::new(settings))
}

/// Reads the accepted configuration with its head, `None` before the first.
pub(crate) async fn read_config(
    store: &StoreClient,
) -> Result<Option<(ConfigHead, ConfigSet)>, CommandError> {
    for _ in 0..READ_ATTEMPTS {
        let head = driver::read_head(store, READ_TIMEOUT).await;
        let Some(head) = head.map_err(CommandError::refused)? else {
            return Ok(None);
        };
        if let Some(config) = read_sites(store, &head).await? {
            return Ok(Some((head, config)));
        }
    }
    let report = eyre!("the configuration changes faster than it can be read");
    Err(CommandError::refused(report))
}

/// Reads every site at `head`, `None` when another head came meanwhile.
async fn read_sites(
    store: &StoreClient,
    head: &ConfigHead,
) -> Result<Option<ConfigSet>, CommandError> {
    let mut values: Vec<(SiteName, Vec<u8>)> = Vec::new();
    for site in head.sites.keys() {
        let reply = driver::fetch_site(store, site, &BTreeMap::new(), READ_TIMEOUT).await;
        let reply = reply.map_err(CommandError::refused)?;
        let Some(reply) = reply.filter(|reply| reply.head == *head) else {
            return Ok(None);
        };
        let services = reply.values.into_iter();
        values.extend(services.map(|(_, bytes)| (site.clone(), bytes)));
    }
    let values = values.iter().map(|(site, bytes)| (site.clone(), &**bytes));
    let config = ConfigSet::from_values(values).wrap_err_with(|| {
        format!(
            "the store holds a wrong service at revision {}",
            head.revision
        )
    });
    config.map(Some).map_err(CommandError::refused)
}

/// The operator's clock, in seconds since 1970.
pub(crate) fn unix_time_s() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_secs())
}

/// A time of some operator's clock, in UTC.
pub(crate) fn time_text(unix_time_s: u64) -> String {
    /// Start of the year 10000, which the format can't show.
    const END_S: u64 = 253_402_300_800;
    let time = UNIX_EPOCH + Duration::from_secs(unix_time_s.min(END_S - 1));
    humantime::format_rfc3339_seconds(time).to_string()
}
