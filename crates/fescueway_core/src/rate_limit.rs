//! The rate of requests that a backend server accepts.

use std::{
    error::Error,
    fmt::{Display, Formatter, Result as FormatResult},
};

use serde::{Deserialize, Serialize};

/// Thousandths in one request per second.
const MILLIS_PER_S: f64 = 1_000.0;

/// Requests per second that a backend server accepts from all nodes together. Exact to a thousandth.
///
/// ```
/// # use fescueway_core::{RateLimit, RateLimitError};
/// assert_eq!(RateLimit::try_from("28.2")?.per_s(), 28.2);
/// assert_eq!(RateLimit::try_from("-1"), Err(RateLimitError::Negative));
/// # Ok::<(), RateLimitError>(())
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RateLimit {
    /// Thousandths of a request per second, at most [`RateLimit::MAX_PER_S`].
    milli_per_s: u64,
}

/// Why a value is not a rate limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RateLimitError {
    /// The text is not a decimal number.
    NotDecimal,
    /// The number is below zero.
    Negative,
    /// The number is infinite or not a number.
    NotFinite,
}

impl RateLimit {
    /// Largest limit, in requests per second; a larger number is reduced to it.
    pub const MAX_PER_S: f64 = 1e9;

    /// Requests per second.
    #[must_use]
    pub fn per_s(self) -> f64 {
        self.milli_per_s as f64 / MILLIS_PER_S
    }
}

impl TryFrom<f64> for RateLimit {
    type Error = RateLimitError;

    fn try_from(per_s: f64) -> Result<Self, RateLimitError> {
        if !per_s.is_finite() {
            return Err(RateLimitError::NotFinite);
        }
        if per_s < 0.0 {
            return Err(RateLimitError::Negative);
        }
        let milli_per_s = (per_s.min(Self::MAX_PER_S) * MILLIS_PER_S).round() as u64;
        Ok(Self { milli_per_s })
    }
}

impl TryFrom<&str> for RateLimit {
    type Error = RateLimitError;

    fn try_from(text: &str) -> Result<Self, RateLimitError> {
        let per_s = text.trim().parse::<f64>();
        per_s
            .map_err(|_invalid| RateLimitError::NotDecimal)?
            .try_into()
    }
}

impl Display for RateLimit {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        write!(f, "{}", self.per_s())
    }
}

impl RateLimitError {
    /// The reason in a few words.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotDecimal => "not a decimal number",
            Self::Negative => "below zero",
            Self::NotFinite => "not a finite number",
        }
    }
}

impl Display for RateLimitError {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        f.write_str(self.as_str())
    }
}

impl Error for RateLimitError {}
