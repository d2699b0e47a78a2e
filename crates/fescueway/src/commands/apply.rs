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

/// Time between two looks at the reports while waiting.
const POLL_PERIOD: Duration = Duration::from_millis(500);

/// What `apply --json` prints.
#[derive(Debug, Serialize)]
struct ApplyReport {
    /// The revision that holds the configuration.
    revision: u64,
    /// Whether it was written by this command; else it was in the store already.
    is_written: bool,
    /// What is in force, when the command waited.
    fleet: Option<FleetReport>,
}

/// Runs the command.
pub(crate) async fn run(options: &CliOptions) -> CommandResult {
    let end = Instant::now() + options.timeout;
    let config = read_sites(&options.files)?;
    let store = connect(options)?;
    let plan = apply_plan(options, &config)?;
    let operation = Arc::clone(&plan.operation);
    let progress = ProgressLine::new();
    progress.show("writing the configuration");
    let outcome = driver::apply(&store, plan, options.timeout).await;
    let (revision, is_written) = accepted(outcome, &operation)?;
    let fleet = if options.is_waiting {
        Some(wait_until_in_force(&store, revision, end, &progress).await?)
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

/// What is to be accepted, and by whom.
fn apply_plan(options: &CliOptions, config: &ConfigSet) -> Result<ApplyPlan, CommandError> {
    let user = || env::var("USER").unwrap_or_else(|_unset| String::from("unknown"));
    let operator = options.operator.clone().unwrap_or_else(user);
    let operation = getrandom::u64().wrap_err("no random numbers");
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

/// The accepted revision and whether it was written now, or why there is none.
fn accepted(outcome: ApplyOutcome, operation: &str) -> Result<(u64, bool), CommandError> {
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
            "the store's answer was lost and it can't be reached to settle what became of the \
             write: it may be in force. `fescueway history` shows operation {operation} if it is"
        ),
        ApplyOutcome::Corrupt(fault) => eyre!("the store holds what makes no sense: {fault}"),
    };
    Err(CommandError::refused(report))
}

/// Waits until the revision is in force everywhere or time is up, and tells what is in force.
async fn wait_until_in_force(
    store: &StoreClient,
    revision: u64,
    end: Instant,
    progress: &ProgressLine,
) -> Result<FleetReport, CommandError> {
    loop {
        let fleet = FleetReport::read(store, revision).await;
        let is_late = Instant::now() >= end;
        match fleet {
            Ok(fleet) if fleet.is_in_force() || is_late => return Ok(fleet),
            Ok(fleet) => progress.show(&format!(
                "revision {revision} is accepted; waiting: {}",
                fleet.lags.first().map_or("", |lag| lag)
            )),
            Err(error) if is_late => {
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

/// What the operator reads.
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

/// The report in a few lines.
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
