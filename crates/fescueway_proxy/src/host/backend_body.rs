//! Response body of a backend server, which holds the slot of its run until it ends.

use std::{
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use fescueway_admission::RunEnd;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time::timeout_at;

use super::{RunTicket, backend_pool::BackendConnection};
use crate::{
    ProxyState,
    body::{BodyError, DiscardError, IdleTimer, discard_body},
    call_table::CallGuard,
    overlong_answer::OverlongAnswer,
};

/// Longest rest of an answer that is read after its caller disconnected, in bytes. More than the answers
/// of non-idempotent requests have, and read within milliseconds.
const MAX_DISCARDED_BYTES: u64 = 8 * 1_024 * 1_024;

/// Time after the deadline of a request in which the rest of its answer is read on.
const DISCARD_GRACE: Duration = Duration::from_millis(500);

/// Response body of a backend server.
///
/// At the end of the body the connection returns to the pool and the run ends. Dropping the body
/// earlier closes the connection, which tells the backend server that the caller disconnected. If
/// the run must not be cancelled, the rest of the body is read in the background and discarded, up to
/// 8 MiB and 0.5 s after the deadline.
#[derive(Debug)]
pub struct BackendBody {
    /// Address of the backend server.
    address: SocketAddr,
    /// Body received from the backend server. `None` once the discarding task owns it.
    incoming: Option<Incoming>,
    /// Resources of the run. `None` once the run has ended.
    run: Option<RunResources>,
    /// Where to report a body that is read on after the caller disconnected and doesn't end. `None` if
    /// the run ends when the caller disconnects.
    detached: Option<ProxyState>,
    /// End of the run to record when the body is complete.
    end: RunEnd,
    /// Limits the wait for the next byte.
    timer: IdleTimer,
}

/// Resources that a run holds until its response body ends.
#[derive(Debug)]
pub struct RunResources {
    /// Slot of the run.
    pub ticket: RunTicket,
    /// Connection to the backend server.
    pub connection: BackendConnection,
    /// Entry in the call table, from which calls made by the backend server inherit.
    pub call: CallGuard,
}

impl BackendBody {
    /// Wraps `incoming`. A complete body ends the run with `end`; `timer` limits the wait for the next
    /// byte.
    pub(super) fn new(
        incoming: Incoming,
        run: RunResources,
        detached: Option<ProxyState>,
        end: RunEnd,
        timer: IdleTimer,
    ) -> Self {
        let mut body = Self {
            address: run.ticket.target().pool().address(),
            incoming: Some(incoming),
            run: Some(run),
            detached,
            end,
            timer,
        };
        body.finish_at_end();
        body
    }

    /// Ends the run if the body is complete.
    fn finish_at_end(&mut self) {
        if self.is_end_stream() {
            self.finish();
        }
    }

    /// Ends the run and returns the connection to the pool.
    fn finish(&mut self) {
        if let Some(run) = self.run.take() {
            drop(run.call);
            run.ticket.target().pool().check_in(run.connection);
            run.ticket.finish(self.end);
        }
    }

    /// Ends the run with [`RunEnd::Lost`] and closes the connection.
    fn fail(&mut self) {
        if let Some(run) = self.run.take() {
            run.ticket.finish(RunEnd::Lost);
        }
    }

    /// Moves the rest of the body out, for the task that discards it.
    fn take_rest(&mut self) -> Option<Self> {
        Some(Self {
            address: self.address,
            incoming: Some(self.incoming.take()?),
            run: Some(self.run.take()?),
            detached: None,
            end: self.end,
            timer: self.timer.renewed(),
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
        let Some(state) = self.detached.take() else {
            return;
        };
        if let Some(rest) = self.take_rest() {
            let tasks = rest
                .run
                .as_ref()
                .map(|run| run.ticket.target().tasks().clone());
            if let Some(tasks) = tasks {
                tasks.spawn(discard(state, rest));
            }
        }
    }
}

/// Reads a body to its end and discards it. The run of one that doesn't end in time, or is too long, is
/// lost: its slot and its connection serve others.
async fn discard(state: ProxyState, mut body: BackendBody) {
    let end = body.timer.deadline() + DISCARD_GRACE;
    let cut = match timeout_at(end, discard_body(&mut body, MAX_DISCARDED_BYTES)).await {
        Ok(Err(DiscardError::Overlong { .. })) => OverlongAnswer::Rest,
        Err(_elapsed) => OverlongAnswer::Late,
        Ok(Ok(()) | Err(DiscardError::Broken(_))) => return,
    };
    state.record_overlong_answer(body.address, cut);
    body.fail();
}
