//! Finds the service of a request, and answers what has none.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fescueway_core::{Idempotency, MonoTime, Outcome, Refusal, RefusalReason};
use http::{Response, StatusCode, Version, header::HOST, request::Parts};
use hyper::body::Incoming;
use tokio::sync::oneshot;

use super::{
    entry_request::{MAX_CALL_DEPTH, RequestHead, host_name, offer_request, request_body},
    final_answer::{entry_answer, refused_answer},
    offer_loop::OfferLoop,
    read_ahead::PipelinedAnswer,
};
use crate::{
    body::{AnswerBody, CountedBody, RequestBody},
    connection_activity::ConnectionActivity,
    proxy_state::ProxyState,
    request_log::LogId,
    request_record::RequestRecord,
};

/// When to come back to an entry that has no configuration, or none for the service. A node that
/// starts has one after a call to the store or to a peer.
const UNROUTED_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Answers a caller's request, which counts as open on its connection until its answer's end.
pub async fn answer_request(
    state: &ProxyState,
    parts: Parts,
    incoming: Option<Incoming>,
    caller: SocketAddr,
    activity: &ConnectionActivity,
) -> Response<CountedBody> {
    let start = state.now();
    let open = [state.open_counts().requests.open(), activity.open_request()];
    let id = state.log().id_of(&parts.headers);
    let mut record_guard = RecordGuard::new(state, start, id);
    let record = &mut record_guard.record;
    let answering = route_request(state, parts, incoming, caller, start, record);
    let response = answering.await;
    record_guard.end(response.status().as_u16());
    response.map(|body| CountedBody { body, open })
}

/// What is known of a request that is open. Dropped before its end, it tells that the caller left.
struct RecordGuard<'a> {
    /// The node.
    state: &'a ProxyState,
    /// When the request came.
    start: MonoTime,
    /// What is known of it.
    record: RequestRecord,
    /// Whether it got the head of its answer.
    is_ended: bool,
}

impl<'a> RecordGuard<'a> {
    /// The record of a request that came at `start`.
    fn new(state: &'a ProxyState, start: MonoTime, id: LogId) -> Self {
        Self {
            state,
            start,
            record: RequestRecord {
                id,
                ..RequestRecord::default()
            },
            is_ended: false,
        }
    }

    /// The request got the head of its answer.
    fn end(mut self, status: u16) {
        self.is_ended = true;
        let now = self.state.now();
        self.record.status = status;
        self.record.latency = now.since(self.start);
        self.state.notify_request(&self.record);
        self.state.log().request_ended(now, &self.record);
    }
}

impl Drop for RecordGuard<'_> {
    fn drop(&mut self) {
        if !self.is_ended {
            let now = self.state.now();
            self.record.latency = now.since(self.start);
            self.state.log().caller_left(now, &self.record);
        }
    }
}

/// Begins to answer a request that waits behind another on its connection, `None` when it may not
/// repeat or has no route. Dropping the answer cancels the work.
pub fn start_pipelined(
    state: &ProxyState,
    parts: &Parts,
    caller: SocketAddr,
    activity: &Arc<ConnectionActivity>,
) -> Option<PipelinedAnswer> {
    let host = parts.headers.get(HOST)?.to_str().ok()?;
    let plan = state.plan();
    let found = plan.route_for(host_name(host), parts.method.as_str(), parts.uri.path())?;
    if found.route.idempotency != Idempotency::Idempotent {
        return None;
    }
    let (sender, answer) = oneshot::channel();
    let (state, parts, activity) = (state.clone(), parts.clone(), Arc::clone(activity));
    let tasks = state.tasks().clone();
    tasks.spawn(async move {
        let mut sender = sender;
        let answering = answer_request(&state, parts, None, caller, &activity);
        let response = tokio::select! {
            response = answering => Some(response),
            () = sender.closed() => None,
        };
        if let Some(response) = response {
            // Without a receiver the caller has left.
            drop(sender.send(response));
        }
    });
    Some(answer)
}

/// Finds the request's service and offers it there.
async fn route_request(
    state: &ProxyState,
    mut parts: Parts,
    incoming: Option<Incoming>,
    caller: SocketAddr,
    start: MonoTime,
    record: &mut RequestRecord,
) -> Response<AnswerBody> {
    if !has_valid_host(&parts) {
        let text = "a request names its host once";
        return reject(state, StatusCode::BAD_REQUEST, text, record);
    }
    let head = RequestHead::from_parts(state, &mut parts, caller);
    let plan = state.plan();
    if !state.is_configured() {
        return refuse(state, RefusalReason::NoConfiguration, record);
    }
    let path = parts.uri.path();
    let found = plan.route_for(head.host_name(), parts.method.as_str(), path);
    let Some(found) = found else {
        return reject(
            state,
            StatusCode::NOT_FOUND,
            "no service for this host and path",
            record,
        );
    };
    let chosen = state.route_states().next_service(found.route);
    let chosen = chosen.and_then(|name| plan.services.get(&name));
    let Some(service) = chosen.or(found.owner) else {
        return refuse(state, RefusalReason::NoTarget, record);
    };
    record.service = Some(service.name.clone());
    record.route = Some(Arc::clone(&found.route.name));
    record.objective = found.route.objective.unwrap_or(service.objective.latency);
    let mut terms = head.terms(service, found.route);
    if let Some((objective, time_left)) = terms.objective.zip(head.caller_time) {
        // An objective counts from the first try of a caller that was refused and came back.
        let waited = state.route_states().waited(found.route, time_left);
        terms.objective = Some(objective.saturating_sub(waited));
    }
    if terms.depth > MAX_CALL_DEPTH {
        return reject(
            state,
            StatusCode::LOOP_DETECTED,
            "too many calls above this one",
            record,
        );
    }
    let limits = state.limits();
    let max_bytes = plan.max_body_bytes.unwrap_or(limits.body_bytes);
    let max_bytes = max_bytes.min(service.limit.max_body_bytes);
    let body = match incoming {
        None => RequestBody::Empty,
        Some(incoming) => {
            match request_body(limits, max_bytes, incoming, head.is_expecting_continue).await {
                Ok(body) => body,
                Err(status) => return reject(state, status, "the body was not read", record),
            }
        }
    };
    let request = offer_request(state, &head, parts, terms, body);
    OfferLoop::new(state, request, start, record.id.clone())
        .run(record)
        .await
}

/// Whether a request names its host as its version has to (RFC 9112, section 3.2).
fn has_valid_host(parts: &Parts) -> bool {
    let fields = parts.headers.get_all(HOST).iter().count();
    match parts.version {
        Version::HTTP_11 => fields == 1,
        _ => fields <= 1,
    }
}

/// Answers a request that is offered to nobody.
fn reject(
    state: &ProxyState,
    status: StatusCode,
    text: &str,
    record: &mut RequestRecord,
) -> Response<AnswerBody> {
    record.outcome = Some(Outcome::NotRun);
    entry_answer(state.profile(), status, Outcome::NotRun, text)
}

/// Refuses a request that this entry can't route now.
fn refuse(
    state: &ProxyState,
    reason: RefusalReason,
    record: &mut RequestRecord,
) -> Response<AnswerBody> {
    record.outcome = Some(Outcome::NotRun);
    record.reason = Some(reason);
    let refusal = Refusal {
        reason,
        retry_after: UNROUTED_RETRY_AFTER,
    };
    refused_answer(state.profile(), &refusal, Outcome::NotRun)
}
