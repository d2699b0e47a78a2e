//! Runs at a backend server whose caller disconnects.

use std::time::Duration;

use fescueway_testkit::BackendPlan;

use crate::common::{TwoNodes, get, request, send, wait_until};

fn slow_plan() -> BackendPlan {
    BackendPlan {
        service_time: Duration::from_millis(500),
        ..BackendPlan::default()
    }
}

#[tokio::test]
async fn a_read_is_cancelled_when_its_caller_disconnects() {
    // Far longer than the test, so that only a cancellation ends the run.
    let stalled_plan = BackendPlan {
        service_time: Duration::from_mins(2),
        ..BackendPlan::default()
    };
    let nodes = TwoNodes::start(Duration::from_mins(2), stalled_plan).await;
    let caller = tokio::spawn(send(nodes.entry.addresses().callers, get("/windows")));
    wait_until("the run begins", || nodes.backend.tally().runs == 1).await;
    caller.abort();
    wait_until("the run is cancelled", || {
        nodes.backend.tally().cancelled == 1
    })
    .await;
    wait_until("its slot is free", || {
        let host = nodes.host.state();
        host.host_target(&"windows".into())
            .is_some_and(|target| target.is_idle())
    })
    .await;
}

#[tokio::test]
async fn a_booking_completes_when_its_caller_disconnects() {
    let nodes = TwoNodes::start(Duration::from_secs(5), slow_plan()).await;
    // Through the entry, then directly at the host.
    for (index, node) in [&nodes.entry, &nodes.host].into_iter().enumerate() {
        let booking = request("POST", "/windows", &[], "a booking");
        let caller = tokio::spawn(send(node.addresses().callers, booking));
        let runs = index as u64 + 1;
        wait_until("the run begins", || nodes.backend.tally().runs == runs).await;
        caller.abort();
        wait_until("the run ends", || nodes.backend.tally().finished == runs).await;
    }
    assert_eq!(nodes.backend.tally().cancelled, 0);
}
