//! HTTP header fields as encoded between nodes.

use std::{
    fmt::{Formatter, Result as FormatResult},
    sync::Arc,
};

use http::{HeaderMap, HeaderName, HeaderValue};
use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{Error, SeqAccess, Visitor},
    ser::SerializeSeq,
};

/// Maximum number of fields to preallocate, however many the sender announces.
const MAX_PREALLOCATED_FIELDS: usize = 32;

/// Spare capacity for fields that a receiver adds, which avoids a rehash of the map.
const SPARE_FIELDS: usize = 4;

/// HTTP header fields, without hop-by-hop ones.
///
/// They are encoded from and decoded into the HTTP library's map directly: copies of the names and
/// values would be the larger part of what a head allocates.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeaderList(Arc<HeaderMap>);

impl HeaderList {
    /// Creates a list of fields to send.
    #[must_use]
    pub fn new(fields: impl Into<Arc<HeaderMap>>) -> Self {
        Self(fields.into())
    }

    /// Returns the fields, cloned only if they are shared.
    #[must_use]
    pub fn into_map(self) -> HeaderMap {
        Arc::unwrap_or_clone(self.0)
    }
}

/// A header value, encoded as bytes and not as a sequence of numbers.
struct FieldValue<'a>(&'a [u8]);

impl Serialize for FieldValue<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(self.0)
    }
}

impl Serialize for HeaderList {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut list = serializer.serialize_seq(Some(self.0.len()))?;
        for (name, value) in &*self.0 {
            list.serialize_element(&(name.as_str(), FieldValue(value.as_bytes())))?;
        }
        list.end()
    }
}

/// Decodes the fields one by one.
struct HeaderListVisitor;

impl<'de> Visitor<'de> for HeaderListVisitor {
    type Value = HeaderList;

    fn expecting(&self, formatter: &mut Formatter<'_>) -> FormatResult {
        formatter.write_str("HTTP header fields")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let count = seq
            .size_hint()
            .unwrap_or_default()
            .min(MAX_PREALLOCATED_FIELDS);
        let mut fields = HeaderMap::with_capacity(count + SPARE_FIELDS);
        while let Some((name, value)) = seq.next_element::<(&str, &[u8])>()? {
            let name = HeaderName::from_bytes(name.as_bytes()).map_err(A::Error::custom)?;
            let value = HeaderValue::from_bytes(value).map_err(A::Error::custom)?;
            fields.try_append(name, value).map_err(A::Error::custom)?;
        }
        Ok(HeaderList::new(fields))
    }
}

impl<'de> Deserialize<'de> for HeaderList {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(HeaderListVisitor)
    }
}
