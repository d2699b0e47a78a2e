//! Routes a caller's request to its service, and answers a request that can't be routed.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fescueway_config::{AccountPlan, RoutePlan, SitePlan};
use fescueway_core::{Idempotency, MonoTime, Outcome, Refusal, RefusalReason};
use http::{
    HeaderMap, HeaderValue, Response, StatusCode, Version,
    header::{HOST, WWW_AUTHENTICATE},
    request::Parts,
};
use hyper::body::Incoming;
use tokio::sync::oneshot;

use super::{
    account_check::{AccountCheck, AccountRequest},
    allotment_check::AllotmentPermit,
    entry_request::{MAX_CALL_DEPTH, RequestHead, host_name, offer_request, request_body},
    final_answer::{entry_answer, refused_answer},
    offer_loop::OfferLoop,
    presented_key::PresentedKey,
    read_ahead::PipelinedAnswer,
};
use crate::{
    body::{AnswerBody, CountedBody, RequestBody},
    connection_activity::ConnectionActivity,
    proxy_state::ProxyState,
    request_log::LogId,
    request_record::{KeyFault, RequestRecord},
};

/// `Retry-After` of an entry that has no configuration or none for the route's service, or that stops.
/// A node that starts gets its configuration by one call to the store or to a peer; one that stops was
/// not ready for a while, so that its callers have others to turn to.
const UNROUTED_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Answers a caller's request. The request counts as open on its connection until its answer has
/// ended.
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
    let mut permit = None;
    let answering = route_request(state, parts, incoming, caller, (start, record, &mut permit));
    let response = answering.await;
    if record_guard.record.outcome == Some(Outcome::NotRun)
        && let Some(permit) = permit
    {
        permit.give_back();
    }
    record_guard.end(response.status().as_u16());
    response.map(|body| CountedBody { body, open })
}

/// The record of an open request. When it is dropped before the answer began, logs that the caller left,
/// or that the stop of this node aborted the request.
struct RecordGuard<'a> {
    /// The node.
    state: &'a ProxyState,
    /// When the request was received.
    start: MonoTime,
    /// The request's service, route, outcome and counts, as far as they are known.
    record: RequestRecord,
    /// Whether the head of the answer is ready.
    is_ended: bool,
}

impl<'a> RecordGuard<'a> {
    /// The record of a request that was received at `start`.
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

    /// Records and logs the request, whose answer begins with `status`.
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
            let log = self.state.log();
            match self.state.stop_schedule() {
                Some(stop) if stop.is_over(now) => {
                    log.request_aborted(now, &self.record, stop.elapsed(now));
                }
                _ => log.caller_left(now, &self.record),
            }
        }
    }
}

/// Starts to answer a request that waits behind another on its connection; `None` when the request
/// is not idempotent or has no route. Dropping the answer cancels the request.
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
            // Fails when the receiver was dropped, since the caller left.
            drop(sender.send(response));
        }
    });
    Some(answer)
}

/// Finds the request's service and offers the request to that service's hosts.
async fn route_request(
    state: &ProxyState,
    mut parts: Parts,
    incoming: Option<Incoming>,
    caller: SocketAddr,
    (start, record, permit): (MonoTime, &mut RequestRecord, &mut Option<AllotmentPermit>),
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
        if !state.is_plan_current() {
            return refuse(state, RefusalReason::NoConfiguration, record);
        }
        return reject(
            state,
            StatusCode::NOT_FOUND,
            "no service for this host and path",
            record,
        );
    };
    let account = match find_account(state, &plan, found.route, &head, &mut parts.headers) {
        Ok(account) => account,
        Err(denial) => {
            record.route = Some(Arc::clone(&found.route.name));
            record.key_fault = Some(denial.fault);
            return match denial.reason {
                Some(reason) => refuse(state, reason, record),
                None => reject_key(state, denial.fault, record),
            };
        }
    };
    record.account = account.as_ref().map(|account| account.name.clone());
    if let Some(account) = &account {
        let priority = account.priority.unwrap_or(found.route.priority);
        match state.allotments().decide(account, priority).await {
            Ok(allotted) => *permit = Some(allotted),
            Err(retry_after) => return refuse_excess(state, retry_after, record),
        }
    }
    let chosen = state.route_states().next_service(found.route);
    let chosen = chosen.and_then(|name| plan.services.get(&name));
    let Some(service) = chosen.or(found.owner) else {
        return refuse(state, RefusalReason::NoTarget, record);
    };
    record.service = Some(service.name.clone());
    record.route = Some(Arc::clone(&found.route.name));
    record.objective = found.route.objective.unwrap_or(service.objective.latency);
    let mut terms = head.terms(service, found.route);
    if let Some(priority) = account.and_then(|account| account.priority) {
        terms.priority = priority;
    }
    if let Some((objective, time_left)) = terms.objective.zip(head.caller_time) {
        // The objective counts from the caller's first attempt, also when this one is a retry
        // after a refusal.
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
    let stop = state.stop_schedule();
    if stop.is_some_and(|stop| !stop.is_taken(state.now(), terms.time_left)) {
        return refuse(state, RefusalReason::Draining, record);
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
    let request = offer_request(state, &head, parts, terms, body, record.account.as_ref());
    OfferLoop::new(state, request, start, record.id.clone())
        .run(record)
        .await
}

/// Why a request is not offered for its key.
struct KeyDenial {
    /// What is wrong with the key.
    fault: KeyFault,
    /// Why the request is refused; `None` if it is rejected for good.
    reason: Option<RefusalReason>,
}

/// Finds the client account of a request, `None` if it belongs to none, and sets the header fields for
/// its backend server.
fn find_account(
    state: &ProxyState,
    plan: &SitePlan,
    route: &RoutePlan,
    head: &RequestHead,
    headers: &mut HeaderMap,
) -> Result<Option<Arc<AccountPlan>>, KeyDenial> {
    let request = AccountRequest {
        plan,
        route,
        key: &head.api_key,
        is_call: head.parent.is_some(),
        is_plan_current: state.is_key_check_final(),
        // Reads a clock, which requests without a key don't need.
        is_key_proven: head.api_key == PresentedKey::None || state.is_key_proven(plan),
    };
    match request.check(state.profile(), headers) {
        AccountCheck::Anonymous => Ok(None),
        AccountCheck::Known(account) => Ok(Some(account)),
        AccountCheck::Unauthorized(fault) => Err(KeyDenial {
            fault,
            reason: None,
        }),
        AccountCheck::Refused(reason) => Err(KeyDenial {
            fault: KeyFault::Unproven,
            reason: Some(reason),
        }),
    }
}

/// Whether the number of `Host` fields is valid for the HTTP version (RFC 9112, section 3.2).
fn has_valid_host(parts: &Parts) -> bool {
    let fields = parts.headers.get_all(HOST).iter().count();
    match parts.version {
        Version::HTTP_11 => fields == 1,
        _ => fields <= 1,
    }
}

/// Answers a request that is not offered to any host.
fn reject(
    state: &ProxyState,
    status: StatusCode,
    text: &str,
    record: &mut RequestRecord,
) -> Response<AnswerBody> {
    record.outcome = Some(Outcome::NotRun);
    entry_answer(state.profile(), status, Outcome::NotRun, text)
}

/// Refuses a request of an account that has used its allotment.
fn refuse_excess(
    state: &ProxyState,
    retry_after: Duration,
    record: &mut RequestRecord,
) -> Response<AnswerBody> {
    let reason = RefusalReason::AllotmentSpent;
    record.outcome = Some(Outcome::NotRun);
    record.reason = Some(reason);
    let refusal = Refusal {
        reason,
        retry_after,
    };
    refused_answer(state.profile(), &refusal, Outcome::NotRun)
}

/// Answers a request whose key is no valid one.
fn reject_key(
    state: &ProxyState,
    fault: KeyFault,
    record: &mut RequestRecord,
) -> Response<AnswerBody> {
    let mut response = reject(state, StatusCode::UNAUTHORIZED, fault.text(), record);
    // Required by RFC 9110, section 11.6.1.
    let fields = response.headers_mut();
    fields.insert(WWW_AUTHENTICATE, HeaderValue::from_static("ApiKey"));
    response
}

/// Refuses a request that this entry can't offer at the moment.
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
