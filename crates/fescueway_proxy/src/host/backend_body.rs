//! The body of a backend server's answer, which holds the run's slot until its end.

use std::{
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use fescueway_admission::RunEnd;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::{RunTicket, backend_pool::BackendConnection};
use crate::{
    body::{BodyError, IdleTimer},
    call_table::CallGuard,
};

/// The body of a backend server's answer.
///
/// At its end the connection goes back to the pool and the run ends. Dropped before, it closes
/// the connection, by which the backend server learns that the caller left; but what must not be
/// cancelled is read to its end and thrown away.
#[derive(Debug)]
pub struct BackendBody {
    /// The backend server.
    address: SocketAddr,
    /// The answer. `None` once it is handed to the task that throws it away.
    incoming: Option<Incoming>,
    /// What the answer holds until its end.
    run: Option<RunningCall>,
    /// Whether the answer is read to its end though the caller left.
    is_kept: bool,
    /// How the run ends when the body does.
    end: RunEnd,
    /// Bounds the wait for the next byte.
    timer: IdleTimer,
}

/// What an answer holds until its end.
#[derive(Debug)]
pub struct RunningCall {
    /// The run's slot.
    pub ticket: RunTicket,
    /// Its connection.
    pub connection: BackendConnection,
    /// Its name for calls that the backend server makes.
    pub call: CallGuard,
}

impl BackendBody {
    /// The body `incoming` of an answer, whose end is `end`.
    pub(super) fn new(
        incoming: Incoming,
        run: RunningCall,
        is_kept: bool,
        end: RunEnd,
        idle: Duration,
    ) -> Self {
        let mut body = Self {
            address: run.ticket.target().pool().address(),
            incoming: Some(incoming),
            run: Some(run),
            is_kept,
            end,
            timer: IdleTimer::new(idle),
        };
        body.finish_at_end();
        body
    }

    /// Ends the run when nothing follows.
    fn finish_at_end(&mut self) {
        if self.is_end_stream() {
            self.finish();
        }
    }

    /// Ends the run and gives the connection back.
    fn finish(&mut self) {
        if let Some(run) = self.run.take() {
            drop(run.call);
            run.ticket.target().pool().check_in(run.connection);
            run.ticket.finish(self.end);
        }
    }

    /// Ends the run as lost and closes the connection.
    fn fail(&mut self) {
        if let Some(run) = self.run.take() {
            run.ticket.finish(RunEnd::Lost);
        }
    }

    /// The same body for the task that throws it away.
    fn take_rest(&mut self) -> Option<Self> {
        Some(Self {
            address: self.address,
            incoming: Some(self.incoming.take()?),
            run: Some(self.run.take()?),
            is_kept: false,
            end: self.end,
            timer: IdleTimer::new(self.timer.limit()),
        })
    }
}

impl Body for BackendBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Some(incoming) = &mut self.incoming else {
            return Poll::Ready(None);
        };
        let frame = Pin::new(incoming).poll_frame(cx);
        let address = self.address;
        let frame = frame.map_err(|source| BodyError::Backend { address, source });
        let frame = ready!(self.timer.bound(cx, frame));
        match &frame {
            Some(Ok(_)) => self.finish_at_end(),
            Some(Err(_)) => self.fail(),
            None => self.finish(),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.as_ref().is_none_or(Incoming::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let hint = self.incoming.as_ref().map(Incoming::size_hint);
        hint.unwrap_or_default()
    }
}

impl Drop for BackendBody {
    fn drop(&mut self) {
        if !self.is_kept {
            return;
        }
        if let Some(rest) = self.take_rest() {
            let tasks = rest
                .run
                .as_ref()
                .map(|run| run.ticket.target().tasks().clone());
            if let Some(tasks) = tasks {
                tasks.spawn(discard(rest));
            }
        }
    }
}

/// Reads an answer to its end and throws it away.
async fn discard(mut body: BackendBody) {
    while let Some(Ok(_frame)) = body.frame().await {}
}
