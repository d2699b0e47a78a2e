//! Answers offers at the host, from other nodes and from the entry on the same node.

use std::{pin::pin, time::Duration};

use fescueway_core::{Idempotency, LoadReport, Outcome, Refusal, RefusalReason};
use fescueway_wire::{AnswerHead, HeaderList, OfferHead};
use http::Response;
use http_body::Body;
use tokio::{sync::oneshot, time::timeout};

use super::{BackendBody, BackendError, HostRun, HostTarget, RunDenial, host_run::RunAnswer};
use crate::{
    body::{AnswerBody, HostBody, send_body},
    duplicate_answer::duplicate_answer,
    offer_answer::{AnswerWithOutcome, OfferAnswer},
    offer_request::{HostRequest, OfferRequest},
    peer::{FrameReader, PeerReply},
    proxy_state::ProxyState,
    request_log::HostTrace,
};

/// Answers an offer from the entry on the same node, without a socket.
pub async fn offer_locally(state: &ProxyState, offer: &OfferRequest) -> OfferAnswer {
    let Some(target) = state.host_target(&offer.terms.service) else {
        return OfferAnswer::refused(unknown_service(), None);
    };
    let request = HostRequest::from_offer(state.now(), offer);
    learn_notice(state, &target, &request);
    let mut trace = state.log().offer_received(state.now(), &request);
    let run = match HostRun::prepare(state.checks(), &target, &request).await {
        Ok(run) => run,
        Err(denial) => {
            let load = target.report();
            log_denial(state, &trace, &denial, &load);
            return to_denied_answer(denial, load);
        }
    };
    trace.run_started(state.now(), &target);
    let body = HostBody::Local(offer.body.clone());
    let answer = run_within_deadline(state, run, request, body).await;
    let load = target.report();
    log_end(state, &trace, &answer, &load);
    match answer {
        RunAnswer::Answered(response) => OfferAnswer::Answered {
            answer: AnswerWithOutcome {
                response: response.map(|body| AnswerBody::Backend(Box::new(body))),
                outcome: Outcome::Ran,
            },
            load,
        },
        RunAnswer::Refused(refusal) => OfferAnswer::refused(refusal, Some(load)),
        RunAnswer::Lost(_logged) => OfferAnswer::Lost {
            load: Some(load),
            error: None,
        },
    }
}

/// Answers an offer from another node.
pub async fn serve_offer(
    state: &ProxyState,
    head: OfferHead,
    reader: FrameReader,
    mut reply: PeerReply,
) {
    let (host, is_body_held) = (head.host, head.is_body_held);
    state.record_entry(head.entry);
    let request = HostRequest::from_head(state.now(), head);
    let target = state.host_target(&request.terms.service);
    let target = target.filter(|_| host == state.node());
    let Some(target) = target else {
        return send_refusal(&mut reply, unknown_service(), LoadReport::default());
    };
    learn_notice(state, &target, &request);
    let mut trace = state.log().offer_received(state.now(), &request);
    let prepared = tokio::select! {
        prepared = HostRun::prepare(state.checks(), &target, &request) => prepared,
        // The entry reset the stream. Dropping the future withdraws the offer.
        () = reply.wait_for_reset() => return state.log().run_withdrawn(state.now(), &trace),
    };
    let run = match prepared {
        Ok(run) => run,
        Err(denial) => {
            let load = target.report();
            log_denial(state, &trace, &denial, &load);
            return send_denial(&mut reply, denial, load);
        }
    };
    trace.run_started(state.now(), &target);
    if is_body_held && reply.send(&AnswerHead::Accepted, false).is_err() {
        return;
    }
    let body = HostBody::Peer(Box::new(reader.into_body(state.limits().body_idle)));
    let answer = tokio::select! {
        answer = run_within_deadline(state, run, request, body) => answer,
        // The entry reset the stream. Dropping the future cancels the run if that is allowed.
        () = reply.wait_for_reset() => return state.log().run_withdrawn(state.now(), &trace),
    };
    let load = target.report();
    log_end(state, &trace, &answer, &load);
    send_run_answer(state, answer, load, &mut reply).await;
}

/// Applies what the entry of an offer knows of the target's backend server.
fn learn_notice(state: &ProxyState, target: &HostTarget, request: &HostRequest) {
    if let Some(notice) = &request.notice {
        state.learn_notice(&request.terms.service, target, notice);
    }
}

/// Runs the request within its deadline. If it must not be cancelled, it continues in the
/// background when this future is dropped.
async fn run_within_deadline(
    state: &ProxyState,
    run: HostRun,
    mut request: HostRequest,
    body: HostBody,
) -> RunAnswer {
    let time_left = request.deadline.since(state.now());
    request.terms.time_left = time_left;
    let is_detached = request.terms.idempotency == Idempotency::NonIdempotent;
    let address = run.target().pool().address();
    let running = run.run(state.clone(), request, body);
    let answer = if is_detached {
        let (sender, receiver) = oneshot::channel();
        // Boxed before the capture, because the task would otherwise reserve its size twice.
        let running = Box::pin(running);
        state.tasks().spawn(async move {
            // If the receiver is gone, dropping the response reads it to its end.
            drop(sender.send(running.await));
        });
        timeout(time_left, receiver).await.map(Result::ok)
    } else {
        timeout(time_left, pin!(running)).await.map(Some)
    };
    match answer {
        Ok(Some(answer)) => answer,
        Ok(None) | Err(_) => RunAnswer::Lost(BackendError::timed_out(address)),
    }
}

/// Sends the result of a run to the entry.
async fn send_run_answer(
    state: &ProxyState,
    answer: RunAnswer,
    load: LoadReport,
    reply: &mut PeerReply,
) {
    match answer {
        RunAnswer::Answered(response) => {
            send_backend_answer(*response, load, state.limits().body_idle, reply).await;
        }
        RunAnswer::Refused(refusal) => send_refusal(reply, refusal, load),
        RunAnswer::Lost(_logged) => {
            // The entry may have disconnected.
            let _ = reply.send(&AnswerHead::Lost { load }, true);
        }
    }
}

/// Logs the refusal of a request. A duplicate is logged where its idempotency key is checked.
fn log_denial(state: &ProxyState, trace: &HostTrace, denial: &RunDenial, load: &LoadReport) {
    if let RunDenial::Refused(refusal) = denial {
        state.log().host_refused(state.now(), trace, refusal, load);
    }
}

/// Logs the result of a request that got a slot.
fn log_end(state: &ProxyState, trace: &HostTrace, answer: &RunAnswer, load: &LoadReport) {
    let (log, now) = (state.log(), state.now());
    match answer {
        RunAnswer::Answered(response) => {
            log.run_ended(now, trace, response.status().as_u16(), load);
        }
        RunAnswer::Refused(refusal) => log.host_refused(now, trace, refusal, load),
        // A request body that failed on the caller's side is no fault of the backend server.
        RunAnswer::Lost(error) if error.is_caller_side() => log.run_withdrawn(now, trace),
        RunAnswer::Lost(error) => log.run_lost(now, trace, error),
    }
}

/// Sends the response of a backend server to the entry.
async fn send_backend_answer(
    response: Response<BackendBody>,
    load: LoadReport,
    idle: Duration,
    reply: &mut PeerReply,
) {
    let (parts, body) = response.into_parts();
    let head = AnswerHead::Answered {
        status: parts.status.as_u16(),
        headers: HeaderList::new(parts.headers),
        outcome: Outcome::Ran,
        load,
    };
    let is_end = body.is_end_stream();
    if reply.send(&head, is_end).is_err() || is_end {
        return;
    }
    if let Ok(stream) = reply.open() {
        // A failed body resets the stream, and the entry reports the error.
        let _ = send_body(stream, body, idle).await;
    }
}

/// Converts a denial into the answer for the entry on the same node.
fn to_denied_answer(denial: RunDenial, load: LoadReport) -> OfferAnswer {
    match denial {
        RunDenial::Refused(refusal) => OfferAnswer::refused(refusal, Some(load)),
        RunDenial::Duplicate { outcome, status } => OfferAnswer::Answered {
            answer: AnswerWithOutcome {
                response: duplicate_answer(status).map(AnswerBody::Full),
                outcome,
            },
            load,
        },
    }
}

/// Sends a denial to the entry.
fn send_denial(reply: &mut PeerReply, denial: RunDenial, load: LoadReport) {
    match denial {
        RunDenial::Refused(refusal) => send_refusal(reply, refusal, load),
        RunDenial::Duplicate { outcome, status } => {
            let (parts, _body) = duplicate_answer(status).into_parts();
            let head = AnswerHead::Answered {
                status: parts.status.as_u16(),
                headers: HeaderList::new(parts.headers),
                outcome,
                load,
            };
            // The entry may have disconnected.
            let _ = reply.send(&head, true);
        }
    }
}

/// Sends a refusal to the entry.
fn send_refusal(reply: &mut PeerReply, refusal: Refusal, load: LoadReport) {
    // The entry may have disconnected.
    let _ = reply.send(&AnswerHead::Refused { refusal, load }, true);
}

/// Creates the refusal of a host that does not serve the service.
fn unknown_service() -> Refusal {
    Refusal {
        reason: RefusalReason::UnknownService,
        retry_after: Duration::from_secs(1),
    }
}
