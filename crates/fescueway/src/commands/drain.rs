//! `fescueway drain` and `fescueway undrain`: stop and resume new work at the targets of a node.

use std::{net::SocketAddr, time::Duration};

use eyre::eyre;
use fescueway_telemetry::NodeStatus;
use tokio::time::{Instant, sleep};

use crate::{
    cli_error::{CommandError, CommandReply, CommandResult},
    command_line::CliOptions,
    commands::single_node,
    node_client::{get_json, post},
    progress::ProgressLine,
};

/// Period of polling a draining node.
const POLL_PERIOD: Duration = Duration::from_millis(200);

/// Drains the targets beside a node: they finish their requests and take no new ones.
pub(crate) async fn drain(options: &CliOptions) -> CommandResult {
    let node = single_node(options)?;
    post(node, "/drain").await.map_err(CommandError::refused)?;
    if !options.is_waiting {
        return Ok(CommandReply::done(format!("{node} drains\n")));
    }
    wait_until_idle(node, options.timeout).await?;
    Ok(CommandReply::done(format!(
        "{node} is drained: nothing runs there any more\n"
    )))
}

/// Ends the drain of the targets beside a node.
pub(crate) async fn undrain(options: &CliOptions) -> CommandResult {
    let node = single_node(options)?;
    post(node, "/undrain")
        .await
        .map_err(CommandError::refused)?;
    Ok(CommandReply::done(format!("{node} takes work again\n")))
}

/// Waits until no request runs at the targets beside a draining node.
///
/// # Errors
///
/// When the node does not answer, the drain is ended, or requests still run after the timeout.
async fn wait_until_idle(node: SocketAddr, timeout: Duration) -> Result<(), CommandError> {
    let deadline = Instant::now() + timeout;
    let progress = ProgressLine::new();
    loop {
        let status = get_json::<NodeStatus>(node, "/status").await;
        let status = status.map_err(CommandError::refused)?;
        if !status.is_draining {
            let report = eyre!("the drain of {node} was ended meanwhile");
            return Err(CommandError::refused(report));
        }
        if status.in_flight == 0 {
            return Ok(());
        }
        if Instant::now() >= deadline {
            let report = eyre!("{node} drains, but {} requests still run", status.in_flight);
            return Err(CommandError::refused(report));
        }
        progress.show(&format!("{node}: {} requests still run", status.in_flight));
        sleep(POLL_PERIOD).await;
    }
}
