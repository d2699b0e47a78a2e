//! A node as a process of its own: command line, settings, signals.

use std::{
    io::{self, Write},
    path::PathBuf,
    process::ExitCode,
    time::Duration,
};

use eyre::{Result, WrapErr, bail};
use fescueway_telemetry::{LogConfig, LogQueue, emit, events::operator};
use lexopt::{Arg, Parser};
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
    time::sleep,
};

use crate::{
    Daemon, DaemonSettings, NodeAdapter, read_settings,
    settings_watch::{SETTINGS_CHECK_PERIOD, SettingsWatch},
};

/// First part of the output of `--help`.
const INTRODUCTION: &str = "\
The fescueway load balancer: one node beside a backend server.

Usage: ";

/// The output of `--help` after the program's name and a space.
const HELP: &str = "\
--settings FILE

Options:
  --settings FILE  settings in JSON with comments
  --check          read the settings, say whether they are right, and end
  --version        print the version
  --help           print this help

Exit status: 0 after a stop, 1 when the node can't start, 2 for wrong usage or settings.
";

/// Exit status for invalid usage or settings.
const USAGE_STATUS: u8 = 2;

/// Timeout for writing the last log lines on exit.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// The command given on the command line.
enum CliCommand {
    /// Print this text.
    Print(String),
    /// Check the settings and exit.
    Check(PathBuf),
    /// Run a node.
    Run(PathBuf),
}

/// Runs a node as a process of its own until SIGTERM or SIGINT. `program` is its name in messages.
///
/// The settings that can change while a node runs are reloaded on SIGHUP, and when their file changes.
///
/// The exit status is 0 after a stop, 1 when the node can't start, and 2 for invalid usage or
/// settings.
pub fn run_process(program: &str, adapter: &NodeAdapter) -> ExitCode {
    let (file, is_check) = match parse(program, Parser::from_env()) {
        Ok(CliCommand::Print(text)) => {
            // The reader may close the pipe early.
            let _ = io::stdout().write_all(text.as_bytes());
            return ExitCode::SUCCESS;
        }
        Ok(CliCommand::Check(file)) => (file, true),
        Ok(CliCommand::Run(file)) => (file, false),
        Err(error) => return report_failure(program, USAGE_STATUS, &error),
    };
    // Created first, so that a change after the settings were read is noticed.
    let watch = SettingsWatch::new(&file);
    let settings = match read_settings(&file) {
        Ok(settings) => settings,
        Err(error) => return report_failure(program, USAGE_STATUS, &error.into()),
    };
    if is_check {
        return ExitCode::SUCCESS;
    }
    match run(watch, settings, adapter) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_failure(program, 1, &error),
    }
}

/// Parses the command line.
fn parse(program: &str, mut parser: Parser) -> Result<CliCommand> {
    let mut file = None;
    let mut is_check = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("settings") => file = Some(PathBuf::from(parser.value()?)),
            Arg::Long("check") => is_check = true,
            Arg::Long("help") | Arg::Short('h') => {
                return Ok(CliCommand::Print(format!("{INTRODUCTION}{program} {HELP}")));
            }
            Arg::Long("version") => {
                let version = format!("{program} {}\n", env!("CARGO_PKG_VERSION"));
                return Ok(CliCommand::Print(version));
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let Some(file) = file else {
        bail!("--settings FILE is missing; --help tells more");
    };
    Ok(if is_check {
        CliCommand::Check(file)
    } else {
        CliCommand::Run(file)
    })
}

/// Sets up logging and runs a node until it is stopped.
fn run(watch: SettingsWatch, settings: DaemonSettings, adapter: &NodeAdapter) -> Result<()> {
    let plan = LogConfig {
        level: settings.log.level,
        ..LogConfig::default()
    };
    let queue = plan.apply().wrap_err("setting up the log")?;
    let result = run_node(watch, settings, adapter, &queue);
    // A blocked reader of the log must not keep the process from exiting; lines that it doesn't
    // read in time are lost.
    let _ = queue.flush(LOG_FLUSH_TIMEOUT);
    result
}

/// Runs a node until a signal stops it. Logging is set up already.
fn run_node(
    mut watch: SettingsWatch,
    settings: DaemonSettings,
    adapter: &NodeAdapter,
    queue: &LogQueue,
) -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.wrap_err("starting the runtime")?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).wrap_err("handling SIGTERM")?;
        let mut interrupt = signal(SignalKind::interrupt()).wrap_err("handling SIGINT")?;
        let mut hangup = signal(SignalKind::hangup()).wrap_err("handling SIGHUP")?;
        let daemon = Daemon::start_with(settings, adapter.clone()).await?;
        daemon.watch_log(queue.clone());
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => reload(&daemon, &mut watch),
                () = sleep(SETTINGS_CHECK_PERIOD) => {
                    if watch.has_changed() {
                        reload(&daemon, &mut watch);
                    }
                }
            }
        }
        daemon.stop().await;
        Ok(())
    })
}

/// Reloads the settings. If they are invalid, the node keeps the current ones.
fn reload(daemon: &Daemon, watch: &mut SettingsWatch) {
    watch.note_content();
    match read_settings(watch.file()) {
        Ok(settings) => daemon.reload(&settings),
        Err(error) => emit(&operator::RELOAD_REFUSED, &[&error]),
    }
}

/// Prints the error as one message.
fn report_failure(program: &str, status: u8, error: &eyre::Report) -> ExitCode {
    // A closed standard error is ignored.
    let _ = writeln!(io::stderr(), "{program}: {error:#}");
    ExitCode::from(status)
}
