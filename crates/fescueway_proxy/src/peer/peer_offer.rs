//! Offers a request to a host on another node.

use std::{net::SocketAddr, pin::pin, time::Duration};

use bytes::Bytes;
use fescueway_core::{Idempotency, Refusal, RefusalReason};
use fescueway_wire::{AnswerHead, MAX_HEAD_BYTES, StreamHead, encode_frame};
use h2::Reason;
use http::Response;
use tokio::sync::Notify;

use super::{
    AbortOnDrop, FrameReader, PeerError, PeerPool, PeerStep,
    peer_error::PeerCause,
    peer_pool::{ConnectionUse, OpenStream, receive},
};
use crate::{
    body::{AnswerBody, RequestBody, send_body},
    final_status::final_status,
    offer_answer::{AnswerWithOutcome, OfferAnswer},
    offer_request::OfferRequest,
};

/// Offers `request` to the host at `peer`.
///
/// A streaming or large body is sent only after the host accepted the offer, so that it is not consumed by a
/// refused one. `idle` is the idle timeout of both bodies. `on_silence` is notified when the connection
/// goes silent before the answer; it may still come.
pub async fn offer_to_peer(
    pool: &PeerPool,
    peer: SocketAddr,
    request: &OfferRequest,
    idle: Duration,
    on_silence: &Notify,
) -> OfferAnswer {
    match exchange(pool, peer, request, idle, on_silence).await {
        Ok(answer) => answer,
        Err(error) if is_refusal(&error) => OfferAnswer::refused(unreachable_host(), None),
        Err(error) => OfferAnswer::Lost {
            load: None,
            error: Some(error),
        },
    }
}

/// Whether the error proves that the request did not run.
///
/// A host rejects a stream with a 4xx status only if it did not hand the request over; any other status
/// proves nothing. A refused stream was not processed at all (RFC 9113, section 8.7).
fn is_refusal(error: &PeerError) -> bool {
    match &error.cause {
        PeerCause::Status(status) => matches!(status, 400..=499),
        PeerCause::Stream(cause) if cause.is_remote() => {
            error.is_unsent() || cause.reason() == Some(Reason::REFUSED_STREAM)
        }
        _ => error.is_unsent(),
    }
}

/// Sends the offer and waits for the head of the answer.
async fn exchange(
    pool: &PeerPool,
    peer: SocketAddr,
    request: &OfferRequest,
    idle: Duration,
    on_silence: &Notify,
) -> Result<OfferAnswer, PeerError> {
    let frame = encode_frame(&StreamHead::Offer(Box::new(request.to_head())))
        .map_err(|error| PeerError::new(PeerStep::Open, peer, error))?;
    let connection_use = match request.terms.idempotency {
        Idempotency::Idempotent => ConnectionUse::Unchecked,
        Idempotency::NonIdempotent => ConnectionUse::Checked,
    };
    let mut stream = pool.open(peer, connection_use).await?;
    send_offer(&mut stream, frame, request)?;
    let pulse = stream.permit.pulse.clone();
    let mut reading = pin!(read_answer(stream, request.body.clone(), idle));
    let answer = tokio::select! {
        answer = reading.as_mut() => answer,
        () = pulse.silent() => {
            on_silence.notify_one();
            reading.await
        }
    };
    answer.map_err(|cause| {
        let is_silent = pulse.is_closing();
        let cause = if is_silent { PeerCause::Silent } else { cause };
        PeerError::new(PeerStep::Receive, peer, cause)
    })
}

/// Waits for the head of the answer, and sends a streaming body once the host has accepted the offer.
async fn read_answer(
    stream: OpenStream,
    body: RequestBody,
    idle: Duration,
) -> Result<OfferAnswer, PeerCause> {
    let mut reader = FrameReader::new(receive(stream.response).await?);
    let mut head = reader.read(MAX_HEAD_BYTES).await?;
    let mut body_task = None;
    if matches!(head, AnswerHead::Accepted) {
        body_task = Some(spawn_send_body(stream.sender, body, idle));
        head = reader.read(MAX_HEAD_BYTES).await?;
    }
    to_answer(head, reader, idle, body_task, stream.permit)
}

/// Sends the head of the request, and the body unless it is held.
fn send_offer(
    stream: &mut OpenStream,
    frame: Vec<u8>,
    request: &OfferRequest,
) -> Result<(), PeerError> {
    let peer = stream.peer;
    let error = |error: h2::Error| PeerError::new(PeerStep::Send, peer, error);
    let sender = &mut stream.sender;
    match &request.body {
        RequestBody::Empty => sender.send_data(frame.into(), true).map_err(error),
        RequestBody::Buffered(bytes) if !request.is_body_held() => {
            sender.send_data(frame.into(), false).map_err(error)?;
            sender.send_data(Bytes::clone(bytes), true).map_err(error)
        }
        RequestBody::Buffered(_) | RequestBody::Streaming(_) => {
            sender.send_data(frame.into(), false).map_err(error)
        }
    }
}

/// Spawns a task that sends the body while the answer is awaited and read.
fn spawn_send_body(
    mut sender: h2::SendStream<Bytes>,
    body: RequestBody,
    idle: Duration,
) -> AbortOnDrop {
    let task = tokio::spawn(async move {
        // A failed body resets the stream, and the reader of the answer reports the error.
        let _ = send_body(&mut sender, body, idle).await;
    });
    AbortOnDrop::new(task.abort_handle())
}

/// Converts `head` and the rest of the stream into an answer.
fn to_answer(
    head: AnswerHead,
    reader: FrameReader,
    idle: Duration,
    body_task: Option<AbortOnDrop>,
    permit: super::StreamPermit,
) -> Result<OfferAnswer, PeerCause> {
    match head {
        AnswerHead::Accepted => Err(PeerCause::Malformed),
        AnswerHead::Refused { refusal, load } => Ok(OfferAnswer::refused(refusal, Some(load))),
        AnswerHead::Lost { load } => Ok(OfferAnswer::Lost {
            load: Some(load),
            error: None,
        }),
        AnswerHead::Answered {
            status,
            headers,
            outcome,
            load,
        } => {
            let body = if reader.is_end() {
                AnswerBody::Full(Bytes::new())
            } else {
                let body = Box::new(reader.into_body(idle));
                AnswerBody::Peer {
                    body,
                    body_task,
                    permit,
                }
            };
            let mut response = Response::new(body);
            *response.status_mut() =
                final_status(status).ok_or(PeerCause::InvalidStatus(status))?;
            *response.headers_mut() = headers.into_map();
            let answer = AnswerWithOutcome { response, outcome };
            Ok(OfferAnswer::Answered { answer, load })
        }
    }
}

/// Creates the refusal of an entry that can't reach the host.
pub fn unreachable_host() -> Refusal {
    Refusal {
        reason: RefusalReason::HostUnreachable,
        retry_after: Duration::from_secs(1),
    }
}
