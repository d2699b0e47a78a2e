//! HTTP header fields as they travel between nodes.

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

/// Fields for which there is room before the first is read, at most, whatever the sender claims.
const FIRST_FIELDS: usize = 32;

/// Fields that a receiver adds, for which a map without room would move all others.
const ADDED_FIELDS: usize = 4;

/// HTTP header fields, without those of one connection.
///
/// They are written from and read into the map of the HTTP library directly: a copy of each name
/// and value would be the larger part of what a head allocates.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeaderList(Arc<HeaderMap>);

impl HeaderList {
    /// Fields to send.
    #[must_use]
    pub fn new(fields: impl Into<Arc<HeaderMap>>) -> Self {
        Self(fields.into())
    }

    /// The fields that came, copied only while they are shared.
    #[must_use]
    pub fn into_map(self) -> HeaderMap {
        Arc::unwrap_or_clone(self.0)
    }
}

/// One value, written as bytes and not as a list of numbers.
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

/// Reads fields one by one.
struct ListVisitor;

impl<'de> Visitor<'de> for ListVisitor {
    type Value = HeaderList;

    fn expecting(&self, formatter: &mut Formatter<'_>) -> FormatResult {
        formatter.write_str("HTTP header fields")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let count = seq.size_hint().unwrap_or_default().min(FIRST_FIELDS);
        let mut fields = HeaderMap::with_capacity(count + ADDED_FIELDS);
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
        deserializer.deserialize_seq(ListVisitor)
    }
}
