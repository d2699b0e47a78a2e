//! Serialization of the parts of an HTTP head, validated while decoding.
//!
//! They are decoded into the HTTP library's types directly; an intermediate string would be copied
//! twice.

/// Serialization of an HTTP method.
pub mod method {
    use http::Method;
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    /// Serializes the method's name.
    pub fn serialize<S: Serializer>(method: &Method, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(method.as_str())
    }

    /// Deserializes a method's name.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Method, D::Error> {
        let name = <&str>::deserialize(deserializer)?;
        name.parse().map_err(D::Error::custom)
    }
}

/// Serialization of a path and query.
pub mod target {
    use http::uri::PathAndQuery;
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    /// Serializes the path and query.
    pub fn serialize<S: Serializer>(
        target: &PathAndQuery,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(target.as_str())
    }

    /// Deserializes a path and query.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<PathAndQuery, D::Error> {
        let text = <&str>::deserialize(deserializer)?;
        text.parse().map_err(D::Error::custom)
    }
}

/// Serialization of a header field's value.
pub mod value {
    use http::HeaderValue;
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    /// Serializes the value.
    pub fn serialize<S: Serializer>(value: &HeaderValue, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(value.as_bytes())
    }

    /// Deserializes a value.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<HeaderValue, D::Error> {
        let bytes = <&[u8]>::deserialize(deserializer)?;
        HeaderValue::from_bytes(bytes).map_err(D::Error::custom)
    }
}
