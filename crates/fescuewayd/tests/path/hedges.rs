//! Hedges under an operator's limit, and what becomes of the offer that lost.

use std::{sync::Arc, time::Duration};

use fescueway_config::{HedgePlan, SitePlan};
use fescueway_core::LoadReport;
use fescueway_telemetry::BurnReport;
use fescueway_testkit::{BackendPlan, BackendStub};
use fescuewayd::Daemon;

use crate::common::{
    announce, get, header, plan_with, request, send, start_hosts, start_node, text, wait_until,
    wait_until_targets_known,
};

/// Reads after which the usual latency of the route is known.
const BASELINE_READS: u32 = 40;

/// Far longer than a test, so that only a cancellation ends a run.
const STALL_TIME: Duration = Duration::from_mins(2);

/// A plan under which every late read may be hedged, with this objective for reads.
fn hedged_plan(objective: Option<Duration>) -> Arc<SitePlan> {
    let mut plan = plan_with("windows", STALL_TIME, r#"{ "queue_per_slot": 4 }"#);
    let windows = Arc::make_mut(&mut plan).services.get_mut("windows");
    let windows = Arc::make_mut(windows.expect("the service"));
    windows.retry.budget_share = 1.0;
    windows.retry.hedge = HedgePlan::of_fields(Some(1.0), None);
    windows.routes[0].objective = objective;
    plan
}

/// The load of the node's own target.
fn load(host: &Daemon) -> LoadReport {
    let target = host.state().host_target(&"windows".into());
    target.expect("a target").report()
}

async fn send_baseline(entry: &Daemon) {
    for _ in 0..BASELINE_READS {
        assert_eq!(
            send(entry.addresses().callers, get("/windows"))
                .await
                .status(),
            200
        );
    }
}

#[tokio::test]
async fn the_run_that_loses_to_its_hedge_is_cancelled_and_its_slot_is_free() {
    let plan = hedged_plan(None);
    let entry = start_node(&plan, &[]).await;
    let (hosts, backends) = start_hosts(&plan, &entry, 2).await;
    let address = entry.addresses().callers;
    send_baseline(&entry).await;
    let preferred = (0..2).max_by_key(|index| backends[*index].tally().runs);
    let slow = preferred.expect("two backend servers");
    let (host, backend) = (&hosts[slow], &backends[slow]);
    backend.change(|plan| plan.service_time = STALL_TIME);
    let earlier = backend.tally();
    let mut reads = 0;
    while backend.tally().runs == earlier.runs {
        reads += 1;
        assert!(reads < 200, "no read reached the slow backend server");
        let response = send(address, get("/windows")).await;
        assert_eq!(response.status(), 200);
        assert_eq!(header(&response, "fescueway-outcome"), "ran");
    }
    // The loser's stream is reset, its run is dropped, and the connection to the backend server is
    // closed, by which the stub knows of it.
    wait_until("the run that lost is cancelled", || {
        let tally = backend.tally();
        tally.cancelled == earlier.cancelled + tally.runs - earlier.runs
    })
    .await;
    wait_until("its slot is free", || load(host).in_flight == 0).await;
    assert_eq!(backend.tally().finished, earlier.finished);

    let report = send(entry.addresses().operators, get("/burn")).await;
    let report: BurnReport = serde_json::from_str(&text(report).await).expect("a report");
    let hedges = report.services[0].hedges;
    assert!(hedges.started >= 1 && hedges.won >= 1, "{hedges:?}");
    let metrics = send(entry.addresses().operators, get("/metrics")).await;
    let metrics = text(metrics).await;
    let waste = metrics
        .lines()
        .find(|line| line.starts_with("fescueway_hedge_waste"));
    assert!(waste.is_some_and(|line| !line.ends_with(" 0")), "{waste:?}");
}

#[tokio::test]
async fn the_offer_that_waits_while_its_hedge_is_answered_leaves_the_queue() {
    // The hedge waits for a quarter of the objective, until the second host is there.
    let plan = hedged_plan(Some(Duration::from_secs(6)));
    let entry = start_node(&plan, &[]).await;
    let (hosts, backends) = start_hosts(&plan, &entry, 1).await;
    let (host, backend) = (&hosts[0], &backends[0]);
    send_baseline(&entry).await;
    backend.change(|plan| plan.service_time = STALL_TIME);
    for _ in 0..12 {
        let booking = request("POST", "/windows", &[], "a booking");
        tokio::spawn(send(host.addresses().callers, booking));
    }
    wait_until("all slots are in use", || {
        load(host).in_flight >= load(host).limit
    })
    .await;
    wait_until("the other bookings wait", || {
        load(host).in_flight + load(host).queued == 12
    })
    .await;
    let read = tokio::spawn(send(entry.addresses().callers, get("/windows")));
    wait_until("the read waits", || {
        load(host).in_flight + load(host).queued == 13
    })
    .await;
    let other = BackendStub::start(BackendPlan::default())
        .await
        .expect("a free port");
    let other_host = start_node(&plan, &[entry.addresses().peers]).await;
    announce(&other_host, "windows", other.address());
    wait_until_targets_known(&entry, 2).await;
    let response = read.await.expect("no panic");
    assert_eq!(response.status(), 200);
    assert_eq!(other.tally().finished, 1);
    wait_until("the read left the queue", || {
        load(host).in_flight + load(host).queued == 12
    })
    .await;
}
