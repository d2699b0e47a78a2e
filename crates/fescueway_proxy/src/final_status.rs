//! The status of a final answer.

use http::StatusCode;

/// The status as that of a final answer, or `None`. The HTTP library takes any of 100 to 999; but
/// informational answers are none, and RFC 9110 (section 15) has no class above 5xx.
pub fn final_status(status: u16) -> Option<StatusCode> {
    let status = StatusCode::from_u16(status).ok()?;
    matches!(status.as_u16(), 200..=599).then_some(status)
}
