//! Handlers of control messages.

use std::{
    collections::BTreeMap,
    fmt::{Debug, Formatter, Result as FmtResult},
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
};

use fescueway_wire::{ControlAnswer, ControlKind, ControlRequest};

/// Future of a handler: the body of the answer, or an error text.
type ControlFuture = Pin<Box<dyn Future<Output = Result<Vec<u8>, String>> + Send>>;

/// Handler, called with the sender's address and the body of the message.
type ControlHandler = Arc<dyn Fn(SocketAddr, Vec<u8>) -> ControlFuture + Send + Sync>;

/// Handlers of control messages, one for each kind. Cheap to clone.
#[derive(Clone, Default)]
pub struct ControlTable(Arc<Mutex<BTreeMap<ControlKind, ControlHandler>>>);

impl ControlTable {
    /// Registers the handler of messages of `kind`, replacing an earlier one.
    ///
    /// It is called with the address of the sender's socket and the body of the message, and
    /// returns the body of the answer or an error text.
    pub fn register<F>(
        &self,
        kind: ControlKind,
        handler: impl Fn(SocketAddr, Vec<u8>) -> F + Send + Sync + 'static,
    ) where
        F: Future<Output = Result<Vec<u8>, String>> + Send + 'static,
    {
        let boxed: ControlHandler = Arc::new(move |peer, body| Box::pin(handler(peer, body)));
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(kind, boxed);
    }

    /// Calls the handler of the message's kind.
    pub(crate) async fn answer(&self, peer: SocketAddr, request: ControlRequest) -> ControlAnswer {
        let handler = self
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(&request.kind)
            .cloned();
        let Some(handler) = handler else {
            return ControlAnswer::NoHandler;
        };
        match handler(peer, request.body).await {
            Ok(body) => ControlAnswer::Done(body),
            Err(detail) => ControlAnswer::Failed(detail),
        }
    }
}

impl Debug for ControlTable {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        f.debug_struct("ControlTable").finish_non_exhaustive()
    }
}
