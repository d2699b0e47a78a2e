//! Watches of the store stub.

use std::sync::Arc;

use bytes::Bytes;
use http::Response;
use http_body_util::{
    Either,
    channel::{Channel, Sender},
};
use serde_json::{Value, json};

use crate::{
    json_body::{KeyRange, parse_integer},
    store_server::{StoreBody, StoreState, StreamError, error_response},
};

/// The signal that wakes watches.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WatchSignal {
    /// Rises whenever keys may have changed.
    pub(crate) changes: u64,
    /// Rises when all watches are to close.
    pub(crate) closes: u64,
}

/// Opens a watch, served by a task of its own.
pub(crate) fn open_watch(body: &Value, state: &Arc<StoreState>) -> Response<StoreBody> {
    let request = &body["create_request"];
    let Ok(range) = KeyRange::try_from(request) else {
        return error_response(400, "the key is not base64");
    };
    let start_revision = parse_integer(&request["start_revision"]).unwrap_or(0);
    let next = if start_revision > 0 {
        start_revision
    } else {
        state.lock().data.revision() + 1
    };
    let (sender, channel) = Channel::new(16);
    tokio::spawn(run_watch(sender, range, next, Arc::clone(state)));
    Response::new(Either::Right(channel))
}

/// Sends changes from revision `next` on until the watch is closed or its client disconnects.
async fn run_watch(
    mut sender: Sender<Bytes, StreamError>,
    range: KeyRange,
    mut next: i64,
    state: Arc<StoreState>,
) {
    let mut changed = state.changed.subscribe();
    let closes = changed.borrow_and_update().closes;
    let created = json!({ "header": state.lock().data.header(), "created": true });
    if !send_line(&mut sender, &created).await {
        return;
    }
    let compacted_revision = state.lock().data.compacted_revision();
    if next <= compacted_revision {
        let compact_revision = (compacted_revision + 1).to_string();
        let canceled = json!({ "canceled": true, "compact_revision": compact_revision });
        send_line(&mut sender, &canceled).await;
        return;
    }
    loop {
        let (header, pending_changes) = {
            let inner = state.lock();
            (inner.data.header(), inner.data.changes_from(next, &range))
        };
        if let Some(last) = pending_changes.last() {
            next = last.revision + 1;
            let events: Vec<_> = pending_changes
                .into_iter()
                .map(|change| change.event)
                .collect();
            if !send_line(&mut sender, &json!({ "header": header, "events": events })).await {
                return;
            }
        }
        if changed.changed().await.is_err() || changed.borrow_and_update().closes != closes {
            return;
        }
    }
}

/// Sends one line. Returns false when the client has disconnected.
async fn send_line(sender: &mut Sender<Bytes, StreamError>, result: &Value) -> bool {
    let line = format!("{}\n", json!({ "result": result }));
    sender.send_data(line.into()).await.is_ok()
}
