//! A failure domain fails at about the time of a load step.

use std::time::Duration;

use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep_until};

use crate::{
    SEEDS,
    fault_site::{DOMAINS, FaultSite},
    invariants::check_invariants,
    load_plan::LoadPlan,
    revision_watch::RevisionWatch,
};

/// Duration over which requests arrive.
const ARRIVAL_DURATION: Duration = Duration::from_secs(3);

/// Requests per second before the load step.
const REQUESTS_PER_S: f64 = 120.0;

/// Time of the load step.
const STEP_MS: u32 = 1_000;

/// The domain fails up to this time before or after the load step.
const JITTER_MS: u32 = 200;

#[tokio::test]
async fn no_booking_runs_twice_in_a_load_step_with_a_failed_domain() {
    for seed in SEEDS {
        let mut site = FaultSite::start().await;
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let failed_domain = random.next_u32() as usize % DOMAINS;
        let failure_ms = STEP_MS - JITTER_MS + random.next_u32() % (2 * JITTER_MS);
        let plan = LoadPlan {
            step_at: Some(Duration::from_millis(u64::from(STEP_MS))),
            ..LoadPlan::steady(seed, ARRIVAL_DURATION, REQUESTS_PER_S)
        };
        let load = plan.start(&site.entries);
        let start = Instant::now();
        sleep_until(start + Duration::from_millis(u64::from(failure_ms))).await;
        for index in (failed_domain..site.vms.len()).step_by(DOMAINS) {
            site.kill_vm(index);
        }
        let watch = RevisionWatch::start(site.boards());
        let calls = load.await.expect("the task doesn't panic");
        check_invariants(&site, seed, &calls).await;
        watch.check().await;
    }
}
