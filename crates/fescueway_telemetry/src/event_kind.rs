//! Kinds of numbered events, and how they are logged.

use std::fmt::{Display, Formatter, Result};

use log::{Level, Record, kv::Value};

/// The log target of every record that fescueway logs.
pub const LOG_TARGET: &str = "fescueway";

/// The key of an event's number among the key values of its record.
pub(crate) const NUMBER_KEY: &str = "event";

/// The key of an event's summary among the key values of its record.
pub(crate) const SUMMARY_KEY: &str = "summary";

/// A kind of numbered event. `docs/EVENTS.md` is generated from these.
#[derive(Clone, Copy, Debug)]
pub struct EventKind {
    /// The number, unique and never reused.
    pub number: u16,
    /// The level at which it is logged.
    pub level: Level,
    /// What happened, in a few words.
    pub summary: &'static str,
    /// Names of its fields, in the order in which they are logged.
    pub fields: &'static [&'static str],
    /// What the operator should do.
    pub advice: &'static str,
}

impl EventKind {
    /// Whether events of this kind are logged.
    #[must_use]
    pub fn is_logged(&self) -> bool {
        log::log_enabled!(target: LOG_TARGET, self.level)
    }
}

/// Logs an event with its fields, given in the order of [`EventKind::fields`].
///
/// In text, a value with spaces or control characters is quoted, so that what a caller sends can't forge
/// another field or line.
pub fn emit(kind: &EventKind, values: &[&dyn Display]) {
    debug_assert_eq!(
        kind.fields.len(),
        values.len(),
        "event {} fields",
        kind.number
    );
    if !kind.is_logged() {
        return;
    }
    let mut pairs = Vec::with_capacity(values.len() + 2);
    pairs.push((NUMBER_KEY, Value::from(kind.number)));
    pairs.push((SUMMARY_KEY, Value::from(kind.summary)));
    let fields = kind.fields.iter().copied().zip(values);
    pairs.extend(fields.map(|(name, value)| (name, Value::from_dyn_display(*value))));
    // Formatted only if the log format is text.
    let line = EventLine { kind, values };
    log::logger().log(
        &Record::builder()
            .target(LOG_TARGET)
            .level(kind.level)
            .key_values(&pairs)
            .args(format_args!("{line}"))
            .build(),
    );
}

/// An event as one line of text.
struct EventLine<'a> {
    /// The kind of event.
    kind: &'a EventKind,
    /// The values of its fields.
    values: &'a [&'a dyn Display],
}

impl Display for EventLine<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(f, "E{:04} {}", self.kind.number, self.kind.summary)?;
        for (name, value) in self.kind.fields.iter().zip(self.values) {
            let text = value.to_string();
            let is_plain = !text.is_empty() && text.chars().all(is_plain_letter);
            if is_plain {
                write!(f, " {name}={text}")?;
            } else {
                write!(f, " {name}={text:?}")?;
            }
        }
        Ok(())
    }
}

/// Whether a value with this character needs no quotes.
fn is_plain_letter(letter: char) -> bool {
    !letter.is_whitespace() && !letter.is_control() && letter != '"' && letter != '='
}
