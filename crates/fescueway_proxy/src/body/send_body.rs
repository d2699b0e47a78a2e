//! Sends a body on a stream between nodes.

use std::{
    future::poll_fn,
    pin::{Pin, pin},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use h2::{Reason, SendStream};
use http_body::{Body, Frame};
use tokio::time::timeout;

use super::BodyError;

/// Sends `body` on `stream` as the receiver's flow-control window allows, and ends the stream.
///
/// If the body fails, or the receiver accepts no byte for `idle`, the stream is reset, so that the
/// receiver does not take the body for complete.
///
/// # Errors
///
/// If the body or the stream fails.
pub async fn send_body(
    stream: &mut SendStream<Bytes>,
    body: impl Body<Data = Bytes, Error = BodyError>,
    idle: Duration,
) -> Result<(), BodyError> {
    let mut body = pin!(body);
    loop {
        let next = poll_fn(|context| poll_next(stream, body.as_mut(), context)).await;
        let sent = match next {
            Some(Ok(frame)) => send_frame(stream, frame, body.is_end_stream(), idle).await,
            Some(Err(error)) => Err(error),
            None => end_stream(stream),
        };
        match sent {
            Ok(false) => {}
            Ok(true) => return Ok(()),
            Err(error) => {
                stream.send_reset(Reason::INTERNAL_ERROR);
                return Err(error);
            }
        }
    }
}

/// Polls for the next frame of the body. Returns an error if the receiver reset the stream.
fn poll_next(
    stream: &mut SendStream<Bytes>,
    body: Pin<&mut impl Body<Data = Bytes, Error = BodyError>>,
    context: &mut Context<'_>,
) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
    if let Poll::Ready(reset) = stream.poll_reset(context) {
        let error = reset.map_or_else(|error| error, h2::Error::from);
        return Poll::Ready(Some(Err(BodyError::Peer(error))));
    }
    body.poll_frame(context)
}

/// Ends the stream. Returns `true`, as [`send_frame`] does.
fn end_stream(stream: &mut SendStream<Bytes>) -> Result<bool, BodyError> {
    stream
        .send_data(Bytes::new(), true)
        .map_err(BodyError::Peer)?;
    Ok(true)
}

/// Sends one frame, the last one of the body if `is_last`. Returns whether the stream has ended.
async fn send_frame(
    stream: &mut SendStream<Bytes>,
    frame: Frame<Bytes>,
    is_last: bool,
    idle: Duration,
) -> Result<bool, BodyError> {
    match frame.into_data() {
        Ok(data) => {
            send_data(stream, data, is_last, idle).await?;
            Ok(is_last)
        }
        Err(frame) => {
            let Ok(trailers) = frame.into_trailers() else {
                return Ok(false);
            };
            stream.send_trailers(trailers).map_err(BodyError::Peer)?;
            Ok(true)
        }
    }
}

/// Sends `data` in chunks that fit the receiver's flow-control window.
async fn send_data(
    stream: &mut SendStream<Bytes>,
    mut data: Bytes,
    is_last: bool,
    idle: Duration,
) -> Result<(), BodyError> {
    if data.is_empty() && is_last {
        end_stream(stream)?;
    }
    while !data.is_empty() {
        stream.reserve_capacity(data.len());
        let waited = timeout(idle, poll_fn(|context| stream.poll_capacity(context))).await;
        let capacity = match waited {
            Ok(Some(capacity)) => capacity.map_err(BodyError::Peer)?,
            Ok(None) => return Err(BodyError::Peer(Reason::STREAM_CLOSED.into())),
            Err(_elapsed) => return Err(BodyError::Idle),
        };
        let chunk = data.split_to(capacity.min(data.len()));
        let is_end = is_last && data.is_empty();
        stream.send_data(chunk, is_end).map_err(BodyError::Peer)?;
    }
    Ok(())
}
