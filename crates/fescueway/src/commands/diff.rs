//! `fescueway diff`: shows what would change.

use fescueway_config::ConfigChange;

use crate::{
    cli_error::{CommandError, CommandReply, CommandResult},
    command_line::CliOptions,
    commands::json_text,
    config_files::read_sites,
    text_table::{row, text_table},
};

/// Runs the command.
pub(crate) fn run(options: &CliOptions) -> CommandResult {
    let next = read_sites(&options.files)?;
    if options.from.is_empty() {
        return Err(CommandError::usage(
            "--from has to say what to compare with",
        ));
    }
    let before = read_sites(&options.from)?;
    let changes = before.diff(&next);
    if options.is_json {
        return Ok(CommandReply::done(json_text(&changes)?));
    }
    Ok(CommandReply::done(change_table(&changes)))
}

/// The changes as a table.
pub(crate) fn change_table(changes: &[ConfigChange]) -> String {
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
