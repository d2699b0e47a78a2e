//! What callers and backend servers are told, and tell, in header fields.

use fescueway_core::ServerLoad;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header::CONTENT_ENCODING};

use crate::headers;

/// Reads the load that a backend server reports with an answer; `None` when it makes no sense.
pub type LoadReader = fn(&[u8]) -> Option<ServerLoad>;

/// The names of the header fields at both edges. A field without a name is not used.
///
/// The default is the product's own interface. An installation whose callers and backend servers
/// speak another dialect passes its names in.
#[derive(Clone, Debug)]
pub struct EdgeProfile {
    /// Time left in milliseconds: from a caller it shortens the deadline, to a backend server it
    /// tells it.
    pub time_left: HeaderName,
    /// The load of a backend server, which it tells its host node with an answer.
    pub load: HeaderName,
    /// Reads `load` in the installation's own form; `None` for the form of ORCA, which tells no pace of
    /// work.
    pub read_load: Option<LoadReader>,
    /// Tells the caller what became of the request.
    pub outcome: Option<HeaderName>,
    /// Tells the caller why the request was refused.
    pub reason: Option<HeaderName>,
    /// Names the call that a backend server is serving when it calls another service.
    pub call: Option<HeaderName>,
    /// Names one request of a caller. A backend server's answer has to bear it too.
    pub request_id: Option<HeaderName>,
    /// Tells a backend server which service runs beside the node that took the request.
    pub caller_service: Option<HeaderName>,
    /// Tells a backend server which one is meant, so that another one at its address refuses.
    pub expected_target: Option<HeaderName>,
    /// In a backend server's answer: which one it is.
    pub identity: Option<HeaderName>,
    /// In a backend server's answer: it did not run the request.
    pub not_run: Option<HeaderName>,
    /// Stands in every answer that a backend server made whole.
    pub seal: Option<HeaderName>,
    /// Header fields of callers that begin with this are not passed on, but for `request_id`.
    pub own_prefix: &'static str,
    /// Whether fields that begin with `own_prefix` are taken out of answers.
    pub is_answer_stripped: bool,
    /// Whether `Retry-After` may have fractions of a second, beyond RFC 9110.
    pub is_retry_after_exact: bool,
}

/// What a backend server's answer says of its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerVerdict {
    /// It ran, and this is its answer.
    Ran,
    /// It did not run.
    NotRun,
    /// It may have run, and this is no answer to it.
    Invalid(&'static str),
}

impl Default for EdgeProfile {
    fn default() -> Self {
        Self {
            time_left: HeaderName::from_static("fescueway-time-left-ms"),
            load: HeaderName::from_static("endpoint-load-metrics"),
            read_load: None,
            outcome: Some(headers::OUTCOME),
            reason: Some(headers::REASON),
            call: Some(headers::CALL),
            request_id: None,
            caller_service: None,
            expected_target: None,
            identity: None,
            not_run: None,
            seal: None,
            own_prefix: headers::OWN_PREFIX,
            is_answer_stripped: true,
            is_retry_after_exact: false,
        }
    }
}

impl EdgeProfile {
    /// What an answer with `status` and `fields` says of the request with the id `id`.
    ///
    /// A connection may bring an answer late, to a request before this one: only the id tells.
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
            return AnswerVerdict::Invalid("the answer bears another request's id");
        }
        if let Some(name) = &self.not_run {
            if fields.contains_key(name) {
                return AnswerVerdict::NotRun;
            }
            // These statuses promise a caller that nothing ran, which only the field proves here.
            if is_no_run_status(status) {
                return AnswerVerdict::Invalid("a status that promises too much");
            }
        }
        match &self.seal {
            Some(name) if status.is_success() && !fields.contains_key(name) => {
                AnswerVerdict::Invalid("the answer bears no seal")
            }
            Some(_) if status.is_success() && fields.contains_key(CONTENT_ENCODING) => {
                AnswerVerdict::Invalid("the answer is encoded, which nobody asked for")
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
