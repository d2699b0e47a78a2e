//! A straggler, a drain, a stopping node and an outage of the store, all at once.

use std::time::Duration;

use fescueway_core::ServiceName;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep_until};

use crate::{
    SEEDS,
    fault_site::FaultSite,
    load_plan::LoadPlan,
    revision_watch::RevisionWatch,
    verdict::{check_always, check_uncut},
};

/// How long requests arrive.
const LENGTH: Duration = Duration::from_secs(3);

/// Requests per second.
const RATE: f64 = 150.0;

/// How much longer the straggler takes.
const STRAGGLER_FACTOR: f64 = 10.0;

/// A step may be late by up to this much, as drawn.
const JITTER_MS: u32 = 300;

/// What happens, in no fixed order.
#[derive(Clone, Copy, Debug)]
enum FaultStep {
    Straggle(usize),
    Drain(usize),
    Undrain(usize),
    Stop(usize),
    StoreDown,
    StoreUp,
}

/// The steps with their times, the earliest first. The faults overlap whatever is drawn.
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
    let mut drawn: Vec<_> = steps
        .into_iter()
        .map(|(millis, step)| {
            let late = random.next_u32() % JITTER_MS;
            (Duration::from_millis(millis + u64::from(late)), step)
        })
        .collect();
    drawn.sort_by_key(|(due, _)| *due);
    drawn
}

/// Takes a step. A node that stops goes on doing so beside the next steps.
fn take(site: &mut FaultSite, step: FaultStep) {
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
async fn a_straggler_a_drain_a_stop_and_a_store_outage_lose_nothing() {
    for seed in SEEDS {
        let mut site = FaultSite::start().await;
        let watch = RevisionWatch::start(site.boards());
        // Callers leave the entry that stops before it does, so that none comes too late.
        site.leave_entry(5);
        let load = LoadPlan::steady(seed, LENGTH, RATE).start(&site.entries);
        let start = Instant::now();
        for (due, step) in schedule(seed) {
            sleep_until(start + due).await;
            take(&mut site, step);
        }
        let calls = load.await.expect("no panic");
        check_always(&site, seed, &calls).await;
        check_uncut(seed, &calls);
        watch.check().await;
    }
}
