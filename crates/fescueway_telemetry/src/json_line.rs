//! A log record as one line of JSON.

use std::{
    fmt::{Arguments, Display, Formatter, Result as FormatResult, Write},
    time::SystemTime,
};

use log::{
    Record,
    kv::{Error, Key, Value, VisitSource},
};

use crate::event_kind::{NUMBER_KEY, SUMMARY_KEY};

/// Formats a log record as one line of JSON. Writes it directly, without building a JSON value, because nodes
/// log individual requests.
pub(crate) struct JsonLine<'a> {
    /// Text of a record that is not an event.
    pub(crate) message: &'a Arguments<'a>,
    /// The record.
    pub(crate) record: &'a Record<'a>,
}

impl Display for JsonLine<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        let time = humantime::format_rfc3339_millis(SystemTime::now());
        let level = self.record.level();
        write!(f, r#"{{"time":"{time}","level":"{level}""#)?;
        let values = self.record.key_values();
        if let Some(number) = values.get(Key::from_str(NUMBER_KEY)) {
            write!(f, r#","event":{number}"#)?;
        }
        f.write_str(r#","message":"#)?;
        match values.get(Key::from_str(SUMMARY_KEY)) {
            Some(summary) => write_string(f, &summary)?,
            None => write_string(f, self.message)?,
        }
        f.write_str(r#","fields":{"#)?;
        let mut fields = FieldWriter { f, is_first: true };
        values
            .visit(&mut fields)
            .map_err(|_error| std::fmt::Error)?;
        f.write_str("}}")
    }
}

/// Writes the fields of a record.
struct FieldWriter<'a, 'f> {
    /// Destination.
    f: &'a mut Formatter<'f>,
    /// Whether no field has been written yet.
    is_first: bool,
}

impl<'kvs> VisitSource<'kvs> for FieldWriter<'_, '_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let name = key.as_str();
        if name == NUMBER_KEY || name == SUMMARY_KEY {
            return Ok(());
        }
        if !self.is_first {
            self.f.write_char(',')?;
        }
        self.is_first = false;
        write_string(self.f, &name)?;
        self.f.write_char(':')?;
        write_string(self.f, &value)?;
        Ok(())
    }
}

/// Writes the `Display` text of `value` as a JSON string (RFC 8259, section 7).
fn write_string(f: &mut Formatter<'_>, value: &dyn Display) -> FormatResult {
    f.write_char('"')?;
    write!(StringWriter(f), "{value}")?;
    f.write_char('"')
}

/// Escapes the characters that a JSON string can't hold.
struct StringWriter<'a, 'f>(&'a mut Formatter<'f>);

impl Write for StringWriter<'_, '_> {
    fn write_str(&mut self, s: &str) -> FormatResult {
        let is_special = |letter: char| matches!(letter, '"' | '\\' | '\0'..='\u{1f}');
        let mut rest = s;
        while let Some(at) = rest.find(is_special) {
            let (plain, tail) = rest.split_at(at);
            self.0.write_str(plain)?;
            let mut letters = tail.chars();
            if let Some(letter) = letters.next() {
                write!(self.0, "\\u{:04x}", u32::from(letter))?;
            }
            rest = letters.as_str();
        }
        self.0.write_str(rest)
    }
}
