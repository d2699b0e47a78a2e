//! `fescueway status`: shows what is in force, and where it is not.

use std::{fmt::Write, net::SocketAddr};

use fescueway_telemetry::NodeStatus;
use serde::Serialize;

use crate::{
    cli_error::{CommandError, CommandReply, CommandResult, ExitStatus},
    command_line::CliOptions,
    commands::json_text,
    node_client::get_json,
    text_table::{row, text_table},
};

/// What one node said, or why it said nothing.
#[derive(Debug, Serialize)]
struct NodeAnswer {
    /// The address that was asked.
    address: SocketAddr,
    /// What it said.
    status: Option<NodeStatus>,
    /// Why it said nothing.
    error: Option<String>,
}

/// What `status --json` prints.
#[derive(Debug, Serialize)]
struct StatusReport {
    /// What the nodes said.
    nodes: Vec<NodeAnswer>,
}

/// Runs the command.
pub(crate) async fn run(options: &CliOptions) -> CommandResult {
    if options.nodes.is_empty() {
        return Err(CommandError::usage("--node has to say whom to ask"));
    }
    let mut nodes = Vec::new();
    for address in &options.nodes {
        nodes.push(ask(*address).await);
    }
    let status = if nodes.iter().all(NodeAnswer::is_in_force) {
        ExitStatus::Done
    } else {
        ExitStatus::Refused
    };
    let report = StatusReport { nodes };
    let text = if options.is_json {
        json_text(&report)?
    } else {
        node_table(&report.nodes)
    };
    Ok(CommandReply { text, status })
}

/// Asks one node.
async fn ask(address: SocketAddr) -> NodeAnswer {
    match get_json(address, "/status").await {
        Ok(status) => NodeAnswer {
            address,
            status: Some(status),
            error: None,
        },
        Err(report) => NodeAnswer {
            address,
            status: None,
            error: Some(format!("{report:#}")),
        },
    }
}

impl NodeAnswer {
    /// Whether the node runs the highest revision that it has heard of.
    fn is_in_force(&self) -> bool {
        let status = self.status.as_ref();
        status.is_some_and(|status| status.in_force >= status.revision)
    }
}

/// The nodes as a table, with what is wrong below it.
fn node_table(nodes: &[NodeAnswer]) -> String {
    let heading = [
        "NODE", "ADDRESS", "SITE", "DOMAIN", "REVISION", "IN FORCE", "STATE", "TARGETS", "PEERS",
        "STORE", "UP",
    ];
    let mut rows = vec![row(heading)];
    rows.extend(nodes.iter().map(node_row));
    let mut text = text_table(&rows);
    for answer in nodes {
        let refused = answer
            .status
            .as_ref()
            .and_then(|status| status.config_error.as_ref());
        for error in answer.error.iter().chain(refused) {
            // Writing to a string can't fail.
            let _ = writeln!(text, "{}: {error}", answer.address);
        }
    }
    text
}

/// The row of one node.
fn node_row(answer: &NodeAnswer) -> Vec<String> {
    let address = answer.address.to_string();
    let Some(status) = &answer.status else {
        return row([
            "-",
            &address,
            "-",
            "-",
            "-",
            "-",
            "no answer",
            "-",
            "-",
            "-",
            "-",
        ]);
    };
    let state = if status.is_draining {
        "draining"
    } else {
        "serving"
    };
    row([
        &status.node,
        &address,
        status.site.as_str(),
        status.domain.as_str(),
        &status.revision.to_string(),
        &status.in_force.to_string(),
        state,
        &status.targets.to_string(),
        &status.peers.to_string(),
        status.store.as_str(),
        &uptime_text(status.uptime_ms),
    ])
}

/// Time since a start, in its two largest units.
fn uptime_text(uptime_ms: u64) -> String {
    let seconds = uptime_ms / 1_000;
    let (days, hours) = (seconds / 86_400, seconds / 3_600 % 24);
    let (minutes, rest) = (seconds / 60 % 60, seconds % 60);
    match (days, hours, minutes) {
        (0, 0, 0) => format!("{rest}s"),
        (0, 0, _) => format!("{minutes}m{rest}s"),
        (0, _, _) => format!("{hours}h{minutes}m"),
        _ => format!("{days}d{hours}h"),
    }
}
