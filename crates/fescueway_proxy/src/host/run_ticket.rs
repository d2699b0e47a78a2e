//! One run at the gate, which ends exactly once.

use std::sync::Arc;

use fescueway_admission::{RunEnd, TicketId};

use super::HostTarget;

/// One run at the gate. Dropping it ends the run, with [`RunEnd::Cancelled`] unless told.
#[derive(Debug)]
pub struct RunTicket {
    /// The target whose gate let it run.
    target: Arc<HostTarget>,
    /// Its number there.
    ticket: TicketId,
    /// How it ends.
    end: RunEnd,
}

impl RunTicket {
    /// The run that `target`'s gate let begin.
    pub(super) fn new(target: Arc<HostTarget>, ticket: TicketId) -> Self {
        Self {
            target,
            ticket,
            end: RunEnd::Cancelled,
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
        self.target.finish(self.ticket, self.end);
    }
}
