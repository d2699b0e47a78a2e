//! Reads the fleet's configuration from the platform's store.

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

/// Timeout of one read of the store.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Attempts to read all sites at the same revision while it is being changed.
const READ_ATTEMPTS: usize = 5;

/// A client of the store that the options name.
pub(crate) fn connect(options: &CliOptions) -> Result<StoreClient, CommandError> {
    let settings = StoreSettings::try_from(options.stores.clone());
    let settings = settings.map_err(|_empty| {
        CommandError::usage("no store given; --store ADDRESS names the platform's store")
    })?;
    Ok(StoreClient::new(settings))
}

/// Reads the newest accepted configuration with its head; `None` if there is none yet.
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

/// Reads every site at `head`; `None` if the head changed in the meantime.
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
            "the store holds an invalid service at revision {}",
            head.revision
        )
    });
    config.map(Some).map_err(CommandError::refused)
}

/// The local clock, in seconds since 1970.
pub(crate) fn unix_time_s() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_secs())
}

/// A time in seconds since 1970 as RFC 3339 in UTC.
pub(crate) fn time_text(unix_time_s: u64) -> String {
    /// Start of the year 10000, the first that RFC 3339 can't represent.
    const YEAR_10000_S: u64 = 253_402_300_800;
    let time = UNIX_EPOCH + Duration::from_secs(unix_time_s.min(YEAR_10000_S - 1));
    humantime::format_rfc3339_seconds(time).to_string()
}
