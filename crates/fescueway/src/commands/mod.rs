//! The commands, one module each; `undrain` is in the module of `drain`.

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
        CliCommand::Apply => run_async(apply::run(options)),
        CliCommand::Burn => run_async(burn::run(options)),
        CliCommand::Check => check::run(options),
        CliCommand::Diff => run_async(diff::run(options)),
        CliCommand::Drain => run_async(drain::drain(options)),
        CliCommand::Help => help(options),
        CliCommand::History => run_async(history::run(options)),
        CliCommand::Render => render::run(options),
        CliCommand::Status => run_async(status::run(options)),
        CliCommand::Targets => run_async(targets::run(options)),
        CliCommand::Trace => trace::run(options),
        CliCommand::Undrain => run_async(drain::undrain(options)),
    }
}

/// Runs a command that calls nodes or the store, on a new runtime.
fn run_async(command: impl Future<Output = CommandResult>) -> CommandResult {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("can't start the runtime")
        .map_err(CommandError::refused)?;
    runtime.block_on(command)
}

/// Prints the help of a command, or the general help.
fn help(options: &CliOptions) -> CommandResult {
    let Some(name) = options.files.first() else {
        return Ok(CommandReply::done(command_spec::general_help()));
    };
    let spec = CommandSpec::find(&name.to_string_lossy()).map_err(CommandError::usage)?;
    Ok(CommandReply::done(spec.help()))
}

/// A value as indented JSON with a trailing newline.
fn json_text(value: &impl Serialize) -> Result<String, CommandError> {
    let text = serde_json::to_string_pretty(value).wrap_err("can't write JSON");
    text.map(|text| text + "\n").map_err(CommandError::refused)
}

/// The nodes to query; a usage error if none is given.
fn nodes(options: &CliOptions) -> Result<&[SocketAddr], CommandError> {
    if options.nodes.is_empty() {
        let message = "no node given; --node ADDRESS names one";
        return Err(CommandError::usage(message));
    }
    Ok(&options.nodes)
}

/// The node to query; a usage error unless exactly one is given.
fn single_node(options: &CliOptions) -> Result<SocketAddr, CommandError> {
    match nodes(options)? {
        [node] => Ok(*node),
        _ => Err(CommandError::usage(
            "more than one node given; this command takes one",
        )),
    }
}
