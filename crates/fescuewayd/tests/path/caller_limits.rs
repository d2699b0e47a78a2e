//! Connections of callers are limited.

use std::time::Duration;

use bytes::Bytes;
use fescueway_testkit::{BackendPlan, BackendStub};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use tokio::time::timeout;

use crate::common::{SOON, announce, connect, get, node_with, plan, send};

/// Connections of callers that the node takes.
const LIMIT: usize = 2;

/// How long a caller above the limit is watched.
const WATCHED: Duration = Duration::from_millis(300);

#[tokio::test]
async fn a_connection_above_the_limit_waits_for_one_to_close() {
    let node = node_with(&plan("windows", SOON), &[], |settings| {
        settings.limits.caller_connections = LIMIT;
    })
    .await;
    let backend = BackendStub::start(BackendPlan::default())
        .await
        .expect("a port");
    announce(&node, "windows", backend.address());
    let address = node.addresses().callers;
    let mut kept = Vec::new();
    for _ in 0..LIMIT {
        let mut sender = connect(address).await;
        read_on(&mut sender).await;
        kept.push(sender);
    }

    let mut waiting = tokio::spawn(send(address, get("/windows")));
    let early = timeout(WATCHED, &mut waiting).await;
    assert!(early.is_err(), "a connection above the limit was served");
    assert_eq!(node.state().caller_connections(), LIMIT);

    // The ones that were there first are served on.
    for sender in &mut kept {
        read_on(sender).await;
    }
    kept.pop();
    let response = timeout(SOON, waiting).await.expect("in time");
    assert_eq!(response.expect("no panic").status(), 200);
}

/// Reads once on an open connection.
async fn read_on(sender: &mut SendRequest<Full<Bytes>>) {
    sender.ready().await.expect("an open connection");
    let response = sender.send_request(get("/windows")).await;
    let response = response.expect("an answer");
    assert_eq!(response.status(), 200);
    response
        .into_body()
        .collect()
        .await
        .expect("a whole answer");
}
