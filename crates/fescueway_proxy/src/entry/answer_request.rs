//! Finds the service of a request, and answers what has none.

use std::net::SocketAddr;

use fescueway_core::{MonoTime, Outcome};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use super::{
    entry_request::{MAX_DEPTH, RequestHead, offer_request, request_body},
    final_answer::own_answer,
    offer_loop::OfferLoop,
};
use crate::{
    body::{AnswerBody, CountedBody},
    connection_activity::ConnectionActivity,
    proxy_state::ProxyState,
    request_record::RequestRecord,
};

/// Answers a caller's request, which counts as open on its connection until its answer's end.
pub async fn answer_request(
    state: &ProxyState,
    request: Request<Incoming>,
    caller: SocketAddr,
    activity: &ConnectionActivity,
) -> Response<CountedBody> {
    let start = state.now();
    let open = [state.open().requests.open(), activity.open_request()];
    let mut record = RequestRecord::default();
    let answering = route_request(state, request, caller, start, &mut record);
    let response = answering.await;
    record.status = response.status().as_u16();
    record.latency = state.now().since(start);
    state.record(&record);
    response.map(|body| CountedBody { body, open })
}

/// Finds the request's service and offers it there.
async fn route_request(
    state: &ProxyState,
    request: Request<Incoming>,
    caller: SocketAddr,
    start: MonoTime,
    record: &mut RequestRecord,
) -> Response<AnswerBody> {
    let (mut parts, incoming) = request.into_parts();
    let head = RequestHead::take(state, &mut parts, caller);
    let plan = state.plan();
    let path = parts.uri.path();
    let Some(service) = plan.service_for(head.host_name(), path) else {
        return reject(
            StatusCode::NOT_FOUND,
            "no service for this host and path",
            record,
        );
    };
    record.service = Some(service.name.clone());
    let route = service.route_for(parts.method.as_str(), path);
    let terms = head.terms(service, route);
    if terms.depth > MAX_DEPTH {
        return reject(
            StatusCode::LOOP_DETECTED,
            "too many calls above this one",
            record,
        );
    }
    let limits = state.limits();
    let max_bytes = limits.body_bytes.min(service.limit.max_body_bytes);
    let body = match request_body(limits, max_bytes, incoming, head.is_expecting).await {
        Ok(body) => body,
        Err(status) => return reject(status, "the body was not read", record),
    };
    let request = offer_request(state.node(), &head, parts, terms, body);
    OfferLoop::new(state, request, start).run(record).await
}

/// Answers a request that is offered to nobody.
fn reject(status: StatusCode, text: &str, record: &mut RequestRecord) -> Response<AnswerBody> {
    record.outcome = Some(Outcome::NotRun);
    own_answer(status, Outcome::NotRun, text)
}
