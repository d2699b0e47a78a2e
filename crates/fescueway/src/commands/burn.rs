//! `fescueway burn`: shows how fast services use up their error budgets.

use std::{collections::BTreeMap, fs, net::SocketAddr};

use eyre::WrapErr;
use fescueway_telemetry::{BurnReport, burn_svg};

use crate::{
    cli_error::{CommandError, CommandReply, CommandResult},
    command_line::CliOptions,
    commands::{json_text, nodes},
    node_client::get_json_from_all,
    text_table::text_table,
};

/// Runs the command.
pub(crate) async fn run(options: &CliOptions) -> CommandResult {
    let report = read_burn(nodes(options)?).await?;
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

/// Reads and sums the reports of the nodes. Fails if any node does not answer, with the error of the
/// first such node as given.
async fn read_burn(nodes: &[SocketAddr]) -> Result<BurnReport, CommandError> {
    let mut report = BurnReport::default();
    let mut faults = BTreeMap::new();
    get_json_from_all(nodes, "/burn", |index, part| match part {
        Ok(part) => report.merge(&part),
        Err(fault) => drop(faults.insert(index, fault)),
    })
    .await;
    match faults.pop_first() {
        Some((_, fault)) => Err(CommandError::refused(fault)),
        None => Ok(report),
    }
}
