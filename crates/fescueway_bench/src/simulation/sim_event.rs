//! Events of the simulation.

/// Event of the simulation.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SimEvent {
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
        /// The event is ignored if the target's `version` has changed since.
        version: u64,
    },
    /// A gate is due to be ticked.
    Wake {
        /// Index of the target.
        target: usize,
    },
    /// A host's reply to an offer arrives at the entry.
    Reply {
        /// Index of the reply.
        reply: usize,
    },
    /// The hedge delay of an open offer has passed.
    Hedge {
        /// Index of the offer.
        offer: usize,
    },
    /// A cancellation arrives at the host.
    Cancel {
        /// Index of the offer.
        offer: usize,
    },
    /// A fault of the scenario occurs.
    Fault {
        /// Index of the fault.
        fault: usize,
    },
    /// Membership reports a fault to the entries.
    FaultKnown {
        /// Index of the fault.
        fault: usize,
    },
}
