//! `fescueway drain` and `fescueway undrain`.

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

/// Time between two looks at a node that drains.
const POLL_PERIOD: Duration = Duration::from_millis(200);

/// Lets the targets beside a node take no new work.
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

/// Lets the targets beside a node take work again.
pub(crate) async fn undrain(options: &CliOptions) -> CommandResult {
    let node = single_node(options)?;
    post(node, "/undrain")
        .await
        .map_err(CommandError::refused)?;
    Ok(CommandReply::done(format!("{node} takes work again\n")))
}

/// Waits until nothing runs at the targets beside a node that drains.
async fn wait_until_idle(node: SocketAddr, time_left: Duration) -> Result<(), CommandError> {
    let end = Instant::now() + time_left;
    let progress = ProgressLine::new();
    loop {
        let status = get_json::<NodeStatus>(node, "/status").await;
        let status = status.map_err(CommandError::refused)?;
        if !status.is_draining {
            let report = eyre!("{node} was told to take work again meanwhile");
            return Err(CommandError::refused(report));
        }
        if status.in_flight == 0 {
            return Ok(());
        }
        if Instant::now() >= end {
            let report = eyre!("{node} drains, but {} requests still run", status.in_flight);
            return Err(CommandError::refused(report));
        }
        progress.show(&format!("{node}: {} requests still run", status.in_flight));
        sleep(POLL_PERIOD).await;
    }
}
