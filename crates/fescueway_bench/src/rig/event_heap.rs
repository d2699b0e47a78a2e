//! Events in virtual time.

use std::{cmp::Reverse, collections::BinaryHeap};

/// What happens, and when.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RigEvent {
    /// A request arrives at its entry.
    Arrive {
        /// Index of the request.
        request: usize,
    },
    /// An offer arrives at its host.
    Offer {
        /// Index of the offer.
        offer: usize,
    },
    /// A backend server may have finished a request.
    Finish {
        /// Index of the target.
        target: usize,
        /// The event counts only if the target's schedule hasn't changed since.
        version: u64,
    },
    /// A gate asked to be woken.
    Wake {
        /// Index of the target.
        target: usize,
    },
    /// A host's word on an offer arrives at the entry.
    Reply {
        /// Index of the reply.
        reply: usize,
    },
    /// An open offer may be hedged.
    Hedge {
        /// Index of the offer.
        offer: usize,
    },
    /// A cancellation arrives at the host.
    Cancel {
        /// Index of the offer.
        offer: usize,
    },
    /// A fault of the scenario strikes.
    Fault {
        /// Index of the fault.
        fault: usize,
    },
    /// The entries learn of a fault by membership.
    FaultKnown {
        /// Index of the fault.
        fault: usize,
    },
}

/// Events ordered by time, and by order of insertion within one microsecond.
#[derive(Debug, Default)]
pub struct EventHeap {
    /// The events, each with its time in microseconds.
    heap: BinaryHeap<Reverse<(u64, u64, RigEvent)>>,
    /// Events pushed so far.
    pushed: u64,
}

impl EventHeap {
    /// Adds an event at `time_us`.
    pub fn push(&mut self, time_us: u64, event: RigEvent) {
        self.pushed += 1;
        self.heap.push(Reverse((time_us, self.pushed, event)));
    }

    /// Takes the first event and its time in microseconds.
    pub fn pop(&mut self) -> Option<(u64, RigEvent)> {
        let Reverse((time_us, _, event)) = self.heap.pop()?;
        Some((time_us, event))
    }
}
