//! The handlers of control messages.

use std::{
    collections::BTreeMap,
    fmt::{Debug, Formatter, Result as FmtResult},
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
};

use fescueway_wire::{ControlAnswer, ControlKind, ControlRequest};

/// What a handler makes: the answer's body, or why there is none.
type ControlFuture = Pin<Box<dyn Future<Output = Result<Vec<u8>, String>> + Send>>;

/// A handler: takes the sender's address and the message's body.
type ControlHandler = Arc<dyn Fn(SocketAddr, Vec<u8>) -> ControlFuture + Send + Sync>;

/// The handlers of control messages, one for each kind. Cheap to clone.
#[derive(Clone, Default)]
pub struct ControlTable(Arc<Mutex<BTreeMap<ControlKind, ControlHandler>>>);

impl ControlTable {
    /// From now on `handler` answers messages of `kind`.
    ///
    /// It takes the address of the sender's socket and the body, and makes the answer's body.
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

    /// Lets the kind's handler answer.
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
