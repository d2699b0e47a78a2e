//! A request enters one node and is answered through the other.

use std::time::Duration;

use fescueway_core::{SiteName, TargetState};
use fescueway_testkit::{BackendPlan, BackendStub};

use crate::common::{
    TwoNodes, announce, eventually, get, header, knows_targets, node, node_with, plan, request,
    send, text,
};

#[tokio::test]
async fn a_request_is_answered_through_the_other_node() {
    let plan = plan("windows", Duration::from_secs(2));
    let backend = BackendStub::start(BackendPlan::default())
        .await
        .expect("a port");
    let entry = node(&plan, &[]).await;
    let host = node(&plan, &[entry.addresses().peers]).await;
    announce(&host, "windows", backend.address());
    knows_targets(&entry, 1).await;

    let read = request("GET", "/windows/7", &[("x-request-id", "r-1")], "");
    let response = send(entry.addresses().callers, read).await;
    assert_eq!(response.status(), 200);
    assert_eq!(header(&response, "fescueway-outcome"), "ran");
    let body = text(response).await;
    assert!(body.contains("\"request_id\":\"r-1\""), "{body}");

    let booking = request("POST", "/windows", &[], "a booking");
    let response = send(entry.addresses().callers, booking).await;
    assert_eq!(response.status(), 200);
    assert!(text(response).await.contains("\"body_bytes\":9"));
    assert_eq!(backend.tally().runs, 2);
    // Whom the host tells directly when it drains.
    assert_eq!(host.state().recent_entries(), [entry.state().node()]);
}

#[tokio::test]
async fn the_own_backend_server_needs_no_socket_between_nodes() {
    let plan = plan("windows", Duration::from_secs(2));
    let backend = BackendStub::start(BackendPlan::default())
        .await
        .expect("a port");
    let node = node(&plan, &[]).await;
    announce(&node, "windows", backend.address());

    let response = send(node.addresses().callers, get("/windows/7")).await;
    assert_eq!(response.status(), 200);
    assert!(node.state().peers().connected().is_empty());
}

#[tokio::test]
async fn a_cold_target_is_announced_as_serving_once_it_is_warm() {
    let node = node(&plan("windows", Duration::from_secs(2)), &[]).await;
    announce(&node, "windows", node.addresses().callers);
    let mut announced = node.state().announced();
    assert_eq!(
        announced.borrow_and_update()[0].state,
        TargetState::Starting
    );
    announced.changed().await.expect("the node runs");
    assert_eq!(announced.borrow_and_update()[0].state, TargetState::Serving);
}

#[tokio::test]
async fn a_target_of_another_site_is_known_but_gets_no_request() {
    let plan = plan("windows", Duration::from_secs(2));
    let backend = BackendStub::start(BackendPlan::default())
        .await
        .expect("a port");
    let entry = node(&plan, &[]).await;
    let seeds = [entry.addresses().peers];
    let distant = node_with(&plan, &seeds, |settings| {
        settings.site = SiteName::from("other");
    })
    .await;
    announce(&distant, "windows", backend.address());
    knows_targets(&entry, 1).await;

    let read = || send(entry.addresses().callers, get("/windows/7"));
    let response = read().await;
    assert_eq!(response.status(), 503);
    assert_eq!(header(&response, "fescueway-outcome"), "not-run");
    assert_eq!(backend.tally().runs, 0);

    let near = node(&plan, &seeds).await;
    let near_backend = BackendStub::start(BackendPlan::default())
        .await
        .expect("a port");
    announce(&near, "windows", near_backend.address());
    knows_targets(&entry, 2).await;
    for _ in 0..20 {
        assert_eq!(read().await.status(), 200);
    }
    assert_eq!(backend.tally().runs, 0);
}

#[tokio::test]
async fn connections_between_nodes_close_without_use_each_time() {
    let deadline = Duration::from_secs(2);
    let nodes = TwoNodes::start_with(deadline, BackendPlan::default(), |settings| {
        settings.limits.connection_idle = Duration::from_millis(100);
    })
    .await;
    for _ in 0..3 {
        assert_eq!(nodes.send(get("/windows")).await.status(), 200);
        eventually("nothing is connected", || {
            nodes.entry.state().peers().connected().is_empty()
        })
        .await;
    }
}
