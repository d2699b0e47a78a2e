//! A stop and a drain cut nothing in flight.

use std::time::Duration;

use fescueway_testkit::BackendPlan;
use http_body_util::BodyExt;
use tokio::time::sleep;

use crate::common::{TwoNodes, get, header, request, send};

const DEADLINE: Duration = Duration::from_secs(5);

/// Time until the requests below are in flight.
const UNDER_WAY: Duration = Duration::from_millis(100);

fn slow_plan() -> BackendPlan {
    BackendPlan {
        service_time: Duration::from_millis(400),
        ..BackendPlan::default()
    }
}

#[tokio::test]
async fn a_stopping_host_finishes_what_is_in_flight() {
    let nodes = TwoNodes::start(DEADLINE, slow_plan()).await;
    let address = nodes.entry.addresses().callers;
    let booking = tokio::spawn(send(address, request("POST", "/windows", &[], "b")));
    let download = tokio::spawn(send(address, get("/windows/download/3000000")));
    sleep(UNDER_WAY).await;
    let stopping = tokio::spawn(nodes.host.stop());

    assert_eq!(booking.await.expect("no panic").status(), 200);
    let download = download.await.expect("no panic").into_body();
    // Read late, while the host is waiting to stop.
    sleep(UNDER_WAY).await;
    let bytes = download
        .collect()
        .await
        .expect("a whole download")
        .to_bytes();
    assert_eq!(bytes.len(), 3_000_000);
    stopping.await.expect("no panic");

    let refused = send(address, get("/windows")).await;
    assert_eq!(header(&refused, "fescueway-outcome"), "not-run");
}

#[tokio::test]
async fn a_stopping_entry_finishes_what_is_in_flight() {
    let nodes = TwoNodes::start(DEADLINE, slow_plan()).await;
    let address = nodes.entry.addresses().callers;
    let booking = tokio::spawn(send(address, request("POST", "/windows", &[], "b")));
    sleep(UNDER_WAY).await;
    let stopping = tokio::spawn(nodes.entry.stop());
    assert_eq!(booking.await.expect("no panic").status(), 200);
    stopping.await.expect("no panic");
}

#[tokio::test]
async fn a_drained_target_takes_nothing_new_and_comes_back() {
    let nodes = TwoNodes::start(DEADLINE, slow_plan()).await;
    let address = nodes.entry.addresses().callers;
    let running = tokio::spawn(send(address, request("POST", "/windows", &[], "b")));
    sleep(UNDER_WAY).await;
    nodes.host.state().drain(&"windows".into());
    let refused = send(address, get("/windows")).await;
    assert_eq!(refused.status(), 503);
    assert_eq!(running.await.expect("no panic").status(), 200);
    assert_eq!(nodes.backend.tally().runs, 1);

    nodes.host.state().undrain(&"windows".into());
    let mut status = refused.status();
    for _ in 0..50 {
        status = send(address, get("/windows")).await.status();
        if status == 200 {
            break;
        }
        sleep(UNDER_WAY).await;
    }
    assert_eq!(status, 200);
}
