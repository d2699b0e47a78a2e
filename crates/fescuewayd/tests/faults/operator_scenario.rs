//! Two operators apply configurations concurrently, and responses of the store are lost.

use std::time::Duration;

use fescueway_rollout::{ApplyOutcome, driver};
use fescueway_testkit::StoreFaults;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    SEEDS,
    fault_site::{DEADLINE_MS, FaultSite, booking_deadline},
    invariants::check_invariants,
    load_plan::LoadPlan,
    revision_watch::RevisionWatch,
};

/// Duration over which requests arrive.
const ARRIVAL_DURATION: Duration = Duration::from_secs(2);

const REQUESTS_PER_S: f64 = 100.0;

/// Number of successive races.
const RACES: u64 = 4;

/// Maximum number of lost store responses in one race.
const MAX_LOST_RESPONSES: u32 = 8;

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Two operators concurrently apply a configuration on top of revision `base`. Returns the deadline
/// in the one that was accepted.
async fn race(site: &FaultSite, seed: u64, base: u64, lost_answers: u32) -> u64 {
    site.store.set_faults(StoreFaults {
        lost_answers,
        ..StoreFaults::default()
    });
    let deadlines = [DEADLINE_MS + 2 * base, DEADLINE_MS + 2 * base + 1];
    let names = deadlines.map(|deadline| format!("operation-{deadline}"));
    let (first, second) = tokio::join!(
        site.apply(&names[0], deadlines[0], Some(base)),
        site.apply(&names[1], deadlines[1], Some(base)),
    );
    site.store.set_faults(StoreFaults::default());
    let outcomes = [first, second];
    let history = driver::read_history(&site.store_client(), u64::MAX, STORE_TIMEOUT).await;
    let heads = history.expect("the store is up");
    assert_eq!(heads[0].revision, base + 1, "seed {seed}: {outcomes:?}");
    let winner = names.iter().position(|name| **name == *heads[0].operation);
    let winner = winner.expect("one of the two won");
    check_outcomes(seed, base, winner, &outcomes);
    let others: Vec<_> = heads[1..].iter().map(|head| &head.operation).collect();
    assert!(
        !others.iter().any(|name| ***name == names[1 - winner]),
        "seed {seed}: both are in the history: {heads:?}"
    );
    deadlines[winner]
}

/// Checks that each operator was told the actual result, or that it is unknown.
fn check_outcomes(seed: u64, base: u64, winner: usize, outcomes: &[ApplyOutcome; 2]) {
    let is_winner_correct = match &outcomes[winner] {
        ApplyOutcome::Accepted(revision) => *revision == base + 1,
        ApplyOutcome::Unknown => true,
        _ => false,
    };
    let is_loser_correct = match &outcomes[1 - winner] {
        ApplyOutcome::Conflict(head) => head.revision == base + 1,
        ApplyOutcome::Unknown | ApplyOutcome::NotApplied => true,
        _ => false,
    };
    assert!(
        is_winner_correct && is_loser_correct,
        "seed {seed}: {outcomes:?}"
    );
}

#[tokio::test]
async fn concurrent_applies_with_lost_store_responses_accept_one_configuration() {
    for seed in SEEDS {
        let site = FaultSite::start().await;
        let watch = RevisionWatch::start(site.boards());
        let load = LoadPlan::steady(seed, ARRIVAL_DURATION, REQUESTS_PER_S).start(&site.entries);
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut deadline_ms = DEADLINE_MS;
        for base in 1..=RACES {
            let lost_answers = 1 + random.next_u32() % MAX_LOST_RESPONSES;
            deadline_ms = race(&site, seed, base, lost_answers).await;
        }
        site.wait_until_in_force(RACES + 1).await;
        let expected = Duration::from_millis(deadline_ms);
        for daemon in site.daemons() {
            assert_eq!(booking_deadline(daemon), expected, "seed {seed}");
        }
        let calls = load.await.expect("the task doesn't panic");
        check_invariants(&site, seed, &calls).await;
        watch.check().await;
    }
}
