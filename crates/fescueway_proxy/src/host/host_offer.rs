//! Offers at the host, from other nodes and from the entry on the same node.

use std::{fmt::Display, pin::pin, sync::Arc, time::Duration};

use fescueway_core::{Idempotency, LoadReport, Outcome, Refusal, RefusalReason};
use fescueway_telemetry::{emit, events::path};
use fescueway_wire::{AnswerHead, HeaderList, OfferHead};
use http::Response;
use http_body::Body;
use tokio::{sync::oneshot, time::timeout};

use super::{BackendBody, BackendError, HostRun, HostTarget, RunStop, host_run::RunAnswer};
use crate::{
    body::{AnswerBody, HostBody, pump_body},
    duplicate_answer::duplicate_answer,
    offer_answer::{KnownAnswer, OfferAnswer},
    offer_request::{HostRequest, OfferRequest},
    peer::{FrameReader, PeerReply},
    proxy_state::ProxyState,
};

/// Answers an offer of the entry on the same node, without a socket.
pub async fn offer_locally(state: &ProxyState, offer: &OfferRequest) -> OfferAnswer {
    let Some(target) = state.host_target(&offer.terms.service) else {
        return OfferAnswer::refused(unknown_service(), None);
    };
    let request = HostRequest::from_offer(offer);
    let run = match HostRun::prepare(state.checks(), &target, &request).await {
        Ok(run) => run,
        Err(stop) => return stopped(stop, target.report()),
    };
    let body = HostBody::Local(offer.body.clone());
    let answer = start(state, run, request, body).await;
    let load = target.report();
    match answer {
        RunAnswer::Answered(response) => OfferAnswer::Answered {
            answer: KnownAnswer {
                response: response.map(|body| AnswerBody::Backend(Box::new(body))),
                outcome: Outcome::Ran,
            },
            load,
        },
        RunAnswer::Refused(refusal) => OfferAnswer::refused(refusal, Some(load)),
        RunAnswer::Lost(error) => {
            tell_lost(&offer.terms.service, &error);
            OfferAnswer::Lost {
                load: Some(load),
                error: None,
            }
        }
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
    let prepared = tokio::select! {
        prepared = HostRun::prepare(state.checks(), &target, &request) => prepared,
        // The entry left: dropping the work withdraws the offer.
        () = reply.reset() => return,
    };
    let run = match prepared {
        Ok(run) => run,
        Err(stop) => return stop_offer(&mut reply, stop, target.report()),
    };
    if is_body_held && reply.send(&AnswerHead::Accepted, false).is_err() {
        return;
    }
    let body = HostBody::Peer(Box::new(reader.into_body(state.limits().body_idle)));
    let answer = tokio::select! {
        answer = start(state, run, request, body) => answer,
        // The entry left: dropping the work cancels what may be cancelled.
        () = reply.reset() => return,
    };
    finish(state, &target, answer, &mut reply).await;
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
async fn finish(
    state: &ProxyState,
    target: &Arc<HostTarget>,
    answer: RunAnswer,
    reply: &mut PeerReply,
) {
    let load = target.report();
    match answer {
        RunAnswer::Answered(response) => {
            send_answer(*response, load, state.limits().body_idle, reply).await;
        }
        RunAnswer::Refused(refusal) => refuse(reply, refusal, load),
        RunAnswer::Lost(error) => {
            tell_lost(&target.pool().address(), &error);
            // An entry that left needs no answer.
            let _ = reply.send(&AnswerHead::Lost { load }, true);
        }
    }
}

/// Logs that the answer of `target` was lost, unless the caller broke its request off.
fn tell_lost(target: &dyn Display, error: &BackendError) {
    if !error.is_caller_side() {
        emit(&path::ANSWER_LOST, &[target, error]);
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
fn stopped(stop: RunStop, load: LoadReport) -> OfferAnswer {
    match stop {
        RunStop::Refused(refusal) => OfferAnswer::refused(refusal, Some(load)),
        RunStop::Duplicate { outcome, status } => OfferAnswer::Answered {
            answer: KnownAnswer {
                response: duplicate_answer(status).map(AnswerBody::Own),
                outcome,
            },
            load,
        },
    }
}

/// Sends to the entry why its offer is not handed over.
fn stop_offer(reply: &mut PeerReply, stop: RunStop, load: LoadReport) {
    match stop {
        RunStop::Refused(refusal) => refuse(reply, refusal, load),
        RunStop::Duplicate { outcome, status } => {
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
