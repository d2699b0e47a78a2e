//! The command line of the fescueway load balancer.
//!
//! Standard output holds only what was asked for, standard error what went wrong and the progress
//! of long waits. The exit status is 0 when done, 1 when refused, not reachable or not yet in
//! force, and 2 for wrong usage or invalid input.

mod cli_error;
mod cli_option;
mod command_line;
mod command_spec;
mod commands;
mod config_files;
mod fleet_report;
mod fleet_store;
mod node_client;
mod progress;
mod text_table;

use std::{
    env,
    io::{self, Write},
    process::ExitCode,
};

use crate::{
    cli_error::{CommandReply, CommandResult},
    command_line::CliRequest,
};

fn main() -> ExitCode {
    match run() {
        Ok(reply) => {
            // A reader that went away, as `head` does, has what it wants.
            let _ = io::stdout().write_all(reply.text.as_bytes());
            ExitCode::from(reply.status as u8)
        }
        Err(error) => {
            // Without a reader of standard error there is nobody to tell.
            let _ = writeln!(io::stderr(), "fescueway: {:#}", error.report);
            ExitCode::from(error.status as u8)
        }
    }
}

/// Reads the command line and does what it asks for.
fn run() -> CommandResult {
    match CliRequest::parse(env::args_os().skip(1))? {
        CliRequest::GeneralHelp => Ok(CommandReply::done(command_spec::general_help())),
        CliRequest::Version => {
            let version = format!("fescueway {}\n", env!("CARGO_PKG_VERSION"));
            Ok(CommandReply::done(version))
        }
        CliRequest::CommandHelp(spec) => Ok(CommandReply::done(spec.help())),
        CliRequest::Run(command, options) => commands::run(command, &options),
    }
}
