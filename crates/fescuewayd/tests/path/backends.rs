//! What a backend server notices of callers that leave.

use std::time::Duration;

use fescueway_testkit::BackendPlan;

use crate::common::{TwoNodes, eventually, get, request, send};

fn slow_plan() -> BackendPlan {
    BackendPlan {
        service_time: Duration::from_millis(500),
        ..BackendPlan::default()
    }
}

#[tokio::test]
async fn a_read_is_cancelled_when_its_caller_leaves() {
    // Far longer than the test takes: only a cancellation ends the run.
    let endless = BackendPlan {
        service_time: Duration::from_mins(2),
        ..BackendPlan::default()
    };
    let nodes = TwoNodes::start(Duration::from_mins(2), endless).await;
    let caller = tokio::spawn(send(nodes.entry.addresses().callers, get("/windows")));
    eventually("the run begins", || nodes.backend.tally().runs == 1).await;
    caller.abort();
    eventually("the run is cancelled", || {
        nodes.backend.tally().cancelled == 1
    })
    .await;
    eventually("its slot is free", || {
        let host = nodes.host.state();
        host.host_target(&"windows".into())
            .is_some_and(|target| target.is_idle())
    })
    .await;
}

#[tokio::test]
async fn a_booking_runs_to_its_end_when_its_caller_leaves() {
    let nodes = TwoNodes::start(Duration::from_secs(5), slow_plan()).await;
    // Through the other node, and at the backend server's own.
    for (index, node) in [&nodes.entry, &nodes.host].into_iter().enumerate() {
        let booking = request("POST", "/windows", &[], "a booking");
        let caller = tokio::spawn(send(node.addresses().callers, booking));
        let begun = index as u64 + 1;
        eventually("the run begins", || nodes.backend.tally().runs == begun).await;
        caller.abort();
        eventually("the run ends", || nodes.backend.tally().finished == begun).await;
    }
    assert_eq!(nodes.backend.tally().cancelled, 0);
}
