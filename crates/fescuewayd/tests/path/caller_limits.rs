//! The limit on connections of callers.

use std::time::Duration;

use bytes::Bytes;
use fescueway_testkit::{BackendPlan, BackendStub};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use tokio::time::timeout;

use crate::common::{WAIT_TIMEOUT, announce, connect, get, plan, send, start_node_with};

/// Connections of callers that the node accepts.
const CONNECTION_LIMIT: usize = 2;

/// Time for which a caller above the limit must get no response.
const NO_RESPONSE_TIME: Duration = Duration::from_millis(300);

#[tokio::test]
async fn a_connection_above_the_limit_waits_for_one_to_close() {
    let node = start_node_with(&plan("windows", WAIT_TIMEOUT), &[], |settings| {
        settings.limits.caller_connections = CONNECTION_LIMIT;
    })
    .await;
    let backend = BackendStub::start(BackendPlan::default())
        .await
        .expect("a free port");
    announce(&node, "windows", backend.address());
    let address = node.addresses().callers;
    let mut senders = Vec::new();
    for _ in 0..CONNECTION_LIMIT {
        let mut sender = connect(address).await;
        send_read(&mut sender).await;
        senders.push(sender);
    }

    let mut waiting = tokio::spawn(send(address, get("/windows")));
    let early_response = timeout(NO_RESPONSE_TIME, &mut waiting).await;
    assert!(
        early_response.is_err(),
        "a connection above the limit was served"
    );
    assert_eq!(node.state().caller_connections(), CONNECTION_LIMIT);

    // Connections within the limit are still served.
    for sender in &mut senders {
        send_read(sender).await;
    }
    senders.pop();
    let response = timeout(WAIT_TIMEOUT, waiting).await.expect("in time");
    assert_eq!(response.expect("the task doesn't panic").status(), 200);
}

/// Sends one read on an open connection.
async fn send_read(sender: &mut SendRequest<Full<Bytes>>) {
    sender.ready().await.expect("an open connection");
    let response = sender.send_request(get("/windows")).await;
    let response = response.expect("a response");
    assert_eq!(response.status(), 200);
    response
        .into_body()
        .collect()
        .await
        .expect("a complete response");
}
