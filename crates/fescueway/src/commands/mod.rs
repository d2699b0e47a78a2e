//! The commands, a module for each.

mod apply;
mod burn;
mod check;
mod diff;
mod drain;
mod history;
mod render;
mod status;
mod targets;
mod trace;

use std::net::SocketAddr;

use eyre::WrapErr;
use serde::Serialize;
use tokio::runtime::Builder;

use crate::{
    cli_error::{CommandError, CommandReply, CommandResult},
    command_line::CliOptions,
    command_spec::{self, CliCommand, CommandSpec},
};

/// Runs a command.
pub(crate) fn run(command: CliCommand, options: &CliOptions) -> CommandResult {
    match command {
        CliCommand::Apply => wait_for(apply::run(options)),
        CliCommand::Burn => wait_for(burn::run(options)),
        CliCommand::Check => check::run(options),
        CliCommand::Diff => wait_for(diff::run(options)),
        CliCommand::Drain => wait_for(drain::drain(options)),
        CliCommand::Help => help(options),
        CliCommand::History => wait_for(history::run(options)),
        CliCommand::Render => render::run(options),
        CliCommand::Status => wait_for(status::run(options)),
        CliCommand::Targets => wait_for(targets::run(options)),
        CliCommand::Trace => trace::run(options),
        CliCommand::Undrain => wait_for(drain::undrain(options)),
    }
}

/// Runs a command that talks to nodes or to the store.
fn wait_for(command: impl Future<Output = CommandResult>) -> CommandResult {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("can't start the runtime")
        .map_err(CommandError::refused)?;
    runtime.block_on(command)
}

/// The help of a command, or of all.
fn help(options: &CliOptions) -> CommandResult {
    let Some(name) = options.files.first() else {
        return Ok(CommandReply::done(command_spec::general_help()));
    };
    let spec = CommandSpec::find(&name.to_string_lossy()).map_err(CommandError::usage)?;
    Ok(CommandReply::done(spec.help()))
}

/// A value as indented JSON with a last newline.
fn json_text(value: &impl Serialize) -> Result<String, CommandError> {
    let text = serde_json::to_string_pretty(value).wrap_err("can't write JSON");
    text.map(|text| text + "\n").map_err(CommandError::refused)
}

/// The nodes to ask, of which there has to be one.
fn nodes(options: &CliOptions) -> Result<&[SocketAddr], CommandError> {
    if options.nodes.is_empty() {
        let message = "no node given; --node ADDRESS names one";
        return Err(CommandError::usage(message));
    }
    Ok(&options.nodes)
}

/// The only node to ask.
fn single_node(options: &CliOptions) -> Result<SocketAddr, CommandError> {
    match nodes(options)? {
        [node] => Ok(*node),
        _ => Err(CommandError::usage(
            "more than one node given; this command takes one",
        )),
    }
}
