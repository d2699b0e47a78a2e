//! Who wants the targets beside this node to take nothing new.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use fescueway_core::ServiceName;
use fescueway_proxy::ProxyState;

use crate::StatusBoard;

/// Who wants the targets beside this node to take nothing new. Cheap to clone.
///
/// A target takes work only while neither its backend server nor the operators want it drained:
/// neither of them can end the other's drain.
#[derive(Clone, Debug)]
pub struct DrainOrders {
    /// The path of requests.
    state: ProxyState,
    /// Whether operators drain the node stands there.
    board: StatusBoard,
    /// Services whose backend server wants to be drained. Locked while an order is carried out, so
    /// that of two orders at once neither is lost.
    backends: Arc<Mutex<BTreeSet<ServiceName>>>,
}

impl DrainOrders {
    /// Without any drain.
    #[must_use]
    pub fn new(state: ProxyState, board: StatusBoard) -> Self {
        Self {
            state,
            board,
            backends: Arc::default(),
        }
    }

    /// A backend server wants nothing new.
    pub fn drain_backend(&self, service: &ServiceName) {
        let mut backends = self.backends();
        backends.insert(service.clone());
        self.state.drain(service);
    }

    /// A backend server wants work again. Returns whether it gets any.
    pub fn undrain_backend(&self, service: &ServiceName) -> bool {
        let mut backends = self.backends();
        backends.remove(service);
        let is_free = !self.board.facts().is_draining;
        if is_free {
            self.state.undrain(service);
        }
        is_free
    }

    /// A backend server is new or gone, so that its predecessor's wish no longer counts.
    pub fn forget_backend(&self, service: &ServiceName) {
        self.backends().remove(service);
    }

    /// Drains a target that was announced while operators drain the node.
    pub fn on_announced(&self, service: &ServiceName) {
        if self.board.facts().is_draining {
            self.state.drain(service);
        }
    }

    /// Operators, or a stop, want nothing new at the whole node.
    pub fn drain_node(&self) {
        let _carried_out = self.backends();
        self.board.change(|facts| facts.is_draining = true);
        for service in self.state.local_services() {
            self.state.drain(&service);
        }
    }

    /// Operators want the node to take work again.
    pub fn undrain_node(&self) {
        let backends = self.backends();
        self.board.change(|facts| facts.is_draining = false);
        let services = self.state.local_services().into_iter();
        for service in services.filter(|service| !backends.contains(service)) {
            self.state.undrain(&service);
        }
    }

    /// The services, locked.
    fn backends(&self) -> MutexGuard<'_, BTreeSet<ServiceName>> {
        self.backends.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
