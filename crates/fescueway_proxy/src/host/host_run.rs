//! Runs one request on the backend server, from admission to the head of the response.

use std::{sync::Arc, time::Duration};

use fescueway_admission::{RunEnd, TargetGate};
use fescueway_core::{Idempotency, Refusal, RefusalReason, StatementSource};
use http::{
    HeaderMap, HeaderValue, Request, Response, Uri,
    header::{CONNECTION, CONTENT_LENGTH, HOST, RETRY_AFTER, TE, TRANSFER_ENCODING},
};
use http_body::Body;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::{
    BackendBody, BackendError, BackendStep, HostTarget, RunChecks, RunDenial, RunTicket,
    backend_body::RunResources, backend_pool::BackendConnection,
};
use crate::{
    body::{HostBody, IdleTimer},
    call_table::CallGuard,
    edge_profile::{AnswerVerdict, EdgeProfile},
    headers,
    offer_request::HostRequest,
    proxy_state::ProxyState,
};

/// Retry delay when the backend server refuses a request although its host had a free slot, and
/// states none. It is short because the backend server's own queue is short and a slot soon becomes
/// free.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Longest retry delay that a backend server may state.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// How long a run may go on after the time left that its backend server was told. A run that must not be
/// cancelled ends here if no response comes.
const RUN_GRACE: Duration = Duration::from_millis(500);

/// Request that holds a slot and a connection and of which no byte was sent yet.
#[derive(Debug)]
pub struct HostRun {
    /// Slot of the request.
    ticket: RunTicket,
    /// Connection to the backend server.
    connection: BackendConnection,
}

/// Result of a run.
#[derive(Debug)]
pub enum RunAnswer {
    /// The backend server responded. The body may still be arriving.
    Answered(Box<Response<BackendBody>>),
    /// The request did not run.
    Refused(Refusal),
    /// No valid response arrived. The request may have run.
    Lost(BackendError),
}

impl HostRun {
    /// Waits for a slot, for the permit to hand the request over and for a connection.
    ///
    /// The connection is reserved last, so that it can't become stale while the others are awaited.
    ///
    /// # Errors
    ///
    /// If the request is not handed over. It did not run and will not run here.
    pub async fn prepare(
        checks: &RunChecks,
        target: &Arc<HostTarget>,
        request: &HostRequest,
    ) -> Result<Self, RunDenial> {
        let terms = &request.terms;
        let mut ticket = match target.admit(terms).await {
            Ok(ticket) => ticket,
            Err(refusal) => return Err(checks.refusal(terms, refusal).await),
        };
        match checks.hand_over(terms).await {
            Ok(permit) => ticket.set_permit(permit),
            Err(denial) => {
                ticket.finish(RunEnd::Released);
                return Err(denial);
            }
        }
        match target.pool().checkout(terms).await {
            // The evacuation began after the gate admitted the request.
            Ok(_connection) if target.is_evacuated() => {
                ticket.finish(RunEnd::Released);
                Err(RunDenial::Refused(TargetGate::evacuation_refusal()))
            }
            Ok(connection) => Ok(Self { ticket, connection }),
            Err(_unreachable) => {
                ticket.finish(RunEnd::Lost);
                Err(RunDenial::Refused(unreachable_backend()))
            }
        }
    }

    /// Target on which the request runs.
    pub fn target(&self) -> &Arc<HostTarget> {
        self.ticket.target()
    }

    /// Sends the request and waits for the head of the response, for [`RUN_GRACE`] longer than the time left
    /// of the request at most.
    pub async fn run(
        mut self,
        state: ProxyState,
        request: HostRequest,
        body: HostBody,
    ) -> RunAnswer {
        if self.ticket.target().is_evacuated() {
            self.ticket.set_end(RunEnd::Released);
            return RunAnswer::Refused(TargetGate::evacuation_refusal());
        }
        let pool = self.ticket.target().pool().clone();
        let service = request.terms.service.clone();
        let call = state.calls().register(&request.terms, state.now());
        let profile = state.profile();
        let id = profile.request_id.as_ref();
        let id = id.and_then(|name| request.headers.get(name)).cloned();
        let is_detached = request.terms.idempotency == Idempotency::NonIdempotent;
        let mut timer = IdleTimer::new(state.limits().body_idle);
        timer.set_deadline(state.clock().instant(request.deadline));
        let time_limit = request.terms.time_left + RUN_GRACE;
        let identity = self.ticket.target().identity().cloned();
        let request = to_backend_request(profile, request, body, &call, identity);
        self.ticket.hand_over();
        let asked_at = state.now();
        let sent = timeout(time_limit, pool.send(self.connection, request)).await;
        let sent = sent.unwrap_or_else(|_elapsed| Err(BackendError::timed_out(pool.address())));
        match sent {
            Ok((response, connection)) => {
                let mut ticket = self.ticket;
                if let Some(load) = response.headers().get(&profile.load) {
                    match profile.read_load.map(|read| read(load.as_bytes())) {
                        Some(Some(load)) => ticket.target().learn_load(&load),
                        // A malformed load report is ignored.
                        Some(None) => {}
                        None => state.notify_load(&service, load.as_bytes()),
                    }
                }
                let verdict = profile.judge(response.status(), response.headers(), id.as_ref());
                if !matches!(verdict, AnswerVerdict::Invalid(_)) {
                    let (status, fields) = (response.status(), response.headers());
                    let source = StatementSource::Request;
                    let target = ticket.target();
                    state.learn_statement(&service, target, asked_at, source, status, fields);
                }
                match verdict {
                    AnswerVerdict::Ran => {}
                    AnswerVerdict::NotRun => {
                        ticket.undo_hand_over();
                        ticket.set_end(RunEnd::Released);
                        return RunAnswer::Refused(refused_by_backend(response.headers()));
                    }
                    AnswerVerdict::Invalid(detail) => {
                        ticket.set_end(RunEnd::Lost);
                        let address = pool.address();
                        let step = BackendStep::Receive;
                        return RunAnswer::Lost(BackendError::new(step, address, &detail));
                    }
                }
                ticket.set_status(response.status().as_u16());
                let run = RunResources {
                    ticket,
                    connection,
                    call,
                };
                let detached = is_detached.then(|| state.clone());
                let answer = to_answer(profile, response, run, detached, timer);
                RunAnswer::Answered(Box::new(answer))
            }
            Err(error) => {
                // If the request body failed on the caller's side, the backend server is not at
                // fault.
                let is_cancelled = error.is_caller_side();
                self.ticket.set_end(if is_cancelled {
                    RunEnd::Cancelled
                } else {
                    RunEnd::Lost
                });
                if error.is_unsent() {
                    self.ticket.undo_hand_over();
                    RunAnswer::Refused(unreachable_backend())
                } else {
                    RunAnswer::Lost(error)
                }
            }
        }
    }
}

/// Builds the request for the backend server.
fn to_backend_request(
    profile: &EdgeProfile,
    request: HostRequest,
    body: HostBody,
    call: &CallGuard,
    identity: Option<HeaderValue>,
) -> Request<HostBody> {
    let time_left = request.terms.time_left.as_millis() as u64;
    let mut headers = request.headers;
    headers.insert(HOST, request.authority);
    if let Some(name) = &profile.call
        && let Some(token) = call.token()
    {
        headers.insert(name.clone(), token);
    }
    if let (Some(name), Some(identity)) = (&profile.expected_target, identity) {
        headers.insert(name.clone(), identity);
    }
    headers.insert(profile.time_left.clone(), HeaderValue::from(time_left));
    if !body.is_end_stream() && !headers.contains_key(CONTENT_LENGTH) {
        // Without this header the HTTP library omits the body for methods that rarely have one.
        headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
    }
    if headers.contains_key(TE) {
        headers.insert(CONNECTION, HeaderValue::from_static("te"));
    }
    let mut backend_request = Request::new(body);
    *backend_request.method_mut() = request.method;
    *backend_request.uri_mut() = Uri::from(request.target);
    *backend_request.headers_mut() = headers;
    backend_request
}

/// Wraps the response so that the end of its body ends the run.
fn to_answer(
    profile: &EdgeProfile,
    response: Response<Incoming>,
    run: RunResources,
    detached: Option<ProxyState>,
    timer: IdleTimer,
) -> Response<BackendBody> {
    let is_failure = response.status().is_server_error();
    let end = if is_failure {
        RunEnd::Failed
    } else {
        RunEnd::Answered
    };
    let mut response =
        response.map(|incoming| BackendBody::new(incoming, run, detached, end, timer));
    headers::strip_answer(response.headers_mut(), profile);
    response
}

/// Creates the refusal for a backend server that reports, with these header fields, that it did not
/// run the request.
fn refused_by_backend(fields: &HeaderMap) -> Refusal {
    Refusal {
        reason: RefusalReason::BackendRefused,
        retry_after: stated_retry_after(fields).unwrap_or(BUSY_RETRY_AFTER),
    }
}

/// The retry delay that a backend server states in seconds, at most [`MAX_RETRY_AFTER`]. A date,
/// which RFC 9110 allows too, is ignored: it depends on the server's wall clock.
fn stated_retry_after(fields: &HeaderMap) -> Option<Duration> {
    let seconds = fields
        .get(RETRY_AFTER)?
        .to_str()
        .ok()?
        .trim()
        .parse::<f64>()
        .ok()?;
    let is_valid = seconds.is_finite() && seconds >= 0.0;
    is_valid.then(|| Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER.as_secs_f64())))
}

/// Creates the refusal of a host whose backend server can't be reached.
fn unreachable_backend() -> Refusal {
    Refusal {
        reason: RefusalReason::BackendUnreachable,
        retry_after: Duration::from_secs(1),
    }
}
