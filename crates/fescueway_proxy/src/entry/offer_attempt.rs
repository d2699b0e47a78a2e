//! Makes one offer and reports its end to the router.

use fescueway_core::{
    LoadReport, MonoTime, NodeId, OfferCause, Refusal, RequestTerms, ServiceName,
};
use fescueway_routing::{EjectionChange, HandedOver, OfferEnd, OfferPermit};
use http::{Response, header::CONTENT_LENGTH};
use http_body::Body;
use tokio::sync::Notify;

use crate::{
    body::AnswerBody,
    host::offer_locally,
    offer_answer::{AnswerWithOutcome, OfferAnswer},
    offer_request::OfferRequest,
    peer::{PeerCause, PeerError, offer_to_peer, unreachable_host},
    proxy_state::ProxyState,
    request_log::LogId,
};

/// How an offer ended, with the permission to offer the request again.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The backend server answered. The request may be offered again only if it is idempotent.
    Answered(AnswerWithOutcome, HandedOver),
    /// The request did not run and may be offered elsewhere.
    Refused(Refusal, RequestTerms),
    /// The answer was lost.
    Lost {
        /// The permission to offer the request again.
        handed_over: HandedOver,
        /// Whether the target may be the cause. If not, the connection to its host was lost.
        is_target_suspect: bool,
    },
}

/// Reports the end of an offer to the router when dropped: as cancelled, unless another end was
/// set.
struct OfferGuard<'a> {
    /// The node.
    state: &'a ProxyState,
    /// The service.
    service: ServiceName,
    /// The host node.
    node: NodeId,
    /// The request's work kind, `None` for a hedge, whose latency says nothing of other requests.
    work_kind: Option<u64>,
    /// When the offer began.
    start: MonoTime,
    /// How it ended.
    end: OfferEnd,
}

/// Offers the request to the permit's host and waits for the head of the answer. `on_silence` is notified
/// when the connection to the host goes silent meanwhile.
pub async fn attempt(
    state: &ProxyState,
    permit: OfferPermit,
    request: &OfferRequest,
    id: &LogId,
    deadline: MonoTime,
    on_silence: &Notify,
) -> AttemptEnd {
    let mut guard = OfferGuard::begin(state, &permit);
    let mut request = request.clone();
    request.host = permit.node();
    request.terms = permit.terms().clone();
    request.terms.time_left = deadline.since(state.now());
    request.notice = state.routes().notice(&request.terms.service, request.host);
    let answer = send(state, &request, on_silence).await;
    let is_broken = request.body.failure_status().is_some();
    guard.report(&answer, &request, is_broken);
    let (log, now, host) = (state.log(), state.now(), request.host);
    let took = now.since(guard.start);
    match answer {
        OfferAnswer::Refused { refusal, .. } => {
            let terms = permit.refused(&refusal);
            AttemptEnd::Refused(refusal, terms)
        }
        OfferAnswer::Answered { answer, .. } => AttemptEnd::Answered(answer, permit.hand_over()),
        OfferAnswer::Lost { error, .. } => {
            let is_target_suspect = !is_connection_lost(error.as_ref());
            if !is_broken {
                let error = error.map(|error| error.to_string());
                let error = error
                    .as_deref()
                    .unwrap_or("the host reported the answer as lost");
                log.offer_lost(now, id, host, error, took);
            }
            AttemptEnd::Lost {
                handed_over: permit.hand_over(),
                is_target_suspect,
            }
        }
    }
}

/// Whether an answer was lost with the connection to its host, which says nothing of the target.
fn is_connection_lost(error: Option<&PeerError>) -> bool {
    error.is_some_and(|error| matches!(error.cause, PeerCause::Silent))
}

/// Offers the request to its host, on this node or another.
async fn send(state: &ProxyState, request: &OfferRequest, on_silence: &Notify) -> OfferAnswer {
    if request.host == state.node() {
        // Boxed since its future is by far the largest part, which most requests don't need.
        return Box::pin(offer_locally(state, request)).await;
    }
    let address = state.routes().address(&request.terms.service, request.host);
    match address {
        Some(peer) => {
            let idle = state.limits().body_idle;
            offer_to_peer(state.peers(), peer, request, idle, on_silence).await
        }
        None => OfferAnswer::refused(unreachable_host(), None),
    }
}

impl<'a> OfferGuard<'a> {
    /// The guard of an offer that begins now.
    fn begin(state: &'a ProxyState, permit: &OfferPermit) -> Self {
        Self {
            state,
            service: permit.terms().service.clone(),
            node: permit.node(),
            work_kind: (permit.terms().cause != OfferCause::Hedged)
                .then_some(permit.terms().work_kind),
            start: state.now(),
            end: OfferEnd::Cancelled,
        }
    }

    /// Sets how the offer ended and reports the host's load. A loss caused by the request's own
    /// incomplete body counts as a cancellation, since it says nothing of the host.
    fn report(&mut self, answer: &OfferAnswer, request: &OfferRequest, is_broken: bool) {
        self.end = self.offer_end(answer, is_broken);
        if let OfferAnswer::Answered { answer, .. } = answer
            && answer.response.status().is_success()
        {
            self.report_size(&answer.response, request);
        }
        if let Some(load) = load_report(answer) {
            let now = self.state.now();
            let routes = self.state.routes();
            let change = routes.report_load(now, &self.service, self.node, load);
            self.log_ejection_change(now, change, "the host reports failures");
        }
    }

    /// Reports the bytes of the request and its answer, if the answer has a `Content-Length`.
    fn report_size(&self, response: &Response<AnswerBody>, request: &OfferRequest) {
        let length = response.headers().get(CONTENT_LENGTH);
        let length = length.and_then(|length| length.to_str().ok()?.parse::<u64>().ok());
        if let Some(length) = length {
            let bytes = length + request.body.size_hint().lower();
            let routes = self.state.routes();
            routes.report_size(&self.service, request.terms.work_kind, bytes);
        }
    }

    /// Logs that the target was ejected or restored.
    fn log_ejection_change(&self, now: MonoTime, change: Option<EjectionChange>, cause: &str) {
        if let Some(change) = change {
            let log = self.state.log();
            log.ejection_changed(now, self.node, &self.service, change, cause);
        }
    }

    /// The end that is reported to the router for `answer`.
    fn offer_end(&self, answer: &OfferAnswer, is_broken: bool) -> OfferEnd {
        match answer {
            OfferAnswer::Lost { error, .. } if is_broken || is_connection_lost(error.as_ref()) => {
                OfferEnd::Cancelled
            }
            OfferAnswer::Refused { refusal, .. } => OfferEnd::Refused(*refusal),
            OfferAnswer::Lost { .. } => OfferEnd::Lost,
            OfferAnswer::Answered { answer, .. } => OfferEnd::Answered {
                latency: self.state.now().since(self.start),
                is_failure: answer.response.status().is_server_error(),
            },
        }
    }
}

impl Drop for OfferGuard<'_> {
    fn drop(&mut self) {
        let now = self.state.now();
        let routes = self.state.routes();
        let change = routes.end_offer(now, &self.service, self.node, self.work_kind, self.end);
        let cause = match self.end {
            OfferEnd::Refused(refusal) => refusal.reason.as_str(),
            OfferEnd::Lost => "answer lost",
            OfferEnd::Answered { .. } | OfferEnd::Cancelled => "failed answers",
        };
        self.log_ejection_change(now, change, cause);
    }
}

/// The load report that came with `answer`.
fn load_report(answer: &OfferAnswer) -> Option<LoadReport> {
    match answer {
        OfferAnswer::Answered { load, .. } => Some(*load),
        OfferAnswer::Refused { load, .. } | OfferAnswer::Lost { load, .. } => *load,
    }
}
