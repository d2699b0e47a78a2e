//! Time limits of requests and of their answers.

use std::time::Duration;

use fescueway_core::ServiceName;
use fescueway_testkit::{BackendPlan, BackendStub};
use tokio::time::sleep;

use crate::common::{announce_slots, plan, request, send, start_node, wait_until};

/// Time limit of the requests.
const DEADLINE: Duration = Duration::from_millis(600);

/// Slots of the backend server that never answers.
const SLOTS: u32 = 4;

/// Guards against slots that requests without an answer hold for good: the users' day with `srv_grey`
/// `mute`, after which no booking was served until the node started again.
#[tokio::test]
async fn slots_of_bookings_that_were_never_answered_are_free_after_their_time_limit() {
    let roomy = BackendPlan {
        slots: 10 * SLOTS,
        ..BackendPlan::default()
    };
    let backend = BackendStub::start(roomy).await.expect("a free port");
    let node = start_node(&plan("windows", DEADLINE), &[]).await;
    announce_slots(&node, "windows", backend.address(), SLOTS);
    let target = node.state().host_target(&ServiceName::from("windows"));
    let target = target.expect("an announced target");
    wait_until("slow start is over", || target.report().limit == SLOTS).await;
    let callers = node.addresses().callers;
    backend.change(|plan| plan.service_time = Duration::from_secs(3_600));
    let bookings = (0..2 * SLOTS).map(|_index| {
        let booking = request("POST", "/windows", &[], "");
        tokio::spawn(async move { send(callers, booking).await.status() })
    });
    for booking in bookings.collect::<Vec<_>>() {
        assert_ne!(booking.await.expect("a status"), 200);
    }
    assert_eq!(backend.tally().peak_in_flight, SLOTS);
    backend.change(|plan| plan.service_time = Duration::from_millis(5));
    sleep(2 * DEADLINE).await;
    let answer = send(callers, request("POST", "/windows", &[], "")).await;
    assert_eq!(answer.status(), 200);
}
