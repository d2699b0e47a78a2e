//! Where log records go and what they look like.

use std::{fmt::Arguments, io::Write, time::SystemTime};

use fern::{Dispatch, FormatCallback};
use log::{
    LevelFilter, Record,
    kv::{Error, Key, Value, VisitSource},
};
use serde_json::{Map, Value as JsonValue, json};

use crate::event_kind::{NUMBER_KEY, SUMMARY_KEY};

/// What a log record looks like.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogForm {
    /// One line of text: time (UTC, RFC 3339), level, event, fields as `name=value`.
    #[default]
    Text,
    /// One line of JSON with the same content.
    Json,
}

/// Settings of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogPlan {
    /// Records below this level are dropped.
    pub level: LevelFilter,
    /// What a record looks like.
    pub form: LogForm,
}

impl Default for LogPlan {
    fn default() -> Self {
        Self {
            level: LevelFilter::Info,
            form: LogForm::Text,
        }
    }
}

impl LogPlan {
    /// Builds the dispatch of records to `output`. The log is not in use until it is applied.
    pub fn dispatch(self, output: impl Write + Send + 'static) -> Dispatch {
        let form = self.form;
        let output: Box<dyn Write + Send> = Box::new(output);
        Dispatch::new()
            .level(self.level)
            .format(move |out, message, record| match form {
                LogForm::Text => text_line(out, message, record),
                LogForm::Json => json_line(out, message, record),
            })
            .chain(output)
    }

    /// Sends the process's records to standard error.
    ///
    /// # Errors
    ///
    /// When the process already has a logger.
    pub fn apply(self) -> Result<(), log::SetLoggerError> {
        self.dispatch(std::io::stderr()).apply()
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
    let mut fields = FieldVisitor(Map::new());
    // The visitor refuses nothing.
    let _ = record.key_values().visit(&mut fields);
    let mut fields = fields.0;
    let number = fields.remove(NUMBER_KEY);
    let summary = fields.remove(SUMMARY_KEY);
    let line = json!({
        "time": utc_now().to_string(),
        "level": record.level().as_str(),
        "event": number,
        "message": summary.unwrap_or_else(|| JsonValue::String(message.to_string())),
        "fields": fields,
    });
    out.finish(format_args!("{line}"));
}

/// Collects the key values of a record as JSON.
struct FieldVisitor(Map<String, JsonValue>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = match value.to_u64() {
            Some(number) => JsonValue::from(number),
            None => JsonValue::String(value.to_string()),
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}
