//! Reading the JSON bodies of the store's calls.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::Value;

use crate::store_core::CallError;

/// A range of keys.
#[derive(Clone, Debug)]
pub(crate) struct ByteRange {
    start: Vec<u8>,
    /// The first key after the range; empty for one key, a zero byte for all keys.
    end: Vec<u8>,
}

impl TryFrom<&Value> for ByteRange {
    type Error = CallError;

    fn try_from(body: &Value) -> Result<Self, CallError> {
        let end = body.get("range_end").map_or(Ok(Vec::new()), bytes)?;
        Ok(Self {
            start: bytes(&body["key"])?,
            end,
        })
    }
}

impl ByteRange {
    /// Whether `key` lies in the range.
    pub(crate) fn contains(&self, key: &[u8]) -> bool {
        match self.end.as_slice() {
            [] => key == self.start,
            [0] => key >= self.start.as_slice(),
            end => key >= self.start.as_slice() && key < end,
        }
    }
}

/// The entries of a list field.
pub(crate) fn list<'a>(body: &'a Value, field: &str) -> &'a [Value] {
    body[field].as_array().map_or(&[], Vec::as_slice)
}

/// Bytes from a base64 field; a missing one is empty.
pub(crate) fn bytes(field: &Value) -> Result<Vec<u8>, CallError> {
    let text = field.as_str().unwrap_or("");
    STANDARD
        .decode(text)
        .map_err(|error| CallError::invalid(error.to_string()))
}

/// A 64-bit integer, sent as text or as a number.
pub(crate) fn integer(field: &Value) -> Option<i64> {
    field
        .as_str()
        .map_or_else(|| field.as_i64(), |text| text.parse().ok())
}
