//! `fescueway apply`: makes a base and all its overlays the configuration of the fleet.

use std::{env, fmt::Write, sync::Arc, time::Duration};

use eyre::{WrapErr, eyre};
use fescueway_config::ConfigSet;
use fescueway_platform::StoreClient;
use fescueway_rollout::{ApplyOutcome, ApplyPlan, driver};
use serde::Serialize;
use tokio::time::{Instant, sleep};

use crate::{
    cli_error::{CommandError, CommandReply, CommandResult, ExitStatus},
    command_line::CliOptions,
    commands::json_text,
    config_files::read_sites,
    fleet_report::FleetReport,
    fleet_store::{connect, time_text, unix_time_s},
    progress::ProgressLine,
};

/// Period of polling the reports while waiting.
const POLL_PERIOD: Duration = Duration::from_millis(500);

/// What `apply --json` prints.
#[derive(Debug, Serialize)]
struct ApplyReport {
    /// The revision of the configuration.
    revision: u64,
    /// Whether this command wrote it; `false` if the store already held it.
    is_written: bool,
    /// The revisions in force, if the command waited.
    fleet: Option<FleetReport>,
}

/// Runs the command.
pub(crate) async fn run(options: &CliOptions) -> CommandResult {
    let deadline = Instant::now() + options.timeout;
    let config = read_sites(&options.files)?;
    let store = connect(options)?;
    let plan = apply_plan(options, &config)?;
    let operation = Arc::clone(&plan.operation);
    let progress = ProgressLine::new();
    progress.show("writing the configuration");
    let outcome = driver::apply(&store, plan, options.timeout).await;
    let (revision, is_written) = accepted_revision(outcome, &operation)?;
    let fleet = if options.is_waiting {
        Some(wait_until_in_force(&store, revision, deadline, &progress).await?)
    } else {
        None
    };
    drop(progress);
    reply(
        options,
        &ApplyReport {
            revision,
            is_written,
            fleet,
        },
    )
}

/// Builds the request to the store: the configuration, the operator and the operation id.
fn apply_plan(options: &CliOptions, config: &ConfigSet) -> Result<ApplyPlan, CommandError> {
    let user = || env::var("USER").unwrap_or_else(|_unset| String::from("unknown"));
    let operator = options.operator.clone().unwrap_or_else(user);
    let operation = getrandom::u64().wrap_err("can't get random bytes");
    let operation = operation.map_err(CommandError::refused)?;
    Ok(ApplyPlan {
        values: config.service_values(),
        operator: operator.into(),
        operation: format!("{operation:016x}").into(),
        unix_time_s: unix_time_s(),
        note: options.note.as_str().into(),
        base: options.revision,
    })
}

/// The accepted revision and whether this command wrote it.
///
/// # Errors
///
/// When the configuration was not accepted, or that is not known.
fn accepted_revision(outcome: ApplyOutcome, operation: &str) -> Result<(u64, bool), CommandError> {
    let report = match outcome {
        ApplyOutcome::Accepted(revision) => return Ok((revision, true)),
        ApplyOutcome::Unchanged(revision) => return Ok((revision, false)),
        ApplyOutcome::Conflict(head) => eyre!(
            "changed meanwhile by {} at revision {} ({}); nothing was written\n\
             `fescueway diff --store ADDRESS ...` shows what differs now",
            head.operator,
            head.revision,
            time_text(head.unix_time_s)
        ),
        ApplyOutcome::BaseLost(expected) => eyre!(
            "the store holds no configuration, not revision {expected}; nothing was \
             written. If the store lost its data, apply without --revision: it goes above what \
             nodes report to have in force"
        ),
        ApplyOutcome::NotApplied => {
            eyre!("the store did not answer in time; nothing of this is or will be in force")
        }
        ApplyOutcome::Unknown => eyre!(
            "the store's answer was lost, and the store can't be reached to check whether the \
             write took effect: it may be in force. `fescueway history` shows operation {operation} \
             if it is"
        ),
        ApplyOutcome::Corrupt(fault) => eyre!("the store holds invalid data: {fault}"),
    };
    Err(CommandError::refused(report))
}

/// Waits until the revision is in force everywhere or `deadline` has passed, and returns the last
/// report.
async fn wait_until_in_force(
    store: &StoreClient,
    revision: u64,
    deadline: Instant,
    progress: &ProgressLine,
) -> Result<FleetReport, CommandError> {
    loop {
        let fleet = FleetReport::read(store, revision).await;
        let is_timed_out = Instant::now() >= deadline;
        match fleet {
            Ok(fleet) if fleet.is_in_force() || is_timed_out => return Ok(fleet),
            Ok(fleet) => progress.show(&format!(
                "revision {revision} is accepted; waiting: {}",
                fleet.lags.first().map_or("", |lag| lag)
            )),
            Err(error) if is_timed_out => {
                let accepted =
                    format!("revision {revision} is accepted; where it is in force is not known");
                return Err(CommandError::refused(
                    eyre::Report::new(error).wrap_err(accepted),
                ));
            }
            Err(error) => progress.show(&format!("revision {revision} is accepted; {error}")),
        }
        sleep(POLL_PERIOD).await;
    }
}

/// Formats the reply; its status says whether the revision is in force.
fn reply(options: &CliOptions, report: &ApplyReport) -> CommandResult {
    let is_in_force = report.fleet.as_ref().is_none_or(FleetReport::is_in_force);
    let status = if is_in_force {
        ExitStatus::Done
    } else {
        ExitStatus::Refused
    };
    let text = if options.is_json {
        json_text(report)?
    } else {
        report_text(report)
    };
    Ok(CommandReply { text, status })
}

/// The report as text.
fn report_text(report: &ApplyReport) -> String {
    let revision = report.revision;
    let mut text = if report.is_written {
        format!("accepted as revision {revision}\n")
    } else {
        format!("revision {revision} holds this already; nothing was written\n")
    };
    if let Some(fleet) = &report.fleet {
        if fleet.is_in_force() {
            // Writing to a string can't fail.
            let _ = writeln!(text, "in force at all {} nodes", fleet.node_count());
        } else {
            text += "not yet in force everywhere:\n";
            text += &fleet.text();
        }
    }
    text
}
