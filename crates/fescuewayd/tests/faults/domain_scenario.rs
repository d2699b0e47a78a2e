//! The load rises while a failure domain is lost.

use std::time::Duration;

use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep_until};

use crate::{
    SEEDS,
    fault_site::{DOMAINS, FaultSite},
    load_plan::LoadPlan,
    revision_watch::RevisionWatch,
    verdict::check_always,
};

/// How long requests arrive.
const LENGTH: Duration = Duration::from_secs(3);

/// Requests per second before the load rises.
const RATE: f64 = 120.0;

/// The load rises at about this time.
const STEP_MS: u32 = 1_000;

/// The domain is lost up to this much before or after.
const JITTER_MS: u32 = 200;

#[tokio::test]
async fn a_load_step_in_a_lost_failure_domain_doubles_nothing() {
    for seed in SEEDS {
        let mut site = FaultSite::start().await;
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let lost = random.next_u32() as usize % DOMAINS;
        let due_ms = STEP_MS - JITTER_MS + random.next_u32() % (2 * JITTER_MS);
        let plan = LoadPlan {
            step_at: Some(Duration::from_millis(u64::from(STEP_MS))),
            ..LoadPlan::steady(seed, LENGTH, RATE)
        };
        let load = plan.start(&site.entries);
        let start = Instant::now();
        sleep_until(start + Duration::from_millis(u64::from(due_ms))).await;
        for index in (lost..site.vms.len()).step_by(DOMAINS) {
            site.kill_vm(index);
        }
        let watch = RevisionWatch::start(site.boards());
        let calls = load.await.expect("no panic");
        check_always(&site, seed, &calls).await;
        watch.check().await;
    }
}
