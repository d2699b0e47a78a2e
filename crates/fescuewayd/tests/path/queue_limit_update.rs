//! A new configuration changes the queue limits of targets that are already announced.

use std::{net::SocketAddr, time::Duration};

use fescueway_testkit::{BackendPlan, BackendStub};
use tokio::task::JoinHandle;

use crate::common::{announce_slots, get, plan_with, send, start_node, wait_until};

const DEADLINE: Duration = Duration::from_secs(10);

/// Sends one read in a task that returns its status.
fn read(address: SocketAddr) -> JoinHandle<u16> {
    tokio::spawn(async move { send(address, get("/windows")).await.status().as_u16() })
}

#[tokio::test]
async fn a_new_queue_limit_applies_at_once_and_drops_no_queued_request() {
    let plan = |queue_per_slot: u32| {
        let limit = format!(r#"{{ "queue_per_slot": {queue_per_slot} }}"#);
        plan_with("windows", DEADLINE, &limit)
    };
    let slow_plan = BackendPlan {
        service_time: Duration::from_millis(300),
        ..BackendPlan::default()
    };
    let backend = BackendStub::start(slow_plan).await.expect("a free port");
    let node = start_node(&plan(0), &[]).await;
    announce_slots(&node, "windows", backend.address(), 1);
    let address = node.addresses().callers;
    let target = node.state().host_target(&"windows".into());
    let target = target.expect("the target is announced");

    let running = read(address);
    wait_until("the slot is taken", || target.report().in_flight == 1).await;
    assert_eq!(read(address).await.expect("the task doesn't panic"), 503);

    node.state().apply_plan(plan(2));
    let waiting = [read(address), read(address)];
    wait_until("both reads are queued", || target.report().queued == 2).await;

    node.state().apply_plan(plan(0));
    assert_eq!(read(address).await.expect("the task doesn't panic"), 503);
    assert_eq!(running.await.expect("the task doesn't panic"), 200);
    for read in waiting {
        assert_eq!(read.await.expect("the task doesn't panic"), 200);
    }
}
