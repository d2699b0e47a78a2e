//! A node as a process of its own: command line, settings, signals.

use std::{
    io::{self, Write},
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

use eyre::{Result, WrapErr, bail};
use fescueway_telemetry::{LogConfig, LogQueue, emit, events::operator};
use lexopt::{Arg, Parser};
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
};

use crate::{Daemon, DaemonSettings, NodeAdapter, read_settings};

/// What `--help` prints first.
const INTRODUCTION: &str = "\
The fescueway load balancer: one node beside a backend server.

Usage: ";

/// What `--help` prints after the program's name.
const HELP: &str = "\
 --settings FILE

Options:
  --settings FILE  settings in JSON with comments
  --check          read the settings, say whether they are right, and end
  --version        print the version
  --help           print this help

Exit status: 0 after a stop, 1 when the node can't start, 2 for wrong usage or settings.
";

/// The exit status for wrong usage and wrong settings.
const USAGE_STATUS: u8 = 2;

/// Time in which the last lines of the log are written.
const LAST_LINES_TIME: Duration = Duration::from_millis(200);

/// What the command line asks for.
enum DaemonRequest {
    /// Print this text.
    Print(String),
    /// Read the settings and end.
    Check(PathBuf),
    /// Run a node.
    Run(PathBuf),
}

/// Runs a node as a process of its own until SIGTERM or SIGINT. `program` is its name in messages.
///
/// SIGHUP reads the settings again; what can change while a node runs does.
///
/// The exit status is 0 after a stop, 1 when the node can't start, and 2 for wrong usage or wrong
/// settings.
pub fn run_process(program: &str, adapter: &NodeAdapter) -> ExitCode {
    let (file, is_check) = match parse(program, Parser::from_env()) {
        Ok(DaemonRequest::Print(text)) => {
            // A reader that went away has what it wants.
            let _ = io::stdout().write_all(text.as_bytes());
            return ExitCode::SUCCESS;
        }
        Ok(DaemonRequest::Check(file)) => (file, true),
        Ok(DaemonRequest::Run(file)) => (file, false),
        Err(error) => return fail(program, USAGE_STATUS, &error),
    };
    let settings = match read_settings(&file) {
        Ok(settings) => settings,
        Err(error) => return fail(program, USAGE_STATUS, &error.into()),
    };
    if is_check {
        return ExitCode::SUCCESS;
    }
    match run(&file, settings, adapter) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(program, 1, &error),
    }
}

/// Reads the command line.
fn parse(program: &str, mut parser: Parser) -> Result<DaemonRequest> {
    let mut file = None;
    let mut is_check = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("settings") => file = Some(PathBuf::from(parser.value()?)),
            Arg::Long("check") => is_check = true,
            Arg::Long("help") | Arg::Short('h') => {
                return Ok(DaemonRequest::Print(format!(
                    "{INTRODUCTION}{program}{HELP}"
                )));
            }
            Arg::Long("version") => {
                let version = format!("{program} {}\n", env!("CARGO_PKG_VERSION"));
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
fn run(file: &Path, settings: DaemonSettings, adapter: &NodeAdapter) -> Result<()> {
    let plan = LogConfig {
        level: settings.log.level,
        ..LogConfig::default()
    };
    let queue = plan.apply().wrap_err("setting up the log")?;
    let ended = run_node(file, settings, adapter, &queue);
    // A reader who is away must not keep the process from ending; what is lost then nobody reads.
    let _ = queue.flush(LAST_LINES_TIME);
    ended
}

/// Runs a node, once there is a log.
fn run_node(
    file: &Path,
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
                _ = hangup.recv() => reload(&daemon, file),
            }
        }
        daemon.stop().await;
        Ok(())
    })
}

/// Reads the settings again. When they are wrong the node goes on with those that it has.
fn reload(daemon: &Daemon, file: &Path) {
    match read_settings(file) {
        Ok(settings) => daemon.reload(&settings),
        Err(error) => emit(&operator::RELOAD_REFUSED, &[&error]),
    }
}

/// Tells what went wrong, in one message.
fn fail(program: &str, status: u8, error: &eyre::Report) -> ExitCode {
    // Without a reader of standard error there is nobody to tell.
    let _ = writeln!(io::stderr(), "{program}: {error:#}");
    ExitCode::from(status)
}
