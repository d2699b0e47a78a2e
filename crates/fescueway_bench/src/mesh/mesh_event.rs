//! Events of the simulation.

/// Event of the simulation.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum MeshEvent {
    /// A request of a caller or a nested call arrives at its entry.
    Arrive {
        /// Index of the request.
        request: usize,
    },
    /// The deadline of a request.
    Expire {
        /// Index of the request.
        request: usize,
    },
    /// An offer arrives at its host.
    Offer {
        /// Index of the offer.
        offer: usize,
    },
    /// A running request ends the first or the second half of its work.
    HalfDone {
        /// Index of the offer.
        offer: usize,
    },
    /// The timer of a gate.
    Wake {
        /// Index of the node.
        node: usize,
    },
    /// A backend server answers a load query.
    LoadAnswer {
        /// Index of the node.
        node: usize,
    },
    /// The load of a target's neighbours may change.
    NeighbourChange {
        /// Index of the node.
        node: usize,
    },
    /// A host's reply to an offer arrives at the entry.
    Reply {
        /// Index of the reply.
        reply: usize,
    },
    /// A fault of the scenario.
    Fault {
        /// Index of the fault.
        fault: usize,
    },
    /// The nodes are back after a loss of all.
    Restart,
}
