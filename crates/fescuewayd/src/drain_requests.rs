//! Drain requests for the local targets, by backend servers and by operators.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use fescueway_core::ServiceName;
use fescueway_proxy::ProxyState;

use crate::StatusBoard;

/// Drain requests for the local targets, by backend servers and by operators. Cheap to clone.
///
/// A target takes work only while neither its backend server nor the operators drain it. Neither of
/// them can end the other's drain.
#[derive(Clone, Debug)]
pub struct DrainRequests {
    /// The proxy's state.
    state: ProxyState,
    /// Holds whether operators, or a stop, drain the node.
    board: StatusBoard,
    /// Services drained by their backend server. Locked while a request is executed, so that of two
    /// concurrent requests neither is lost.
    backends: Arc<Mutex<BTreeSet<ServiceName>>>,
}

impl DrainRequests {
    /// Creates the state without any drain.
    #[must_use]
    pub fn new(state: ProxyState, board: StatusBoard) -> Self {
        Self {
            state,
            board,
            backends: Arc::default(),
        }
    }

    /// Drains a target on behalf of its backend server.
    pub fn drain_backend(&self, service: &ServiceName) {
        let mut backends = self.backends();
        backends.insert(service.clone());
        self.state.drain(service);
    }

    /// Ends the drain by a backend server. Returns whether it takes work now.
    pub fn undrain_backend(&self, service: &ServiceName) -> bool {
        let mut backends = self.backends();
        backends.remove(service);
        let is_undrained = !self.board.facts().is_draining;
        if is_undrained {
            self.state.undrain(service);
        }
        is_undrained
    }

    /// Forgets the drain by a backend server that was replaced or is gone.
    pub fn forget_backend(&self, service: &ServiceName) {
        self.backends().remove(service);
    }

    /// Drains a target that was announced while operators drain the node.
    pub fn on_announced(&self, service: &ServiceName) {
        if self.board.facts().is_draining {
            self.state.drain(service);
        }
    }

    /// Drains all local targets on behalf of operators or a stop.
    pub fn drain_node(&self) {
        let _guard = self.backends();
        self.board.change(|facts| facts.is_draining = true);
        for service in self.state.local_services() {
            self.state.drain(&service);
        }
    }

    /// Ends the drain of all local targets by operators.
    pub fn undrain_node(&self) {
        let backends = self.backends();
        self.board.change(|facts| facts.is_draining = false);
        let services = self.state.local_services().into_iter();
        for service in services.filter(|service| !backends.contains(service)) {
            self.state.undrain(&service);
        }
    }

    /// Locks the services.
    fn backends(&self) -> MutexGuard<'_, BTreeSet<ServiceName>> {
        self.backends.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
