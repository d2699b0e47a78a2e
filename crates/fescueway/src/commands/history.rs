//! `fescueway history`: lists the accepted configurations.

use fescueway_core::SiteName;
use fescueway_rollout::{ConfigHead, driver};

use crate::{
    cli_error::{CommandError, CommandReply, CommandResult},
    command_line::CliOptions,
    commands::json_text,
    fleet_store::{READ_TIMEOUT, connect, time_text},
    text_table::{row, text_table},
};

/// Runs the command.
pub(crate) async fn run(options: &CliOptions) -> CommandResult {
    let store = connect(options)?;
    let heads = driver::read_history(&store, options.limit, READ_TIMEOUT).await;
    let heads = heads.map_err(CommandError::refused)?;
    if options.is_json {
        return Ok(CommandReply::done(json_text(&heads)?));
    }
    if heads.is_empty() {
        return Ok(CommandReply::done("no configuration was accepted yet\n"));
    }
    let mut rows = vec![row([
        "REVISION",
        "TIME",
        "OPERATOR",
        "OPERATION",
        "SITES",
        "NOTE",
    ])];
    rows.extend(heads.iter().map(head_row));
    Ok(CommandReply::done(text_table(&rows)))
}

/// The table row of one configuration.
fn head_row(head: &ConfigHead) -> Vec<String> {
    let sites: Vec<_> = head.sites.keys().map(SiteName::as_str).collect();
    row([
        &head.revision.to_string(),
        &time_text(head.unix_time_s),
        &head.operator,
        &head.operation,
        &sites.join(","),
        &head.note,
    ])
}
