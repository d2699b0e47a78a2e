//! The command line of the fescueway load balancer.
//!
//! Results go to standard output, errors and the progress of long waits to standard error. The
//! exit status is 0 on success, 1 when refused, not reachable or not yet in force, and 2 for wrong
//! usage or invalid input.

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
            // A closed pipe is no error: readers such as `head` stop early.
            let _ = io::stdout().write_all(reply.text.as_bytes());
            ExitCode::from(reply.status as u8)
        }
        Err(error) => {
            // A failure to write to standard error can't be reported anywhere.
            let _ = writeln!(io::stderr(), "fescueway: {:#}", error.report);
            ExitCode::from(error.status as u8)
        }
    }
}

/// Parses the command line and runs the request.
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
