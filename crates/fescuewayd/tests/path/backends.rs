//! What a backend server notices of callers that leave.

use std::time::Duration;

use fescueway_testkit::BackendPlan;
use tokio::time::timeout;

use crate::common::{TwoNodes, eventually, get, request, send};

/// How long the callers stay.
const PATIENCE: Duration = Duration::from_millis(100);

fn slow_plan() -> BackendPlan {
    BackendPlan {
        service_time: Duration::from_millis(500),
        ..BackendPlan::default()
    }
}

#[tokio::test]
async fn a_read_is_cancelled_when_its_caller_leaves() {
    let nodes = TwoNodes::start(Duration::from_secs(5), slow_plan()).await;
    let left = timeout(PATIENCE, nodes.send(get("/windows"))).await;
    left.expect_err("the caller left before its answer");
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
        let left = timeout(PATIENCE, send(node.addresses().callers, booking)).await;
        left.expect_err("the caller left before its answer");
        let ended = index as u64 + 1;
        eventually("the run ends", || nodes.backend.tally().finished == ended).await;
    }
    assert_eq!(nodes.backend.tally().cancelled, 0);
}
