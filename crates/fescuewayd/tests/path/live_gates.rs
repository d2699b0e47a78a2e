//! A configuration that comes into force changes the gates of targets that are announced already.

use std::{net::SocketAddr, time::Duration};

use fescueway_testkit::{BackendPlan, BackendStub};
use tokio::task::JoinHandle;

use crate::common::{announce_slots, eventually, get, node, plan_with, send};

const DEADLINE: Duration = Duration::from_secs(10);

/// Sends one read; its status.
fn read(address: SocketAddr) -> JoinHandle<u16> {
    tokio::spawn(async move { send(address, get("/windows")).await.status().as_u16() })
}

#[tokio::test]
async fn a_longer_queue_holds_at_once_and_a_shorter_one_loses_nothing() {
    let plan = |queue: u32| {
        let limit = format!(r#"{{ "queue_per_slot": {queue} }}"#);
        plan_with("windows", DEADLINE, &limit)
    };
    let slow = BackendPlan {
        service_time: Duration::from_millis(300),
        ..BackendPlan::default()
    };
    let backend = BackendStub::start(slow).await.expect("a port");
    let node = node(&plan(0), &[]).await;
    announce_slots(&node, "windows", backend.address(), 1);
    let address = node.addresses().callers;
    let target = node.state().host_target(&"windows".into());
    let target = target.expect("it is announced");

    let running = read(address);
    eventually("the slot is taken", || target.report().in_flight == 1).await;
    assert_eq!(read(address).await.expect("no panic"), 503);

    node.state().apply_plan(plan(2));
    let waiting = [read(address), read(address)];
    eventually("both wait", || target.report().queued == 2).await;

    node.state().apply_plan(plan(0));
    assert_eq!(read(address).await.expect("no panic"), 503);
    assert_eq!(running.await.expect("no panic"), 200);
    for read in waiting {
        assert_eq!(read.await.expect("no panic"), 200);
    }
}
