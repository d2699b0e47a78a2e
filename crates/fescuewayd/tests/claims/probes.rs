//! Probes over real sockets stay within the budget.

use std::time::Duration;

use fescueway_testkit::BackendPlan;
use tokio::time::{Instant, sleep};

use crate::fleet::Fleet;

#[tokio::test]
async fn an_idle_backend_server_is_probed_within_its_budget() {
    let plan = BackendPlan {
        probe_time: Duration::from_millis(5),
        ..BackendPlan::default()
    };
    let start = Instant::now();
    let fleet = Fleet::start(plan).await;
    let earlier_tally = fleet.backends[0].tally();
    sleep(Duration::from_secs(7)).await;
    let tally = fleet.backends[0].tally();
    assert!(
        tally.probes > earlier_tally.probes,
        "no probe was sent after traffic stopped"
    );
    let max_probe_time = start.elapsed().mul_f64(0.020);
    assert!(tally.probe_time <= max_probe_time, "{:?}", tally.probe_time);
}
