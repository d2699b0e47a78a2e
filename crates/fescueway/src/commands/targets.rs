//! `fescueway targets`: shows the targets that a node knows.

use fescueway_core::TargetState;
use fescueway_telemetry::{TargetList, TargetStatus};

use crate::{
    cli_error::{CommandError, CommandReply, CommandResult},
    command_line::CliOptions,
    commands::{json_text, single_node},
    node_client::get_json,
    text_table::{row, text_table},
};

/// Runs the command.
pub(crate) async fn run(options: &CliOptions) -> CommandResult {
    let node = single_node(options)?;
    let list = get_json::<TargetList>(node, "/targets").await;
    let list = list.map_err(CommandError::refused)?;
    if options.is_json {
        return Ok(CommandReply::done(json_text(&list)?));
    }
    let heading = row([
        "SERVICE",
        "NODE",
        "SITE",
        "DOMAIN",
        "ADDRESS",
        "STATE",
        "SLOTS",
        "LIMIT",
        "IN FLIGHT",
        "QUEUED",
        "PER S",
    ]);
    let mut rows = vec![heading];
    rows.extend(list.targets.iter().map(target_row));
    Ok(CommandReply::done(text_table(&rows)))
}

/// The table row of one target.
fn target_row(target: &TargetStatus) -> Vec<String> {
    let record = &target.record;
    let count_text =
        |count: Option<u32>| count.map_or_else(|| String::from("-"), |n| n.to_string());
    vec![
        record.service.to_string(),
        record.node.to_string(),
        target.site.to_string(),
        record.domain.to_string(),
        record.peer_address.to_string(),
        state_text(target).to_owned(),
        record.slots.to_string(),
        count_text(target.load.map(|load| load.limit)),
        count_text(target.load.map(|load| load.in_flight)),
        count_text(target.load.map(|load| load.queued)),
        rate_limit_text(target),
    ]
}

/// The request rate limit that the backend server states, in requests per second.
fn rate_limit_text(target: &TargetStatus) -> String {
    let notice = target.load.and_then(|load| load.notice);
    let limit = notice.and_then(|notice| notice.rate_limit);
    limit.map_or_else(|| String::from("-"), |limit| limit.to_string())
}

/// The state as the table shows it.
fn state_text(target: &TargetStatus) -> &'static str {
    let notice = target.load.and_then(|load| load.notice);
    if notice.is_some_and(|notice| notice.is_leaving) {
        return "leaving";
    }
    match target.record.state {
        TargetState::Starting => "starting",
        TargetState::Serving => "serving",
        TargetState::Draining => "draining",
    }
}
