//! Stragglers, drains, a stopping node and a store outage that overlap.

use std::time::Duration;

use fescueway_core::ServiceName;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep_until};

use crate::{
    SEEDS,
    fault_site::FaultSite,
    invariants::{check_invariants, check_no_response_lost},
    load_plan::LoadPlan,
    revision_watch::RevisionWatch,
};

/// Duration over which requests arrive.
const ARRIVAL_DURATION: Duration = Duration::from_secs(3);

const REQUESTS_PER_S: f64 = 150.0;

/// Factor by which the service time of a straggler is longer.
const STRAGGLER_FACTOR: f64 = 10.0;

/// Upper bound of the random delay of a step.
const JITTER_MS: u32 = 300;

/// A fault, or the end of one. The index is that of a VM.
#[derive(Clone, Copy, Debug)]
enum FaultStep {
    Straggle(usize),
    Drain(usize),
    Undrain(usize),
    Stop(usize),
    StoreDown,
    StoreUp,
}

/// The steps in order of their times. The faults overlap for every seed.
fn schedule(seed: u64) -> Vec<(Duration, FaultStep)> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let steps = [
        (300, FaultStep::StoreDown),
        (300, FaultStep::Straggle(0)),
        (300, FaultStep::Straggle(3)),
        (300, FaultStep::Drain(1)),
        (400, FaultStep::Drain(4)),
        (900, FaultStep::Stop(5)),
        (1_500, FaultStep::Undrain(1)),
        (1_600, FaultStep::Undrain(4)),
        (2_100, FaultStep::StoreUp),
    ];
    let mut scheduled_steps: Vec<_> = steps
        .into_iter()
        .map(|(base_ms, step)| {
            let delay_ms = random.next_u32() % JITTER_MS;
            (Duration::from_millis(base_ms + u64::from(delay_ms)), step)
        })
        .collect();
    scheduled_steps.sort_by_key(|(due, _)| *due);
    scheduled_steps
}

/// Applies a step. A node that stops does so in the background.
fn apply_step(site: &mut FaultSite, step: FaultStep) {
    match step {
        FaultStep::Straggle(index) => {
            let backend = &site.vms[index].backend;
            backend.change(|plan| plan.slowdown = STRAGGLER_FACTOR);
        }
        FaultStep::Drain(index) => {
            let service = ServiceName::from(site.vms[index].service);
            site.daemon(index).state().drain(&service);
        }
        FaultStep::Undrain(index) => {
            let service = ServiceName::from(site.vms[index].service);
            site.daemon(index).state().undrain(&service);
        }
        FaultStep::Stop(index) => {
            let daemon = site.vms[index].daemon.take().expect("the node runs");
            tokio::spawn(daemon.stop());
        }
        FaultStep::StoreDown => site.set_store_down(true),
        FaultStep::StoreUp => site.set_store_down(false),
    }
}

#[tokio::test]
async fn stragglers_drains_a_stop_and_a_store_outage_lose_no_response() {
    for seed in SEEDS {
        let mut site = FaultSite::start().await;
        let watch = RevisionWatch::start(site.boards());
        // Callers stop using the entry before it stops, so that it refuses no connection.
        site.remove_entry(5);
        let load = LoadPlan::steady(seed, ARRIVAL_DURATION, REQUESTS_PER_S).start(&site.entries);
        let start = Instant::now();
        for (due, step) in schedule(seed) {
            sleep_until(start + due).await;
            apply_step(&mut site, step);
        }
        let calls = load.await.expect("the task doesn't panic");
        check_invariants(&site, seed, &calls).await;
        check_no_response_lost(seed, &calls);
        watch.check().await;
    }
}
