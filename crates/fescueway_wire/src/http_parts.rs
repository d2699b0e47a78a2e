//! Parts of an HTTP head as they travel between nodes: as text, checked as it is read.
//!
//! They are read into the types of the HTTP library directly, as a text in between would be copied
//! twice.

/// An HTTP method.
pub mod method {
    use http::Method;
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    /// Writes the method's name.
    pub fn serialize<S: Serializer>(method: &Method, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(method.as_str())
    }

    /// Reads a method's name.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Method, D::Error> {
        let name = <&str>::deserialize(deserializer)?;
        name.parse().map_err(D::Error::custom)
    }
}

/// Path and query.
pub mod target {
    use http::uri::PathAndQuery;
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    /// Writes path and query.
    pub fn serialize<S: Serializer>(
        target: &PathAndQuery,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(target.as_str())
    }

    /// Reads path and query.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<PathAndQuery, D::Error> {
        let text = <&str>::deserialize(deserializer)?;
        text.parse().map_err(D::Error::custom)
    }
}

/// The value of a header field.
pub mod value {
    use http::HeaderValue;
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    /// Writes the value.
    pub fn serialize<S: Serializer>(value: &HeaderValue, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(value.as_bytes())
    }

    /// Reads a value.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<HeaderValue, D::Error> {
        let bytes = <&[u8]>::deserialize(deserializer)?;
        HeaderValue::from_bytes(bytes).map_err(D::Error::custom)
    }
}
