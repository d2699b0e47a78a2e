//! `fescueway diff`: shows the differences between two configurations.

use fescueway_config::{ConfigChange, ConfigSet};
use serde::Serialize;

use crate::{
    cli_error::{CommandError, CommandReply, CommandResult},
    command_line::CliOptions,
    commands::json_text,
    config_files::read_sites,
    fleet_store::{self, connect},
    text_table::{row, text_table},
};

/// What `diff --json` prints.
#[derive(Debug, Serialize)]
struct DiffReport {
    /// The revision that was compared with, for `apply --revision`; `None` for documents.
    revision: Option<u64>,
    /// The changes.
    changes: Vec<ConfigChange>,
}

/// Runs the command.
pub(crate) async fn run(options: &CliOptions) -> CommandResult {
    let next = read_sites(&options.files)?;
    let (revision, baseline) = read_baseline(options).await?;
    let changes = baseline.diff(&next);
    let report = DiffReport { revision, changes };
    if options.is_json {
        return Ok(CommandReply::done(json_text(&report)?));
    }
    let mut text = change_table(&report.changes);
    if let Some(revision) = revision {
        text = format!("compared with revision {revision}\n{text}");
    }
    Ok(CommandReply::done(text))
}

/// Reads the configuration to compare with, and its revision if it comes from the store. A store
/// without a configuration counts as revision 0, which is empty.
async fn read_baseline(options: &CliOptions) -> Result<(Option<u64>, ConfigSet), CommandError> {
    match (options.stores.is_empty(), options.from.is_empty()) {
        (true, false) => Ok((None, read_sites(&options.from)?)),
        (false, true) => {
            let store = connect(options)?;
            let found = fleet_store::read_config(&store).await?;
            let (revision, config) =
                found.map_or_else(Default::default, |(head, config)| (head.revision, config));
            Ok((Some(revision), config))
        }
        _ => Err(CommandError::usage(
            "specify either --store or --from, but not both",
        )),
    }
}

/// The changes as a table.
fn change_table(changes: &[ConfigChange]) -> String {
    if changes.is_empty() {
        return String::from("nothing changes\n");
    }
    let mut rows = vec![row(["SITE", "SERVICE", "FIELD", "BEFORE", "AFTER"])];
    rows.extend(changes.iter().map(|change| {
        row([
            change.site.as_str(),
            change.service.as_str(),
            &change.field,
            change.before.as_deref().unwrap_or("-"),
            change.after.as_deref().unwrap_or("-"),
        ])
    }));
    text_table(&rows)
}
