//! `fescueway burn`: shows how fast services use up their error budgets.

use std::fs;

use eyre::WrapErr;
use fescueway_telemetry::{BurnReport, burn_svg};

use crate::{
    cli_error::{CommandError, CommandReply, CommandResult},
    command_line::CliOptions,
    commands::{json_text, nodes},
    node_client::get_json,
    text_table::text_table,
};

/// Runs the command.
pub(crate) async fn run(options: &CliOptions) -> CommandResult {
    let mut report = BurnReport::default();
    for node in nodes(options)? {
        let part = get_json(*node, "/burn").await;
        report.merge(&part.map_err(CommandError::refused)?);
    }
    if let Some(file) = &options.svg {
        let svg = burn_svg(&report).map_err(CommandError::refused)?;
        fs::write(file, svg)
            .wrap_err_with(|| format!("can't write {}", file.display()))
            .map_err(CommandError::invalid)?;
    }
    if options.is_json {
        return Ok(CommandReply::done(json_text(&report)?));
    }
    Ok(CommandReply::done(text_table(&report.table())))
}
