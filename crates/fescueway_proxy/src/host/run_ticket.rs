//! Slot of one run, released exactly once.

use std::sync::Arc;

use fescueway_admission::{RunEnd, TicketId};

use super::{HostTarget, RunPermit};

/// Slot of one run. Dropping it ends the run at the gate, as [`RunEnd::Cancelled`] unless another
/// end was set.
#[derive(Debug)]
pub struct RunTicket {
    /// Target whose gate admitted the run.
    target: Arc<HostTarget>,
    /// Identifies the run at the gate.
    ticket: TicketId,
    /// End to record when the ticket is dropped.
    end: RunEnd,
    /// Permit to hand the request over. `None` until the checks passed.
    permit: Option<RunPermit>,
}

impl RunTicket {
    /// Creates the ticket of a run that the gate of `target` admitted.
    pub(super) fn new(target: Arc<HostTarget>, ticket: TicketId) -> Self {
        Self {
            target,
            ticket,
            end: RunEnd::Cancelled,
            permit: None,
        }
    }

    /// Sets the permit to hand the request over.
    pub fn set_permit(&mut self, permit: RunPermit) {
        self.permit = Some(permit);
    }

    /// Marks the request as handed over. Call this before its first byte is sent.
    pub fn hand_over(&mut self) {
        if let Some(permit) = &mut self.permit {
            permit.hand_over();
        }
    }

    /// Undoes [`Self::hand_over`], for a request that certainly did not run.
    pub fn undo_hand_over(&mut self) {
        if let Some(permit) = &mut self.permit {
            permit.undo_hand_over();
        }
    }

    /// Records the status of the response.
    pub fn set_status(&mut self, status: u16) {
        if let Some(permit) = &mut self.permit {
            permit.set_status(status);
        }
    }

    /// Target whose gate admitted the run.
    pub fn target(&self) -> &Arc<HostTarget> {
        &self.target
    }

    /// Sets the end to record when the ticket is dropped.
    pub fn set_end(&mut self, end: RunEnd) {
        self.end = end;
    }

    /// Ends the run with `end`.
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
