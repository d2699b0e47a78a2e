//! What must hold at all times.

use fescueway_testkit::BackendTally;
use tokio::time::Instant;

use crate::{
    call_record::{CallRecord, SendEnd},
    fault_site::{FaultSite, PROBE_BUDGET_MS},
};

/// The budget holds over each window of this many seconds.
const PROBE_WINDOW_S: f64 = 5.0;

/// Checks what must hold in every scenario. Returns what the backend servers counted.
pub async fn check_always(site: &FaultSite, seed: u64, calls: &[CallRecord]) -> Vec<BackendTally> {
    let tallies = site.tallies().await;
    for call in calls {
        check_call(seed, call, &tallies);
    }
    check_served(seed, calls);
    check_probes(seed, site.start, &tallies);
    tallies
}

/// Reads and bookings were served, so that the other checks had something to see.
fn check_served(seed: u64, calls: &[CallRecord]) {
    for is_booking in [false, true] {
        let own = calls.iter().filter(|call| call.is_booking == is_booking);
        let ends: Vec<_> = own.filter_map(|call| call.ends.last()).collect();
        let answered = ends.iter().filter(|end| end.is_success()).count();
        let not_run = ends.iter().filter(|end| end.is_not_run()).count();
        let unknown = ends.iter().filter(|end| end.is_unknown()).count();
        let sent = ends.len();
        println!(
            "seed {seed}, bookings {is_booking}: {sent} sent, {answered} answered, \
             {not_run} not run, {unknown} unknown"
        );
        assert!(answered > 0, "seed {seed}, bookings {is_booking}: none");
    }
}

/// Nothing was cut, and no answer was lost.
pub fn check_uncut(seed: u64, calls: &[CallRecord]) {
    for call in calls {
        let is_lost = call.ends.iter().any(SendEnd::is_lost);
        assert!(!is_lost, "seed {seed}: an answer was lost: {call:?}");
    }
}

/// Checks one call: no answer mixed up or short, run at most once, and not when it was told so.
fn check_call(seed: u64, call: &CallRecord, tallies: &[BackendTally]) {
    let is_wrong = call.ends.iter().any(|end| end.is_wrong);
    assert!(!is_wrong, "seed {seed}: a wrong answer: {call:?}");
    let counted = tallies
        .iter()
        .filter_map(|tally| tally.runs_by_key.get(&call.key));
    let runs: u32 = counted.sum();
    if call.is_booking {
        assert!(runs <= 1, "seed {seed}: ran {runs} times: {call:?}");
    }
    if call.ends.iter().all(SendEnd::is_not_run) {
        assert_eq!(runs, 0, "seed {seed}: ran, and told not: {call:?}");
    }
    if call.ends.iter().any(SendEnd::is_success) {
        assert!(runs >= 1, "seed {seed}: answered, and never ran: {call:?}");
    }
}

/// Probes kept to their budget at each backend server.
fn check_probes(seed: u64, start: Instant, tallies: &[BackendTally]) {
    let windows = (start.elapsed().as_secs_f64() / PROBE_WINDOW_S).ceil();
    let allowed_ms = windows * PROBE_WINDOW_S * PROBE_BUDGET_MS;
    for tally in tallies {
        let taken_ms = tally.probe_time.as_secs_f64() * 1_000.0;
        assert!(
            taken_ms <= allowed_ms,
            "seed {seed}: probes took {taken_ms} ms of {allowed_ms}"
        );
    }
}
