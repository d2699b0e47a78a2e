//! What one answer of a backend server states about the server itself.

use std::{
    fmt::{Display, Formatter, Result as FormatResult},
    time::Duration,
};

use fescueway_core::RateLimit;
use http::{HeaderMap, HeaderValue, StatusCode};

use crate::EdgeProfile;

/// Most characters of an invalid value that are logged.
const MAX_SHOWN_CHARS: usize = 64;

/// Longest cold time that a backend server may state; a longer one is reduced to it, so that a wrong unit
/// doesn't slow a target down for hours.
const MAX_WARMUP_LEFT: Duration = Duration::from_mins(10);

/// What one answer of a backend server states about the server itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerStatement {
    /// Requests per second that it accepts, `None` without a limit.
    pub rate_limit: Result<Option<RateLimit>, InvalidField>,
    /// Whether it is leaving.
    pub is_leaving: Result<bool, InvalidField>,
    /// How long it stays cold, `None` if the answer doesn't state it.
    pub warmup_left: Result<Option<Duration>, InvalidField>,
}

/// A header field whose value is not allowed. It states nothing: the server's earlier statement
/// remains valid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InvalidField {
    /// The value, shortened.
    pub value: String,
    /// Why it is not allowed.
    pub reason: &'static str,
}

impl ServerStatement {
    /// Reads the statement of an answer; `None` if the answer comes from another server than the
    /// expected one, or no field is in use.
    #[must_use]
    pub fn read(profile: &EdgeProfile, status: StatusCode, fields: &HeaderMap) -> Option<Self> {
        let names = [&profile.rate_limit, &profile.leaving, &profile.warmup_left];
        let is_unused = names.iter().all(|name| name.is_none());
        if is_unused || status == StatusCode::MISDIRECTED_REQUEST {
            return None;
        }
        let values = |name| fields.get_all(name).iter();
        Some(Self {
            rate_limit: profile
                .rate_limit
                .as_ref()
                .map_or(Ok(None), |name| read_rate_limit(values(name))),
            is_leaving: profile
                .leaving
                .as_ref()
                .map_or(Ok(false), |name| read_leaving(values(name))),
            warmup_left: profile
                .warmup_left
                .as_ref()
                .map_or(Ok(None), |name| read_warmup_left(values(name))),
        })
    }

    /// A field whose value is not allowed.
    #[must_use]
    pub fn invalid_field(&self) -> Option<&InvalidField> {
        let invalid_limit = self.rate_limit.as_ref().err();
        let invalid_leaving = self.is_leaving.as_ref().err();
        let invalid_warmup = self.warmup_left.as_ref().err();
        invalid_limit.or(invalid_leaving).or(invalid_warmup)
    }
}

impl InvalidField {
    /// An invalid value with the reason.
    fn new(value: &HeaderValue, reason: &'static str) -> Self {
        let text = String::from_utf8_lossy(value.as_bytes());
        Self {
            value: text.chars().take(MAX_SHOWN_CHARS).collect(),
            reason,
        }
    }
}

impl Display for InvalidField {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        write!(f, "{:?} is {}", self.value, self.reason)
    }
}

/// The lowest of the valid limits, in several fields or separated by commas in one.
///
/// # Errors
///
/// If there are values but none is valid.
fn read_rate_limit<'a>(
    values: impl Iterator<Item = &'a HeaderValue>,
) -> Result<Option<RateLimit>, InvalidField> {
    let mut lowest: Option<RateLimit> = None;
    let mut invalid = None;
    for value in values {
        for part in value.to_str().unwrap_or_default().split(',') {
            match RateLimit::try_from(part) {
                Ok(limit) => lowest = Some(lowest.map_or(limit, |known| known.min(limit))),
                Err(error) => invalid = Some(InvalidField::new(value, error.as_str())),
            }
        }
    }
    match (lowest, invalid) {
        (None, Some(invalid)) => Err(invalid),
        (lowest, _) => Ok(lowest),
    }
}

/// Whether any of the values says that the server is leaving.
///
/// # Errors
///
/// If a value is neither 0 nor 1 and no other says that it is leaving.
fn read_leaving<'a>(values: impl Iterator<Item = &'a HeaderValue>) -> Result<bool, InvalidField> {
    let mut invalid = None;
    for value in values {
        match value.as_bytes() {
            b"1" => return Ok(true),
            b"0" => {}
            _ => invalid = Some(InvalidField::new(value, "neither 0 nor 1")),
        }
    }
    invalid.map_or(Ok(false), Err)
}

/// The longest of the valid times in milliseconds, in several fields or separated by commas in one;
/// `None` without a value.
///
/// # Errors
///
/// If there are values but none is valid.
fn read_warmup_left<'a>(
    values: impl Iterator<Item = &'a HeaderValue>,
) -> Result<Option<Duration>, InvalidField> {
    let mut longest: Option<Duration> = None;
    let mut invalid = None;
    for value in values {
        for part in value.to_str().unwrap_or_default().split(',') {
            match part.trim().parse::<f64>() {
                Ok(millis) if millis.is_finite() && millis >= 0.0 => {
                    let seconds = (millis / 1_000.0).min(MAX_WARMUP_LEFT.as_secs_f64());
                    longest = longest.max(Some(Duration::from_secs_f64(seconds)));
                }
                _ => invalid = Some(InvalidField::new(value, "not a number of milliseconds")),
            }
        }
    }
    match (longest, invalid) {
        (None, Some(invalid)) => Err(invalid),
        (longest, _) => Ok(longest),
    }
}
