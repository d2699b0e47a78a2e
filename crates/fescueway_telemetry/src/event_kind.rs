//! One kind of numbered event.

use std::fmt::{Display, Write};

use log::Level;

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
pub fn emit(kind: &EventKind, values: &[&dyn Display]) {
    debug_assert_eq!(
        kind.fields.len(),
        values.len(),
        "event {} fields",
        kind.number
    );
    if !log::log_enabled!(target: "fescueway", kind.level) {
        return;
    }
    let mut line = format!("E{:04} {}", kind.number, kind.summary);
    for (name, value) in kind.fields.iter().zip(values) {
        // Writing to a string can't fail.
        let _ = write!(line, " {name}={value}");
    }
    log::log!(target: "fescueway", kind.level, "{line}");
}
