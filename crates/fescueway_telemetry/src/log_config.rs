//! Level, format and output of the log.

use std::{
    fmt::Arguments,
    io::{self, IsTerminal, Write, stdout},
    time::SystemTime,
};

use fern::{Dispatch, FormatCallback, Output};
use log::{LevelFilter, Record};
use thiserror::Error;

use crate::{LogQueue, json_line::JsonLine};

/// Format of a log record.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// One line of text: time (UTC, RFC 3339), level, event, fields as `name=value`.
    #[default]
    Text,
    /// One line of JSON with the same content.
    Json,
}

/// Configuration of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogConfig {
    /// Records below this level are dropped.
    pub level: LevelFilter,
    /// Format of a record.
    pub format: LogFormat,
}

/// Why the log could not be set up.
#[derive(Debug, Error)]
pub enum LogError {
    /// The writer thread could not be started.
    #[error("starting the log writer thread: {0}")]
    Thread(#[source] io::Error),
    /// The process already has a logger.
    #[error("installing the logger: {0}")]
    InUse(#[from] log::SetLoggerError),
}

impl Default for LogConfig {
    /// Text on a terminal, else JSON; level `info`.
    fn default() -> Self {
        let format = if stdout().is_terminal() {
            LogFormat::Text
        } else {
            LogFormat::Json
        };
        Self {
            level: LevelFilter::Info,
            format,
        }
    }
}

impl LogConfig {
    /// Creates a dispatch of records to `output`. It takes effect once it is applied.
    pub fn dispatch(self, output: impl Write + Send + 'static) -> Dispatch {
        let output: Box<dyn Write + Send> = Box::new(output);
        self.format_lines().chain(output)
    }

    /// Creates a dispatch that formats lines and has no output yet.
    fn format_lines(self) -> Dispatch {
        let format = self.format;
        Dispatch::new()
            .level(self.level)
            .format(move |out, message, record| match format {
                LogFormat::Text => text_line(out, message, record),
                LogFormat::Json => json_line(out, message, record),
            })
    }

    /// Logs the records of the process to standard output, through a queue that never blocks the caller.
    ///
    /// # Errors
    ///
    /// When the process already has a logger, or the writer thread can't be started.
    pub fn apply(self) -> Result<LogQueue, LogError> {
        let queue = LogQueue::start(stdout()).map_err(LogError::Thread)?;
        let output_queue = queue.clone();
        let output = Output::call(move |record| output_queue.push(record.args()));
        self.format_lines().chain(output).apply()?;
        Ok(queue)
    }
}

/// The current UTC time in RFC 3339 format with milliseconds.
fn utc_now() -> impl std::fmt::Display {
    humantime::format_rfc3339_millis(SystemTime::now())
}

/// Writes a record as text.
fn text_line(out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>) {
    out.finish(format_args!("{} {:5} {message}", utc_now(), record.level()));
}

/// Writes a record as JSON.
fn json_line(out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>) {
    out.finish(format_args!("{}", JsonLine { message, record }));
}
