//! `fescueway status`: shows which revision is in force, and the nodes that lag.

use std::{collections::BTreeMap, fmt::Write, net::SocketAddr};

use fescueway_core::DomainName;
use fescueway_rollout::{ConfigHead, driver};
use fescueway_telemetry::NodeStatus;
use serde::Serialize;

use crate::{
    cli_error::{CommandError, CommandReply, CommandResult, ExitStatus},
    command_line::CliOptions,
    commands::json_text,
    fleet_report::FleetReport,
    fleet_store::{READ_TIMEOUT, connect, time_text},
    node_client::get_json_from_all,
    text_table::{row, text_table},
};

/// The status of one node, or the error of reading it.
#[derive(Debug, Serialize)]
struct NodeAnswer {
    /// Address of the node.
    address: SocketAddr,
    /// The status, if the node answered.
    status: Option<NodeStatus>,
    /// Why there is no status.
    error: Option<String>,
}

/// What `status --json` prints.
#[derive(Debug, Serialize)]
struct StatusReport {
    /// The newest configuration's head, if the store was queried and holds one.
    head: Option<ConfigHead>,
    /// The revisions in force, if the store was queried and holds a configuration.
    fleet: Option<FleetReport>,
    /// The answers of the nodes, in the order of the options.
    nodes: Vec<NodeAnswer>,
}

/// Runs the command.
pub(crate) async fn run(options: &CliOptions) -> CommandResult {
    if options.nodes.is_empty() && options.stores.is_empty() {
        return Err(CommandError::usage(
            "no --store or --node given; at least one is needed",
        ));
    }
    let (head, fleet) = if options.stores.is_empty() {
        (None, None)
    } else {
        read_fleet(options).await?
    };
    let nodes = query_nodes(&options.nodes).await;
    let report = StatusReport { head, fleet, nodes };
    let text = if options.is_json {
        json_text(&report)?
    } else {
        report.text(options)
    };
    let status = report.exit_status();
    Ok(CommandReply { text, status })
}

/// Reads the newest configuration's head and the reports on where it is in force.
async fn read_fleet(
    options: &CliOptions,
) -> Result<(Option<ConfigHead>, Option<FleetReport>), CommandError> {
    let store = connect(options)?;
    let head = driver::read_head(&store, READ_TIMEOUT).await;
    let Some(head) = head.map_err(CommandError::refused)? else {
        return Ok((None, None));
    };
    let fleet = FleetReport::read(&store, head.revision).await;
    Ok((Some(head), Some(fleet.map_err(CommandError::refused)?)))
}

impl StatusReport {
    /// `Done` if the newest revision is in force in the fleet, and each queried node runs the
    /// newest revision that it knows.
    fn exit_status(&self) -> ExitStatus {
        let is_fleet_in_force = self.fleet.as_ref().is_none_or(FleetReport::is_in_force);
        if is_fleet_in_force && self.nodes.iter().all(NodeAnswer::is_in_force) {
            ExitStatus::Done
        } else {
            ExitStatus::Refused
        }
    }

    /// The report as tables.
    fn text(&self, options: &CliOptions) -> String {
        let mut text = String::new();
        match (&self.head, &self.fleet) {
            (Some(head), Some(fleet)) => {
                let (revision, operator) = (head.revision, &head.operator);
                let time = time_text(head.unix_time_s);
                // Writing to a string can't fail.
                let _ = writeln!(text, "revision {revision}, accepted {time} from {operator}");
                text += &fleet.text();
            }
            _ if !options.stores.is_empty() => text += "no configuration was accepted yet\n",
            _ => {}
        }
        if !self.nodes.is_empty() {
            text += &node_table(&self.nodes);
        }
        text
    }
}

/// Queries the nodes. The answers are in the order of `nodes`.
async fn query_nodes(nodes: &[SocketAddr]) -> Vec<NodeAnswer> {
    let mut answers = BTreeMap::new();
    get_json_from_all(nodes, "/status", |index, answer| {
        answers.insert(index, NodeAnswer::new(nodes[index], answer));
    })
    .await;
    answers.into_values().collect()
}

impl NodeAnswer {
    /// The answer of the node at `address`.
    fn new(address: SocketAddr, answer: Result<NodeStatus, eyre::Report>) -> Self {
        let (status, fault) = match answer {
            Ok(status) => (Some(status), None),
            Err(fault) => (None, Some(fault)),
        };
        Self {
            address,
            status,
            error: fault.map(|fault| format!("{fault:#}")),
        }
    }

    /// Whether the node runs the highest revision that it has heard of.
    fn is_in_force(&self) -> bool {
        let status = self.status.as_ref();
        status.is_some_and(|status| status.in_force >= status.revision)
    }
}

/// The nodes as a table, followed by their errors.
fn node_table(nodes: &[NodeAnswer]) -> String {
    let heading = [
        "NODE", "ADDRESS", "SITE", "DOMAIN", "REVISION", "IN FORCE", "STATE", "TARGETS", "PEERS",
        "STORE", "UP",
    ];
    let mut rows = vec![row(heading)];
    rows.extend(nodes.iter().map(node_row));
    let mut text = text_table(&rows);
    for answer in nodes {
        let config_error = answer
            .status
            .as_ref()
            .and_then(|status| status.config_error.as_ref());
        for error in answer.error.iter().chain(config_error) {
            // Writing to a string can't fail.
            let _ = writeln!(text, "{}: {error}", answer.address);
        }
        for note in answer.status.iter().flat_map(target_notes) {
            // Writing to a string can't fail.
            let _ = writeln!(text, "{}: {note}", answer.address);
        }
    }
    text
}

/// What restricts the requests that targets get, as the node knows it: cold targets beside it and
/// evacuated failure domains.
fn target_notes(status: &NodeStatus) -> Vec<String> {
    let cold_targets = status.cold_targets.iter();
    let mut notes: Vec<_> = cold_targets
        .map(|target| {
            let (service, left_ms) = (&target.service, target.left_ms);
            format!("the target of {service} is cold for {left_ms} ms more")
        })
        .collect();
    if !status.evacuated.is_empty() {
        let domains = status.evacuated.iter();
        let domains: Vec<_> = domains.map(DomainName::as_str).collect();
        notes.push(format!(
            "nothing is sent to targets of the evacuated domains {}",
            domains.join(", ")
        ));
    }
    notes
}

/// The table row of one node.
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
    } else if status.evacuated.contains(&status.domain) {
        "evacuated"
    } else if !status.cold_targets.is_empty() {
        "cold"
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

/// Formats an uptime in its two largest units.
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
