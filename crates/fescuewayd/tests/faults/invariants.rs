//! Invariants that hold in every scenario.

use fescueway_testkit::BackendTally;
use tokio::time::Instant;

use crate::{
    call_record::{CallRecord, SendResult},
    fault_site::{FaultSite, PROBE_BUDGET_MS_PER_S},
};

/// Window over which the probe budget holds, in seconds.
const PROBE_WINDOW_S: f64 = 5.0;

/// Checks the invariants of every scenario. Returns the tallies of the backend servers.
pub async fn check_invariants(
    site: &FaultSite,
    seed: u64,
    calls: &[CallRecord],
) -> Vec<BackendTally> {
    let tallies = site.tallies().await;
    for call in calls {
        check_call(seed, call, &tallies);
    }
    check_served(seed, calls);
    check_probes(seed, site.start, &tallies);
    tallies
}

/// Checks that reads and bookings were served, without which the other checks prove nothing.
fn check_served(seed: u64, calls: &[CallRecord]) {
    for is_booking in [false, true] {
        let same_kind = calls.iter().filter(|call| call.is_booking == is_booking);
        let results: Vec<_> = same_kind.filter_map(|call| call.results.last()).collect();
        let answered = results.iter().filter(|result| result.is_success()).count();
        let not_run = results.iter().filter(|result| result.is_not_run()).count();
        let unknown = results.iter().filter(|result| result.is_unknown()).count();
        let sent = results.len();
        println!(
            "seed {seed}, bookings {is_booking}: {sent} sent, {answered} answered, \
             {not_run} not run, {unknown} unknown"
        );
        assert!(answered > 0, "seed {seed}, bookings {is_booking}: none");
    }
}

/// Checks that no response was interrupted or lost.
pub fn check_no_response_lost(seed: u64, calls: &[CallRecord]) {
    for call in calls {
        let is_response_lost = call.results.iter().any(SendResult::is_response_lost);
        assert!(
            !is_response_lost,
            "seed {seed}: a response was lost: {call:?}"
        );
    }
}

/// Checks one call: no mismatched or short response, at most one run of a booking, no run of a
/// request that was only reported as not run, and at least one run of a successful request.
fn check_call(seed: u64, call: &CallRecord, tallies: &[BackendTally]) {
    let is_mismatched = call.results.iter().any(|result| result.is_mismatched);
    assert!(
        !is_mismatched,
        "seed {seed}: a mismatched response: {call:?}"
    );
    let run_counts = tallies
        .iter()
        .filter_map(|tally| tally.runs_by_key.get(&call.key));
    let runs: u32 = run_counts.sum();
    if call.is_booking {
        assert!(runs <= 1, "seed {seed}: ran {runs} times: {call:?}");
    }
    if call.results.iter().all(SendResult::is_not_run) {
        assert_eq!(
            runs, 0,
            "seed {seed}: ran, but reported as not run: {call:?}"
        );
    }
    if call.results.iter().any(SendResult::is_success) {
        assert!(runs >= 1, "seed {seed}: answered, but never ran: {call:?}");
    }
}

/// Checks that probes stayed within their budget at each backend server.
fn check_probes(seed: u64, start: Instant, tallies: &[BackendTally]) {
    let windows = (start.elapsed().as_secs_f64() / PROBE_WINDOW_S).ceil();
    let allowed_ms = windows * PROBE_WINDOW_S * PROBE_BUDGET_MS_PER_S;
    for tally in tallies {
        let used_ms = tally.probe_time.as_secs_f64() * 1_000.0;
        assert!(
            used_ms <= allowed_ms,
            "seed {seed}: probes took {used_ms} ms of {allowed_ms}"
        );
    }
}
