//! Header fields that are exchanged with callers and backend servers.

use fescueway_core::ServerLoad;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header::CONTENT_ENCODING};

use crate::headers;

/// Parses the load report in a backend server's answer; `None` when it is invalid.
pub type LoadReader = fn(&[u8]) -> Option<ServerLoad>;

/// The names of the header fields that are exchanged with callers and backend servers. A field
/// without a name is not used.
///
/// The default has the product's own names. An installation whose callers and backend servers use
/// other header fields passes those names in.
#[derive(Clone, Debug)]
pub struct EdgeProfile {
    /// Time left in milliseconds. From a caller it shortens the deadline; to a backend server it is
    /// the time left until the deadline.
    pub time_left: HeaderName,
    /// In a backend server's answer: its load report for the host node.
    pub load: HeaderName,
    /// Parses `load` in the installation's own format; `None` for the ORCA format, which has no
    /// pace of work.
    pub read_load: Option<LoadReader>,
    /// In a backend server's answer: the requests per second that it accepts from all nodes
    /// together, a decimal number. It holds until an answer without the field.
    pub rate_limit: Option<HeaderName>,
    /// In a backend server's answer: `1` when it is leaving and accepts no new requests.
    pub leaving: Option<HeaderName>,
    /// In an answer to a caller: the request's outcome.
    pub outcome: Option<HeaderName>,
    /// In an answer to a caller: why the request was refused.
    pub reason: Option<HeaderName>,
    /// Token of the call that a backend server is serving, which it sends with its nested calls.
    pub call: Option<HeaderName>,
    /// The id of a caller's request. A backend server's answer must have the same id.
    pub request_id: Option<HeaderName>,
    /// In a request to a backend server: the service that runs beside the entry node.
    pub caller_service: Option<HeaderName>,
    /// In a request from a caller: the key of its client account. Not forwarded at a site that has
    /// accounts.
    pub api_key: Option<HeaderName>,
    /// In a request to a backend server: the name of the client account.
    pub account: Option<HeaderName>,
    /// In a request to a backend server: the identity that it must have, so that another server at
    /// the same address refuses.
    pub expected_target: Option<HeaderName>,
    /// In a backend server's answer: its identity.
    pub identity: Option<HeaderName>,
    /// In a backend server's answer: for how many milliseconds it stays cold.
    pub warmup_left: Option<HeaderName>,
    /// In a backend server's answer: present when it did not run the request.
    pub not_run: Option<HeaderName>,
    /// In a backend server's answer: present on every answer that it produced in full.
    pub seal: Option<HeaderName>,
    /// Header fields of callers with this prefix are not forwarded, except `request_id`.
    pub own_prefix: &'static str,
    /// Whether fields with the prefix `own_prefix` are removed from answers.
    pub is_answer_stripped: bool,
    /// Whether `Retry-After` may have fractions of a second, which RFC 9110 does not allow.
    pub is_retry_after_exact: bool,
}

/// What a backend server's answer means for its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerVerdict {
    /// The request ran, and this is its answer.
    Ran,
    /// The request did not run.
    NotRun,
    /// This is no valid answer to the request, which may have run; with the reason.
    Invalid(&'static str),
}

impl Default for EdgeProfile {
    fn default() -> Self {
        Self {
            time_left: HeaderName::from_static("fescueway-time-left-ms"),
            load: HeaderName::from_static("endpoint-load-metrics"),
            read_load: None,
            rate_limit: Some(headers::RATE_LIMIT),
            leaving: Some(headers::LEAVING),
            outcome: Some(headers::OUTCOME),
            reason: Some(headers::REASON),
            call: Some(headers::CALL),
            request_id: None,
            caller_service: None,
            api_key: Some(headers::API_KEY),
            account: Some(headers::ACCOUNT),
            expected_target: None,
            identity: None,
            warmup_left: Some(headers::WARMUP_LEFT),
            not_run: None,
            seal: None,
            own_prefix: headers::OWN_PREFIX,
            is_answer_stripped: true,
            is_retry_after_exact: false,
        }
    }
}

impl EdgeProfile {
    /// Classifies an answer with `status` and `fields` to the request with the id `id`.
    ///
    /// A connection may deliver a late answer to an earlier request, which only the id reveals.
    #[must_use]
    pub fn judge(
        &self,
        status: StatusCode,
        fields: &HeaderMap,
        id: Option<&HeaderValue>,
    ) -> AnswerVerdict {
        if let Some(name) = &self.request_id
            && fields.get(name) != id
        {
            return AnswerVerdict::Invalid("the answer has the id of another request");
        }
        if let Some(name) = &self.not_run {
            if fields.contains_key(name) {
                return AnswerVerdict::NotRun;
            }
            // These statuses tell a caller that the request did not run; without the field that
            // isn't certain.
            if is_no_run_status(status) {
                return AnswerVerdict::Invalid(
                    "the status means not run, but the not-run field is missing",
                );
            }
        }
        match &self.seal {
            Some(name) if status.is_success() && !fields.contains_key(name) => {
                AnswerVerdict::Invalid("the answer has no seal header field")
            }
            Some(_) if status.is_success() && fields.contains_key(CONTENT_ENCODING) => {
                AnswerVerdict::Invalid("the answer has a content encoding that was not requested")
            }
            _ => AnswerVerdict::Ran,
        }
    }
}

/// Whether a status tells the caller that the request did not run and never will.
fn is_no_run_status(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
