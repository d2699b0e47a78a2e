//! Parsing of the JSON bodies of store calls.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::Value;

use crate::store_data::CallError;

/// A range of keys, in the representation of etcd.
#[derive(Clone, Debug)]
pub(crate) struct KeyRange {
    start: Vec<u8>,
    /// The exclusive upper bound; empty for the single key `start`, a zero byte for no bound.
    end: Vec<u8>,
}

impl TryFrom<&Value> for KeyRange {
    type Error = CallError;

    fn try_from(body: &Value) -> Result<Self, CallError> {
        let end = body
            .get("range_end")
            .map_or(Ok(Vec::new()), decode_base64)?;
        Ok(Self {
            start: decode_base64(&body["key"])?,
            end,
        })
    }
}

impl KeyRange {
    /// Whether the range contains `key`.
    pub(crate) fn contains(&self, key: &[u8]) -> bool {
        match self.end.as_slice() {
            [] => key == self.start,
            [0] => key >= self.start.as_slice(),
            end => key >= self.start.as_slice() && key < end,
        }
    }
}

/// The elements of a list field; a missing one is empty.
pub(crate) fn list_field<'a>(body: &'a Value, field: &str) -> &'a [Value] {
    body[field].as_array().map_or(&[], Vec::as_slice)
}

/// Decodes a base64 field; a missing one is empty.
pub(crate) fn decode_base64(field: &Value) -> Result<Vec<u8>, CallError> {
    let text = field.as_str().unwrap_or("");
    STANDARD
        .decode(text)
        .map_err(|error| CallError::invalid(error.to_string()))
}

/// Parses a 64-bit integer, sent as text or as a number.
pub(crate) fn parse_integer(field: &Value) -> Option<i64> {
    field
        .as_str()
        .map_or_else(|| field.as_i64(), |text| text.parse().ok())
}
