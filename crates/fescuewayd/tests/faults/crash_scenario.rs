//! A request that crashes backend servers is sent repeatedly, and a VM is replaced meanwhile.

use std::time::Duration;

use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::sleep;

use crate::{
    SEEDS,
    call_record::CallRecord,
    caller::{CallKind, call},
    fault_site::FaultSite,
    invariants::check_invariants,
    load_plan::LoadPlan,
    revision_watch::RevisionWatch,
};

/// Duration over which requests arrive.
const ARRIVAL_DURATION: Duration = Duration::from_secs(3);

const REQUESTS_PER_S: f64 = 100.0;

/// Number of sends of the crashing request.
const CRASHING_SENDS: usize = 8;

/// The VM is replaced before a random one of this number of sends, which follow the first send.
const REPLACEMENT_SENDS: usize = 3;

/// Upper bound of the pause before each send.
const MAX_PAUSE_MS: u32 = 300;

/// Backend servers that one request may crash.
const MAX_CRASHED: u32 = 2;

/// The VM to replace: the first with a crashed backend server, otherwise the first of all.
fn vm_to_replace(site: &FaultSite) -> usize {
    let crashed = site.vms.iter().position(|vm| vm.backend.is_crashed());
    crashed.unwrap_or(0)
}

#[tokio::test]
async fn a_crashing_request_crashes_two_backend_servers_at_most() {
    for seed in SEEDS {
        let mut site = FaultSite::start().await;
        let watch = RevisionWatch::start(site.boards());
        let load = LoadPlan::steady(seed, ARRIVAL_DURATION, REQUESTS_PER_S).start(&site.entries);
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let replace_before = 1 + random.next_u32() as usize % REPLACEMENT_SENDS;
        let key = format!("crashing-{seed}");
        let mut crashing_results = Vec::new();
        for number in 0..CRASHING_SENDS {
            let pause = random.next_u32() % MAX_PAUSE_MS;
            sleep(Duration::from_millis(u64::from(pause))).await;
            if number == replace_before {
                site.replace_vm(vm_to_replace(&site)).await;
            }
            let entries = site
                .entries
                .lock()
                .expect("the lock is not poisoned")
                .clone();
            let entry = entries[number % entries.len()];
            let record = call(CallKind::CrashingRead, key.clone(), &[entry]).await;
            crashing_results.extend(record.results);
        }
        let mut calls = load.await.expect("the task doesn't panic");
        calls.push(CallRecord {
            key: key.clone(),
            is_booking: false,
            results: crashing_results.clone(),
        });
        let tallies = check_invariants(&site, seed, &calls).await;
        // Each run of the crashing request crashes one backend server.
        let crashed_count: u32 = tallies
            .iter()
            .filter_map(|tally| tally.runs_by_key.get(&key))
            .sum();
        assert!(
            crashed_count >= 1,
            "seed {seed}: it never ran: {crashing_results:?}"
        );
        assert!(
            crashed_count <= MAX_CRASHED,
            "seed {seed}: {crashed_count} backend servers crashed: {crashing_results:?}"
        );
        watch.check().await;
    }
}
