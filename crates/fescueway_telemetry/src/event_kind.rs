//! One kind of numbered event.

use std::fmt::{Display, Write};

use log::{Level, Record, kv::Value};

/// The target of every record that fescueway logs.
pub const LOG_TARGET: &str = "fescueway";

/// The key of an event's number among the key values of its record.
pub(crate) const NUMBER_KEY: &str = "event";

/// The key of an event's summary among the key values of its record.
pub(crate) const SUMMARY_KEY: &str = "summary";

/// One kind of numbered event. `docs/EVENTS.md` is made from these.
#[derive(Clone, Copy, Debug)]
pub struct EventKind {
    /// The number, unique and never reused.
    pub number: u16,
    /// The level at which it is logged.
    pub level: Level,
    /// What happened, in a few words.
    pub summary: &'static str,
    /// Names of its fields.
    pub fields: &'static [&'static str],
    /// What the operator should do.
    pub advice: &'static str,
}

/// Logs an event with its fields, given in the order of [`EventKind::fields`].
///
/// A value that holds spaces or control characters is quoted, so that nothing a caller sends can
/// pass for another field or another line.
pub fn emit(kind: &EventKind, values: &[&dyn Display]) {
    debug_assert_eq!(
        kind.fields.len(),
        values.len(),
        "event {} fields",
        kind.number
    );
    if !log::log_enabled!(target: LOG_TARGET, kind.level) {
        return;
    }
    let texts: Vec<_> = values.iter().map(ToString::to_string).collect();
    let mut pairs = vec![
        (NUMBER_KEY, Value::from(kind.number)),
        (SUMMARY_KEY, Value::from(kind.summary)),
    ];
    let fields = kind.fields.iter().copied().zip(texts.iter());
    pairs.extend(fields.map(|(name, text)| (name, Value::from(&**text))));
    let line = event_line(kind, &texts);
    log::logger().log(
        &Record::builder()
            .target(LOG_TARGET)
            .level(kind.level)
            .key_values(&pairs)
            .args(format_args!("{line}"))
            .build(),
    );
}

/// The event as one line of text.
fn event_line(kind: &EventKind, texts: &[String]) -> String {
    let mut line = format!("E{:04} {}", kind.number, kind.summary);
    for (name, text) in kind.fields.iter().zip(texts) {
        let is_plain = !text.is_empty() && text.chars().all(is_plain_letter);
        // Writing to a string can't fail.
        let _ = if is_plain {
            write!(line, " {name}={text}")
        } else {
            write!(line, " {name}={text:?}")
        };
    }
    line
}

/// Whether a letter needs no quotes around it.
fn is_plain_letter(letter: char) -> bool {
    !letter.is_whitespace() && !letter.is_control() && letter != '"' && letter != '='
}
