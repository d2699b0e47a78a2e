//! Limit on the informational answers before the final one.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use http::Request;
use hyper::ext::on_informational;
use tokio::sync::Notify;

/// Maximum number of informational answers to one request. A server sends one to `Expect`, and few
/// with early hints; a faulty one may send them without end, which the HTTP library skips.
const MAX_INFORMATIONAL: u32 = 4;

/// Limit on the informational answers before the final one, on one connection. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub(super) struct InformationalLimit(Arc<LimitState>);

/// State shared by the clones of an [`InformationalLimit`].
#[derive(Debug, Default)]
struct LimitState {
    /// Informational answers to the current request.
    count: AtomicU32,
    /// Notified when they are more than [`MAX_INFORMATIONAL`].
    exceeded: Notify,
}

impl InformationalLimit {
    /// Counts the informational answers to `request`, which is sent next.
    pub(super) fn observe<B>(&self, request: &mut Request<B>) {
        self.0.count.store(0, Ordering::Relaxed);
        let limit = self.clone();
        on_informational(request, move |_response| limit.count());
    }

    /// Waits until there are too many.
    pub(super) async fn exceeded(&self) {
        self.0.exceeded.notified().await;
    }

    /// Whether there were too many before the final answer.
    pub(super) fn is_exceeded(&self) -> bool {
        self.0.count.load(Ordering::Relaxed) > MAX_INFORMATIONAL
    }

    /// Counts one.
    fn count(&self) {
        if self.0.count.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL {
            self.0.exceeded.notify_one();
        }
    }
}
