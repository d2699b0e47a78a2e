//! Watches of the store stand-in.

use std::sync::Arc;

use bytes::Bytes;
use http::Response;
use http_body_util::{
    Either,
    channel::{Channel, Sender},
};
use serde_json::{Value, json};

use crate::{
    json_body::{ByteRange, integer},
    store_server::{StoreBody, StoreState, StreamError, refuse},
};

/// Wakes watches.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WatchOrder {
    /// Rises with every change.
    pub(crate) changes: u64,
    /// Rises when all watches are to end.
    pub(crate) cuts: u64,
}

/// Opens a watch and follows it in a task of its own.
pub(crate) fn follow(body: &Value, state: &Arc<StoreState>) -> Response<StoreBody> {
    let request = &body["create_request"];
    let Ok(range) = ByteRange::try_from(request) else {
        return refuse(400, "the key is not base64");
    };
    let from = integer(&request["start_revision"]).unwrap_or(0);
    let next = if from > 0 {
        from
    } else {
        state.lock().core.revision() + 1
    };
    let (sender, channel) = Channel::new(16);
    tokio::spawn(run(sender, range, next, Arc::clone(state)));
    Response::new(Either::Right(channel))
}

/// Sends changes from revision `next` on until the watch is cut or its client leaves.
async fn run(
    mut sender: Sender<Bytes, StreamError>,
    range: ByteRange,
    mut next: i64,
    state: Arc<StoreState>,
) {
    let mut changed = state.changed.subscribe();
    let cuts = changed.borrow_and_update().cuts;
    let created = json!({ "header": state.lock().core.header(), "created": true });
    if !send(&mut sender, &created).await {
        return;
    }
    let compacted = state.lock().core.compacted();
    if next <= compacted {
        let compact_revision = (compacted + 1).to_string();
        let canceled = json!({ "canceled": true, "compact_revision": compact_revision });
        send(&mut sender, &canceled).await;
        return;
    }
    loop {
        let (header, found) = {
            let inner = state.lock();
            (inner.core.header(), inner.core.changes_from(next, &range))
        };
        if let Some(last) = found.last() {
            next = last.revision + 1;
            let events: Vec<_> = found.into_iter().map(|change| change.event).collect();
            if !send(&mut sender, &json!({ "header": header, "events": events })).await {
                return;
            }
        }
        if changed.changed().await.is_err() || changed.borrow_and_update().cuts != cuts {
            return;
        }
    }
}

/// Sends one line; false when the client left.
async fn send(sender: &mut Sender<Bytes, StreamError>, result: &Value) -> bool {
    let line = format!("{}\n", json!({ "result": result }));
    sender.send_data(line.into()).await.is_ok()
}
