//! One run at the backend server, from its admission to the head of its answer.

use std::{sync::Arc, time::Duration};

use fescueway_admission::RunEnd;
use fescueway_core::{Idempotency, Refusal, RefusalReason};
use http::{
    HeaderValue, Request, Response, Uri,
    header::{CONNECTION, CONTENT_LENGTH, HOST, TE, TRANSFER_ENCODING},
};
use http_body::Body;
use hyper::body::Incoming;

use super::{
    BackendBody, BackendError, BackendStep, HostTarget, RunChecks, RunDenial, RunTicket,
    backend_body::RunningCall, backend_pool::BackendConnection,
};
use crate::{
    body::HostBody,
    call_table::CallGuard,
    edge_profile::{AnswerVerdict, EdgeProfile},
    headers,
    offer_request::HostRequest,
    proxy_state::ProxyState,
};

/// When to come back to a backend server that refuses although its host saw a free slot: its own
/// queue is short, so that the next free slot is near.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(200);

/// A request that has a slot and a connection. No byte of it was sent.
#[derive(Debug)]
pub struct HostRun {
    /// Its slot.
    ticket: RunTicket,
    /// Its connection.
    connection: BackendConnection,
}

/// What became of a run.
#[derive(Debug)]
pub enum RunAnswer {
    /// The backend server answers.
    Answered(Box<Response<BackendBody>>),
    /// No byte of the request was sent.
    Refused(Refusal),
    /// The answer was lost.
    Lost(BackendError),
}

impl HostRun {
    /// Waits for a slot, the right to hand the request over, and a connection.
    ///
    /// The connection comes last, so that it is fresh when the request is sent on it.
    ///
    /// # Errors
    ///
    /// Why the request did not run and will not.
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
            Ok(permit) => ticket.permit(permit),
            Err(stop) => {
                ticket.finish(RunEnd::Released);
                return Err(stop);
            }
        }
        match target.pool().checkout(terms.idempotency).await {
            Ok(connection) => Ok(Self { ticket, connection }),
            Err(_unreachable) => {
                ticket.finish(RunEnd::Lost);
                Err(RunDenial::Refused(unreachable_backend()))
            }
        }
    }

    /// The target.
    pub fn target(&self) -> &Arc<HostTarget> {
        self.ticket.target()
    }

    /// Sends the request and waits for the head of the answer.
    pub async fn run(
        mut self,
        state: ProxyState,
        request: HostRequest,
        body: HostBody,
    ) -> RunAnswer {
        let pool = self.ticket.target().pool().clone();
        let service = request.terms.service.clone();
        let call = state.calls().enter(&request.terms, state.now());
        let profile = state.profile();
        let id = profile.request_id.as_ref();
        let id = id.and_then(|name| request.headers.get(name)).cloned();
        let is_kept = request.terms.idempotency == Idempotency::NonIdempotent;
        let identity = self.ticket.target().identity().cloned();
        let request = to_backend(profile, request, body, &call, identity);
        self.ticket.hand_over();
        match pool.send(self.connection, request).await {
            Ok((response, connection)) => {
                let mut ticket = self.ticket;
                if let Some(load) = response.headers().get(&profile.load) {
                    match profile.read_load.map(|read| read(load.as_bytes())) {
                        Some(Some(load)) => ticket.target().learn_load(&load),
                        // What makes no sense tells nothing.
                        Some(None) => {}
                        None => state.record_load(&service, load.as_bytes()),
                    }
                }
                match profile.judge(response.status(), response.headers(), id.as_ref()) {
                    AnswerVerdict::Ran => {}
                    AnswerVerdict::NotRun => {
                        ticket.take_back();
                        ticket.set_end(RunEnd::Released);
                        return RunAnswer::Refused(refused_by_backend());
                    }
                    AnswerVerdict::Foreign(detail) => {
                        ticket.set_end(RunEnd::Lost);
                        let address = pool.address();
                        let step = BackendStep::Receive;
                        return RunAnswer::Lost(BackendError::new(step, address, &detail));
                    }
                }
                ticket.answered(response.status().as_u16());
                let run = RunningCall {
                    ticket,
                    connection,
                    call,
                };
                let idle = state.limits().body_idle;
                RunAnswer::Answered(Box::new(to_answer(profile, response, run, is_kept, idle)))
            }
            Err(error) => {
                // What the caller broke off says nothing about the backend server.
                let is_cancelled = error.is_caller_side();
                self.ticket.set_end(if is_cancelled {
                    RunEnd::Cancelled
                } else {
                    RunEnd::Lost
                });
                if error.is_unsent() {
                    self.ticket.take_back();
                    RunAnswer::Refused(unreachable_backend())
                } else {
                    RunAnswer::Lost(error)
                }
            }
        }
    }
}

/// The request as the backend server gets it.
fn to_backend(
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
        // Without it the HTTP library sends no body with a method that seldom has one.
        headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
    }
    if headers.contains_key(TE) {
        headers.insert(CONNECTION, HeaderValue::from_static("te"));
    }
    let mut to_send = Request::new(body);
    *to_send.method_mut() = request.method;
    *to_send.uri_mut() = Uri::from(request.target);
    *to_send.headers_mut() = headers;
    to_send
}

/// The answer with a body that ends the run.
fn to_answer(
    profile: &EdgeProfile,
    response: Response<Incoming>,
    run: RunningCall,
    is_kept: bool,
    idle: Duration,
) -> Response<BackendBody> {
    let is_failure = response.status().is_server_error();
    let end = if is_failure {
        RunEnd::Failed
    } else {
        RunEnd::Answered
    };
    let mut response = response.map(|incoming| BackendBody::new(incoming, run, is_kept, end, idle));
    headers::strip_answer(response.headers_mut(), profile);
    response
}

/// The refusal of a backend server that says that it did not run the request.
fn refused_by_backend() -> Refusal {
    Refusal {
        reason: RefusalReason::BackendRefused,
        retry_after: BUSY_RETRY_AFTER,
    }
}

/// The refusal of a host whose backend server can't be reached.
fn unreachable_backend() -> Refusal {
    Refusal {
        reason: RefusalReason::BackendUnreachable,
        retry_after: Duration::from_secs(1),
    }
}
