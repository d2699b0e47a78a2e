//! The fescueway daemon as a process of its own.
//!
//! The exit status is 0 after a stop, 1 when the node can't start, and 2 for wrong usage or wrong
//! settings.

use std::{
    io::{self, Write},
    path::PathBuf,
    process::ExitCode,
};

use eyre::{Result, WrapErr, bail};
use fescueway_telemetry::LogPlan;
use fescuewayd::{Daemon, DaemonSettings, read_settings};
use lexopt::{Arg, Parser};
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
};

/// What `--help` prints.
const HELP: &str = "\
The fescueway load balancer: one node beside a backend server.

Usage: fescuewayd --settings FILE

Options:
  --settings FILE  settings in JSON with comments
  --check          read the settings, say whether they are right, and end
  --version        print the version
  --help           print this help

Exit status: 0 after a stop, 1 when the node can't start, 2 for wrong usage or settings.
";

/// The exit status for wrong usage and wrong settings.
const USAGE_STATUS: u8 = 2;

/// What the command line asks for.
enum DaemonRequest {
    /// Print this text.
    Print(String),
    /// Read the settings and end.
    Check(PathBuf),
    /// Run a node.
    Run(PathBuf),
}

fn main() -> ExitCode {
    let (file, is_check) = match parse(Parser::from_env()) {
        Ok(DaemonRequest::Print(text)) => {
            // A reader that went away has what it wants.
            let _ = io::stdout().write_all(text.as_bytes());
            return ExitCode::SUCCESS;
        }
        Ok(DaemonRequest::Check(file)) => (file, true),
        Ok(DaemonRequest::Run(file)) => (file, false),
        Err(error) => return fail(USAGE_STATUS, &error),
    };
    let settings = match read_settings(&file) {
        Ok(settings) => settings,
        Err(error) => return fail(USAGE_STATUS, &error.into()),
    };
    if is_check {
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(1, &error),
    }
}

/// Reads the command line.
fn parse(mut parser: Parser) -> Result<DaemonRequest> {
    let mut file = None;
    let mut is_check = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("settings") => file = Some(PathBuf::from(parser.value()?)),
            Arg::Long("check") => is_check = true,
            Arg::Long("help") | Arg::Short('h') => {
                return Ok(DaemonRequest::Print(HELP.to_owned()));
            }
            Arg::Long("version") => {
                let version = format!("fescuewayd {}\n", env!("CARGO_PKG_VERSION"));
                return Ok(DaemonRequest::Print(version));
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let Some(file) = file else {
        bail!("--settings FILE is missing; --help tells more");
    };
    Ok(if is_check {
        DaemonRequest::Check(file)
    } else {
        DaemonRequest::Run(file)
    })
}

/// Runs a node until it is told to stop.
fn run(settings: DaemonSettings) -> Result<()> {
    LogPlan::default().apply().wrap_err("setting up the log")?;
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.wrap_err("starting the runtime")?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).wrap_err("handling SIGTERM")?;
        let mut interrupt = signal(SignalKind::interrupt()).wrap_err("handling SIGINT")?;
        let daemon = Daemon::start(settings).await?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        daemon.stop().await;
        Ok(())
    })
}

/// Tells what went wrong, in one message.
fn fail(status: u8, error: &eyre::Report) -> ExitCode {
    // Without a reader of standard error there is nobody to tell.
    let _ = writeln!(io::stderr(), "fescuewayd: {error:#}");
    ExitCode::from(status)
}
