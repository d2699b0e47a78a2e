//! Where log records go and what they look like.

use std::{
    fmt::Arguments,
    io::{self, IsTerminal, Write, stdout},
    time::SystemTime,
};

use fern::{Dispatch, FormatCallback, Output};
use log::{LevelFilter, Record};
use thiserror::Error;

use crate::{LogQueue, json_line::JsonLine};

/// What a log record looks like.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// One line of text: time (UTC, RFC 3339), level, event, fields as `name=value`.
    #[default]
    Text,
    /// One line of JSON with the same content.
    Json,
}

/// Settings of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogConfig {
    /// Records below this level are dropped.
    pub level: LevelFilter,
    /// What a record looks like.
    pub format: LogFormat,
}

/// Why there is no log.
#[derive(Debug, Error)]
pub enum LogError {
    /// No thread for the writer.
    #[error("starting the log's writer: {0}")]
    Thread(#[source] io::Error),
    /// Another logger is in use.
    #[error("putting the log in use: {0}")]
    InUse(#[from] log::SetLoggerError),
}

impl Default for LogConfig {
    /// Text on a terminal, else JSON, from the level `info`.
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
    /// Builds the dispatch of records to `output`. The log is not in use until it is applied.
    pub fn dispatch(self, output: impl Write + Send + 'static) -> Dispatch {
        let output: Box<dyn Write + Send> = Box::new(output);
        self.form_lines().chain(output)
    }

    /// A dispatch that forms lines and has no output yet.
    fn form_lines(self) -> Dispatch {
        let format = self.format;
        Dispatch::new()
            .level(self.level)
            .format(move |out, message, record| match format {
                LogFormat::Text => text_line(out, message, record),
                LogFormat::Json => json_line(out, message, record),
            })
    }

    /// Sends the process's records to standard output, through a queue that never blocks.
    ///
    /// # Errors
    ///
    /// When the process already has a logger, or the operating system gives no thread.
    pub fn apply(self) -> Result<LogQueue, LogError> {
        let queue = LogQueue::start(stdout()).map_err(LogError::Thread)?;
        let filling = queue.clone();
        let output = Output::call(move |record| filling.push(record.args()));
        self.form_lines().chain(output).apply()?;
        Ok(queue)
    }
}

/// The time as RFC 3339 in UTC with milliseconds.
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
