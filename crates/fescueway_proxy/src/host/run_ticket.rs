//! One run at the gate, which ends exactly once.

use std::sync::Arc;

use fescueway_admission::{RunEnd, TicketId};

use super::{HostTarget, RunPermit};

/// One run at the gate. Dropping it ends the run, with [`RunEnd::Cancelled`] unless told.
#[derive(Debug)]
pub struct RunTicket {
    /// The target whose gate let it run.
    target: Arc<HostTarget>,
    /// Its number there.
    ticket: TicketId,
    /// How it ends.
    end: RunEnd,
    /// The right to hand the request over, once it is given.
    permit: Option<RunPermit>,
}

impl RunTicket {
    /// The run that `target`'s gate let begin.
    pub(super) fn new(target: Arc<HostTarget>, ticket: TicketId) -> Self {
        Self {
            target,
            ticket,
            end: RunEnd::Cancelled,
            permit: None,
        }
    }

    /// The request may be handed over.
    pub fn permit(&mut self, permit: RunPermit) {
        self.permit = Some(permit);
    }

    /// From now on a byte of the request may have been sent.
    pub fn hand_over(&mut self) {
        if let Some(permit) = &mut self.permit {
            permit.hand_over();
        }
    }

    /// No byte of the request was sent after all.
    pub fn take_back(&mut self) {
        if let Some(permit) = &mut self.permit {
            permit.take_back();
        }
    }

    /// The head of the answer came.
    pub fn answered(&mut self, status: u16) {
        if let Some(permit) = &mut self.permit {
            permit.answered(status);
        }
    }

    /// The target.
    pub fn target(&self) -> &Arc<HostTarget> {
        &self.target
    }

    /// From now on the run ends like this.
    pub fn set_end(&mut self, end: RunEnd) {
        self.end = end;
    }

    /// Ends the run.
    pub fn finish(mut self, end: RunEnd) {
        self.end = end;
    }
}

impl Drop for RunTicket {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            permit.end(self.end);
        }
        self.target.finish(self.ticket, self.end);
    }
}
