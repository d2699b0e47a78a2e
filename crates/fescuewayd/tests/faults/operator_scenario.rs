//! Two operators race, and the store's answers get lost.

use std::time::Duration;

use fescueway_rollout::{ApplyOutcome, driver};
use fescueway_testkit::StoreFaults;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    SEEDS,
    fault_site::{DEADLINE_MS, FaultSite, booking_deadline},
    load_plan::LoadPlan,
    revision_watch::RevisionWatch,
    verdict::check_always,
};

/// How long requests arrive.
const LENGTH: Duration = Duration::from_secs(2);

/// Requests per second.
const RATE: f64 = 100.0;

/// Races, one after the other.
const RACES: u64 = 4;

/// Answers that get lost in one race at most.
const MAX_LOST: u32 = 8;

/// Time of a call to the store.
const CALL_TIME: Duration = Duration::from_secs(5);

/// Two operators start from `base`. Returns the deadline that is in force after it.
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
    let told = [first, second];
    let history = driver::read_history(&site.store_client(), u64::MAX, CALL_TIME).await;
    let heads = history.expect("the store is up");
    assert_eq!(heads[0].revision, base + 1, "seed {seed}: {told:?}");
    let winner = names.iter().position(|name| **name == *heads[0].operation);
    let winner = winner.expect("one of the two won");
    check_told(seed, base, winner, &told);
    let others: Vec<_> = heads[1..].iter().map(|head| &head.operation).collect();
    assert!(
        !others.iter().any(|name| ***name == names[1 - winner]),
        "seed {seed}: both are in the history: {heads:?}"
    );
    deadlines[winner]
}

/// Each operator was told the truth, or that it could not be found out.
fn check_told(seed: u64, base: u64, winner: usize, told: &[ApplyOutcome; 2]) {
    let is_winner_true = match &told[winner] {
        ApplyOutcome::Accepted(revision) => *revision == base + 1,
        ApplyOutcome::Unknown => true,
        _ => false,
    };
    let is_loser_true = match &told[1 - winner] {
        ApplyOutcome::Conflict(head) => head.revision == base + 1,
        ApplyOutcome::Unknown | ApplyOutcome::NotApplied => true,
        _ => false,
    };
    assert!(is_winner_true && is_loser_true, "seed {seed}: {told:?}");
}

#[tokio::test]
async fn two_operators_and_lost_answers_leave_one_configuration() {
    for seed in SEEDS {
        let site = FaultSite::start().await;
        let watch = RevisionWatch::start(site.boards());
        let load = LoadPlan::steady(seed, LENGTH, RATE).start(&site.entries);
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut deadline_ms = DEADLINE_MS;
        for base in 1..=RACES {
            let lost_answers = 1 + random.next_u32() % MAX_LOST;
            deadline_ms = race(&site, seed, base, lost_answers).await;
        }
        site.wait_until_in_force(RACES + 1).await;
        let expected = Duration::from_millis(deadline_ms);
        for daemon in site.daemons() {
            assert_eq!(booking_deadline(daemon), expected, "seed {seed}");
        }
        let calls = load.await.expect("no panic");
        check_always(&site, seed, &calls).await;
        watch.check().await;
    }
}
