//! Offers at the host, from other nodes and from the entry on the same node.

use std::{pin::pin, time::Duration};

use fescueway_core::{Idempotency, LoadReport, Outcome, Refusal, RefusalReason};
use fescueway_wire::{AnswerHead, HeaderList, OfferHead};
use http::Response;
use http_body::Body;
use tokio::{sync::oneshot, time::timeout};

use super::{BackendBody, BackendError, HostRun, RunDenial, host_run::RunAnswer};
use crate::{
    body::{AnswerBody, HostBody, pump_body},
    duplicate_answer::duplicate_answer,
    offer_answer::{KnownAnswer, OfferAnswer},
    offer_request::{HostRequest, OfferRequest},
    peer::{FrameReader, PeerReply},
    proxy_state::ProxyState,
    request_log::HostTrace,
};

/// Answers an offer of the entry on the same node, without a socket.
pub async fn offer_locally(state: &ProxyState, offer: &OfferRequest) -> OfferAnswer {
    let Some(target) = state.host_target(&offer.terms.service) else {
        return OfferAnswer::refused(unknown_service(), None);
    };
    let request = HostRequest::from_offer(offer);
    let mut trace = state.log().offer_came(state.now(), &request);
    let run = match HostRun::prepare(state.checks(), &target, &request).await {
        Ok(run) => run,
        Err(stop) => {
            let load = target.report();
            tell_stop(state, &trace, &stop, &load);
            return stopped(stop, load);
        }
    };
    trace.began(state.now(), &target);
    let body = HostBody::Local(offer.body.clone());
    let answer = start(state, run, request, body).await;
    let load = target.report();
    tell_end(state, &trace, &answer, &load);
    match answer {
        RunAnswer::Answered(response) => OfferAnswer::Answered {
            answer: KnownAnswer {
                response: response.map(|body| AnswerBody::Backend(Box::new(body))),
                outcome: Outcome::Ran,
            },
            load,
        },
        RunAnswer::Refused(refusal) => OfferAnswer::refused(refusal, Some(load)),
        RunAnswer::Lost(_told) => OfferAnswer::Lost {
            load: Some(load),
            error: None,
        },
    }
}

/// Answers an offer of another node.
pub async fn serve_offer(
    state: &ProxyState,
    head: OfferHead,
    reader: FrameReader,
    mut reply: PeerReply,
) {
    let (host, is_body_held) = (head.host, head.is_body_held);
    state.note_entry(head.entry);
    let request = HostRequest::from_head(head);
    let target = state.host_target(&request.terms.service);
    let target = target.filter(|_| host == state.node());
    let Some(target) = target else {
        return refuse(&mut reply, unknown_service(), LoadReport::default());
    };
    let mut trace = state.log().offer_came(state.now(), &request);
    let prepared = tokio::select! {
        prepared = HostRun::prepare(state.checks(), &target, &request) => prepared,
        // The entry left: dropping the work withdraws the offer.
        () = reply.reset() => return state.log().run_withdrawn(state.now(), &trace),
    };
    let run = match prepared {
        Ok(run) => run,
        Err(stop) => {
            let load = target.report();
            tell_stop(state, &trace, &stop, &load);
            return stop_offer(&mut reply, stop, load);
        }
    };
    trace.began(state.now(), &target);
    if is_body_held && reply.send(&AnswerHead::Accepted, false).is_err() {
        return;
    }
    let body = HostBody::Peer(Box::new(reader.into_body(state.limits().body_idle)));
    let answer = tokio::select! {
        answer = start(state, run, request, body) => answer,
        // The entry left: dropping the work cancels what may be cancelled.
        () = reply.reset() => return state.log().run_withdrawn(state.now(), &trace),
    };
    let load = target.report();
    tell_end(state, &trace, &answer, &load);
    finish(state, answer, load, &mut reply).await;
}

/// Runs the request, within its deadline. What must not be cancelled runs on when this is dropped.
async fn start(
    state: &ProxyState,
    run: HostRun,
    request: HostRequest,
    body: HostBody,
) -> RunAnswer {
    let time_left = request.terms.time_left;
    let is_kept = request.terms.idempotency == Idempotency::NonIdempotent;
    let address = run.target().pool().address();
    let running = run.run(state.clone(), request, body);
    let answer = if is_kept {
        let (sender, receiver) = oneshot::channel();
        // Boxed before it is captured, as the capture would hold room for it twice.
        let running = Box::pin(running);
        state.tasks().spawn(async move {
            // An answer that nobody waits for is read to its end as it is dropped.
            drop(sender.send(running.await));
        });
        timeout(time_left, receiver).await.map(Result::ok)
    } else {
        timeout(time_left, pin!(running)).await.map(Some)
    };
    match answer {
        Ok(Some(answer)) => answer,
        Ok(None) | Err(_) => RunAnswer::Lost(BackendError::late(address)),
    }
}

/// Sends what became of a run to the entry.
async fn finish(state: &ProxyState, answer: RunAnswer, load: LoadReport, reply: &mut PeerReply) {
    match answer {
        RunAnswer::Answered(response) => {
            send_answer(*response, load, state.limits().body_idle, reply).await;
        }
        RunAnswer::Refused(refusal) => refuse(reply, refusal, load),
        RunAnswer::Lost(_told) => {
            // An entry that left needs no answer.
            let _ = reply.send(&AnswerHead::Lost { load }, true);
        }
    }
}

/// Logs why a request is not handed over. The end of a duplicate is logged by its keys' home.
fn tell_stop(state: &ProxyState, trace: &HostTrace, stop: &RunDenial, load: &LoadReport) {
    if let RunDenial::Refused(refusal) = stop {
        state.log().host_refused(state.now(), trace, refusal, load);
    }
}

/// Logs what became of a request that had a slot.
fn tell_end(state: &ProxyState, trace: &HostTrace, answer: &RunAnswer, load: &LoadReport) {
    let (log, now) = (state.log(), state.now());
    match answer {
        RunAnswer::Answered(response) => {
            log.run_ended(now, trace, response.status().as_u16(), load);
        }
        RunAnswer::Refused(refusal) => log.host_refused(now, trace, refusal, load),
        // What the caller broke off says nothing of the backend server.
        RunAnswer::Lost(error) if error.is_caller_side() => log.run_withdrawn(now, trace),
        RunAnswer::Lost(error) => log.run_lost(now, trace, error),
    }
}

/// Sends a backend server's answer to the entry.
async fn send_answer(
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
        // A body that breaks off resets the stream, which the entry reports.
        let _ = pump_body(stream, body, idle).await;
    }
}

/// The answer to an offer of the entry on the same node that is not handed over.
fn stopped(stop: RunDenial, load: LoadReport) -> OfferAnswer {
    match stop {
        RunDenial::Refused(refusal) => OfferAnswer::refused(refusal, Some(load)),
        RunDenial::Duplicate { outcome, status } => OfferAnswer::Answered {
            answer: KnownAnswer {
                response: duplicate_answer(status).map(AnswerBody::Full),
                outcome,
            },
            load,
        },
    }
}

/// Sends to the entry why its offer is not handed over.
fn stop_offer(reply: &mut PeerReply, stop: RunDenial, load: LoadReport) {
    match stop {
        RunDenial::Refused(refusal) => refuse(reply, refusal, load),
        RunDenial::Duplicate { outcome, status } => {
            let (parts, _body) = duplicate_answer(status).into_parts();
            let head = AnswerHead::Answered {
                status: parts.status.as_u16(),
                headers: HeaderList::new(parts.headers),
                outcome,
                load,
            };
            // An entry that left needs no answer.
            let _ = reply.send(&head, true);
        }
    }
}

/// Sends a refusal to the entry.
fn refuse(reply: &mut PeerReply, refusal: Refusal, load: LoadReport) {
    // An entry that left needs no answer.
    let _ = reply.send(&AnswerHead::Refused { refusal, load }, true);
}

/// The refusal of a host that doesn't serve the service.
fn unknown_service() -> Refusal {
    Refusal {
        reason: RefusalReason::UnknownService,
        retry_after: Duration::from_secs(1),
    }
}
