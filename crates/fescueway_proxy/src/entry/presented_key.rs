//! The API key that a caller sent.

use std::fmt::{Debug, Formatter, Result as FormatResult};

use http::{HeaderMap, HeaderName, HeaderValue};

/// The API key that a caller sent. `Debug` does not show it.
#[derive(Clone, Default, Eq, PartialEq)]
pub enum PresentedKey {
    /// None.
    #[default]
    None,
    /// One, which may be unknown.
    One(HeaderValue),
    /// Several, so that it is not clear which one counts.
    Several,
}

impl PresentedKey {
    /// Reads the key from the header field `name`. Does not allocate.
    #[must_use]
    pub fn read(headers: &HeaderMap, name: Option<&HeaderName>) -> Self {
        let Some(name) = name else {
            return Self::None;
        };
        let mut values = headers.get_all(name).iter();
        match (values.next(), values.next()) {
            (None, _) => Self::None,
            (Some(key), None) => Self::One(key.clone()),
            (Some(_), Some(_)) => Self::Several,
        }
    }
}

impl Debug for PresentedKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        f.write_str(match self {
            Self::None => "None",
            Self::One(_) => "One",
            Self::Several => "Several",
        })
    }
}
