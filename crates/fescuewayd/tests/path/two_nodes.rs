//! Requests that enter one node and run at the backend server of another.

use std::time::Duration;

use fescueway_core::{SiteName, TargetState};
use fescueway_testkit::{BackendPlan, BackendStub};

use crate::common::{
    TwoNodes, announce, get, header, plan, request, send, start_node, start_node_with, text,
    wait_until, wait_until_targets_known,
};

#[tokio::test]
async fn a_request_is_served_through_another_node() {
    let plan = plan("windows", Duration::from_secs(2));
    let backend = BackendStub::start(BackendPlan::default())
        .await
        .expect("a free port");
    let entry = start_node(&plan, &[]).await;
    let host = start_node(&plan, &[entry.addresses().peers]).await;
    announce(&host, "windows", backend.address());
    wait_until_targets_known(&entry, 1).await;

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
    // The host notifies these entries directly when it drains.
    assert_eq!(host.state().recent_entries(), [entry.state().node()]);
}

#[tokio::test]
async fn a_local_backend_server_needs_no_peer_connection() {
    let plan = plan("windows", Duration::from_secs(2));
    let backend = BackendStub::start(BackendPlan::default())
        .await
        .expect("a free port");
    let node = start_node(&plan, &[]).await;
    announce(&node, "windows", backend.address());

    let response = send(node.addresses().callers, get("/windows/7")).await;
    assert_eq!(response.status(), 200);
    assert!(node.state().peers().connected().is_empty());
}

#[tokio::test]
async fn a_target_is_announced_as_serving_after_warm_up() {
    let node = start_node(&plan("windows", Duration::from_secs(2)), &[]).await;
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
        .expect("a free port");
    let entry = start_node(&plan, &[]).await;
    let seeds = [entry.addresses().peers];
    let other_site_host = start_node_with(&plan, &seeds, |settings| {
        settings.site = SiteName::from("other");
    })
    .await;
    announce(&other_site_host, "windows", backend.address());
    wait_until_targets_known(&entry, 1).await;

    let read = || send(entry.addresses().callers, get("/windows/7"));
    let response = read().await;
    assert_eq!(response.status(), 503);
    assert_eq!(header(&response, "fescueway-outcome"), "not-run");
    assert_eq!(backend.tally().runs, 0);

    let same_site_host = start_node(&plan, &seeds).await;
    let same_site_backend = BackendStub::start(BackendPlan::default())
        .await
        .expect("a free port");
    announce(&same_site_host, "windows", same_site_backend.address());
    wait_until_targets_known(&entry, 2).await;
    for _ in 0..20 {
        assert_eq!(read().await.status(), 200);
    }
    assert_eq!(backend.tally().runs, 0);
}

#[tokio::test]
async fn idle_peer_connections_close_after_each_use() {
    let deadline = Duration::from_secs(2);
    let nodes = TwoNodes::start_with(deadline, BackendPlan::default(), |settings| {
        settings.limits.connection_idle = Duration::from_millis(100);
    })
    .await;
    for _ in 0..3 {
        assert_eq!(nodes.send(get("/windows")).await.status(), 200);
        wait_until("nothing is connected", || {
            nodes.entry.state().peers().connected().is_empty()
        })
        .await;
    }
}

/// Guards against a body that is buffered but held until the host accepts the offer, and then lost or
/// cut.
#[tokio::test]
async fn a_held_body_reaches_the_backend_server_whole() {
    let nodes = TwoNodes::start(Duration::from_secs(2), BackendPlan::default()).await;
    for bytes in [1_024, 8 * 1_024, 8 * 1_024 + 1, 60 * 1_024] {
        let body: &'static str = "x".repeat(bytes).leak();
        let response = nodes.send(request("POST", "/windows", &[], body)).await;
        assert_eq!(response.status(), 200, "{bytes} bytes");
        let echo = text(response).await;
        assert!(echo.contains(&format!("\"body_bytes\":{bytes}")), "{echo}");
    }
}
