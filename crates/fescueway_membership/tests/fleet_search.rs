//! When a starting node knows its fleet.

use std::time::Duration;

use fescueway_core::MonoTime;
use fescueway_membership::{FleetKnowledge, FleetSearch};

fn at_ms(millis: u64) -> MonoTime {
    MonoTime::ZERO + Duration::from_millis(millis)
}

/// Guards against an owner of all accounts at a node that could ask nobody: review/7.
#[test]
fn failed_reads_prove_nothing_however_long_they_go_on() {
    let mut search = FleetSearch::default();
    for _ in 0..1_000 {
        search.record_failure();
        assert_eq!(search.knowledge(), FleetKnowledge::Unknown);
    }
}

/// Guards against an empty list right after an outage, when the addresses of running nodes have lapsed.
#[test]
fn empty_list_proves_that_there_are_no_others_only_once_the_store_has_answered_for_a_while() {
    let mut search = FleetSearch::default();
    search.record_failure();
    for second in 10..15 {
        search.record_list(at_ms(second * 1_000), true);
        assert_eq!(search.knowledge(), FleetKnowledge::Unknown, "{second} s");
    }
    search.record_list(at_ms(15_000), true);
    assert_eq!(search.knowledge(), FleetKnowledge::Known);
}

#[test]
fn failure_or_unknown_address_starts_that_time_anew() {
    for is_failure in [true, false] {
        let mut search = FleetSearch::default();
        search.record_list(at_ms(1_000), true);
        if is_failure {
            search.record_failure();
        } else {
            search.record_list(at_ms(4_000), false);
        }
        search.record_list(at_ms(5_000), true);
        search.record_list(at_ms(9_000), true);
        assert_ne!(search.knowledge(), FleetKnowledge::Known);
        search.record_list(at_ms(10_000), true);
        assert_eq!(search.knowledge(), FleetKnowledge::Known);
    }
}

/// Guards against two halves of a fleet that start while the store is away, and take each other for all.
#[test]
fn nodes_that_could_not_ask_prove_nothing_to_each_other() {
    let mut search = FleetSearch::default();
    for step in 0..40 {
        search.record_peers(at_ms(step * 250), &[FleetKnowledge::Unknown]);
        assert_eq!(search.knowledge(), FleetKnowledge::Unknown);
    }
    // They doubt also what one says that has not noticed anything.
    let peers = [FleetKnowledge::Unknown, FleetKnowledge::Searching];
    search.record_peers(at_ms(20_000), &peers);
    search.record_peers(at_ms(30_000), &peers);
    assert_eq!(search.knowledge(), FleetKnowledge::Unknown);
}

#[test]
fn node_knows_the_fleet_a_second_after_it_met_one_that_does() {
    let mut search = FleetSearch::default();
    search.record_failure();
    let peers = [FleetKnowledge::Unknown, FleetKnowledge::Known];
    search.record_peers(at_ms(4_000), &peers);
    search.record_peers(at_ms(4_900), &[]);
    assert_eq!(search.knowledge(), FleetKnowledge::Unknown);
    search.record_peers(at_ms(5_000), &peers);
    assert_eq!(search.knowledge(), FleetKnowledge::Known);
    search.record_failure();
    assert_eq!(search.knowledge(), FleetKnowledge::Known, "for good");
}

/// Guards against a longer time without owners after a start of the whole fleet, or beside nodes of earlier
/// versions, which answer nothing.
#[test]
fn nodes_of_a_first_start_know_the_fleet_a_second_after_they_met() {
    for peers in [&[FleetKnowledge::Searching; 3][..], &[]] {
        let mut search = FleetSearch::default();
        search.record_peers(at_ms(400), peers);
        assert_eq!(search.knowledge(), FleetKnowledge::Searching);
        search.record_peers(at_ms(1_400), peers);
        assert_eq!(search.knowledge(), FleetKnowledge::Known);
    }
}
