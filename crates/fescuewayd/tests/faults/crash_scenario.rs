//! A request that crashes backend servers is sent again while a node is replaced.

use std::time::Duration;

use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::sleep;

use crate::{
    SEEDS,
    call_record::CallRecord,
    caller::{CallKind, call},
    fault_site::FaultSite,
    load_plan::LoadPlan,
    revision_watch::RevisionWatch,
    verdict::check_always,
};

/// How long requests arrive.
const LENGTH: Duration = Duration::from_secs(3);

/// Requests per second.
const RATE: f64 = 100.0;

/// Times that the crashing request is sent.
const SENDS: usize = 8;

/// The node is replaced before one of these sends, as drawn.
const FIRST_SENDS: usize = 3;

/// Longest pause between two sends.
const MAX_PAUSE_MS: u32 = 300;

/// Backend servers that one request may cost.
const MAX_LOST: u32 = 2;

/// The VM that is replaced: one of those that crashed, or else the first.
fn crashed_vm(site: &FaultSite) -> usize {
    let crashed = site.vms.iter().position(|vm| vm.backend.is_crashed());
    crashed.unwrap_or(0)
}

#[tokio::test]
async fn a_crashing_request_costs_two_backend_servers_at_most() {
    for seed in SEEDS {
        let mut site = FaultSite::start().await;
        let watch = RevisionWatch::start(site.boards());
        let load = LoadPlan::steady(seed, LENGTH, RATE).start(&site.entries);
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let replaced_before = 1 + random.next_u32() as usize % FIRST_SENDS;
        let key = format!("crashing-{seed}");
        let mut crashing = Vec::new();
        for number in 0..SENDS {
            let pause = random.next_u32() % MAX_PAUSE_MS;
            sleep(Duration::from_millis(u64::from(pause))).await;
            if number == replaced_before {
                site.replace_vm(crashed_vm(&site)).await;
            }
            let entries = site.entries.lock().expect("no panic").clone();
            let entry = entries[number % entries.len()];
            let record = call(CallKind::CrashingRead, key.clone(), &[entry]).await;
            crashing.extend(record.ends);
        }
        let mut calls = load.await.expect("no panic");
        calls.push(CallRecord {
            key: key.clone(),
            is_booking: false,
            ends: crashing.clone(),
        });
        let tallies = check_always(&site, seed, &calls).await;
        // Each run of the crashing request ends a backend server.
        let lost: u32 = tallies
            .iter()
            .filter_map(|tally| tally.runs_by_key.get(&key))
            .sum();
        assert!(lost >= 1, "seed {seed}: it never ran: {crashing:?}");
        assert!(
            lost <= MAX_LOST,
            "seed {seed}: {lost} backend servers lost: {crashing:?}"
        );
        watch.check().await;
    }
}
