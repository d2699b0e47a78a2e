//! How long claims are refused after replicas are lost, with a limited budget of store calls.

use std::collections::BTreeMap;

use fescueway_core::NodeId;
use fescueway_idempotency::{ClaimPurpose, PartitionId};

use crate::{
    fleet::{Fleet, key, service},
    is_run,
};

const SECOND_US: u64 = 1_000_000;

/// A call without a reply (1 s), the replica timeout with the takeover spread (3 s), and a store
/// call (2 s).
const MAX_UNAVAILABLE_US: u64 = 6 * SECOND_US;

/// Interval between two requests: each of 16 partitions gets 2.1 keys a second, as in a fleet of
/// the target size.
const SEND_INTERVAL_US: u64 = 30_000;

/// A fleet in three failure domains whose 16 partitions are served.
fn serving_fleet(seed: u64, nodes: u64) -> Fleet {
    let mut fleet = Fleet::with_store_budget(seed, nodes, 16);
    fleet.run_for(180 * SECOND_US);
    fleet
}

/// Nodes in the failure domain of place 0.
fn nodes_in_first_domain(fleet: &Fleet) -> Vec<NodeId> {
    let nodes = fleet.nodes().into_iter();
    nodes.filter(|node| node.0 % 1_000 % 3 == 0).collect()
}

/// Sends requests with new keys for 30 s. Returns how many were refused, how many were sent, and
/// the longest time in microseconds between the first and the last refusal of a partition.
fn measure_unavailability(fleet: &mut Fleet) -> (usize, usize, u64) {
    let known = fleet.results.len();
    for _ in 0..30 * SECOND_US / SEND_INTERVAL_US {
        let (host, number) = (fleet.random_node(), fleet.random_below(1 << 60));
        fleet.send(host, key(number), ClaimPurpose::Run);
        fleet.run_for(SEND_INTERVAL_US);
    }
    fleet.run_for(5 * SECOND_US);
    let results = &fleet.results[known..];
    let refused: Vec<_> = results.iter().filter(|end| !is_run(end.verdict)).collect();
    let mut spans: BTreeMap<PartitionId, (u64, u64)> = BTreeMap::new();
    for end in &refused {
        let partition = PartitionId::of_key(&service(), end.key, 16);
        let span = spans
            .entry(partition)
            .or_insert((end.started_at, end.started_at));
        *span = (span.0.min(end.started_at), span.1.max(end.started_at));
    }
    let longest = spans.values().map(|(first, last)| last - first).max();
    (refused.len(), results.len(), longest.unwrap_or(0))
}

/// Crashes the nodes that `choose` returns, and checks for how long claims are refused.
fn check_unavailability(seed: u64, choose: impl FnOnce(&mut Fleet) -> Vec<NodeId>) {
    let mut fleet = serving_fleet(seed, 9);
    let calls = fleet.store_calls;
    for lost in choose(&mut fleet) {
        fleet.crash(lost);
    }
    let (refused, sent, longest_us) = measure_unavailability(&mut fleet);
    let calls = fleet.store_calls - calls;
    println!("seed {seed}: {refused} of {sent} refused, {longest_us} us; {calls} store calls");
    assert!(
        longest_us <= MAX_UNAVAILABLE_US,
        "seed {seed}: {longest_us} us"
    );
    fleet.check().unwrap();
}

#[test]
fn a_lost_failure_domain_makes_keys_unavailable_for_seconds() {
    for seed in 1..=5 {
        check_unavailability(seed, |fleet| nodes_in_first_domain(fleet));
    }
}

#[test]
fn a_lost_node_makes_keys_unavailable_for_seconds() {
    for seed in 1..=5 {
        check_unavailability(seed, |fleet| vec![fleet.random_node()]);
    }
}

/// Nodes discover each other within 2.1 s. A host that knows no other host waits 2 s, a read of the
/// record may come a second too early, and a store call takes up to 2 s.
#[test]
fn a_service_that_starts_grants_keys_within_seconds() {
    for seed in 1..=5 {
        let mut fleet = Fleet::with_store_budget(seed, 9, 16);
        let (refused, sent, longest_us) = measure_unavailability(&mut fleet);
        let calls = fleet.store_calls;
        println!("seed {seed}: {refused} of {sent} refused, {longest_us} us; {calls} store calls");
        assert!(longest_us <= 7 * SECOND_US, "seed {seed}: {longest_us} us");
    }
}

#[test]
fn a_partition_moves_out_of_one_failure_domain() {
    let mut fleet = Fleet::with_store_budget(1, 0, 16);
    // Places 0 and 3 are in the same failure domain, and place 1 is not.
    for place in [0, 3] {
        fleet.start(place);
    }
    fleet.run_for(10 * SECOND_US);
    fleet.start(1);
    fleet.run_for(1_200 * SECOND_US);
    let is_apart = |index| {
        let record = fleet.record_at(index);
        let backup = record.backup.as_ref();
        backup.is_some_and(|backup| backup.domain != record.primary.domain)
    };
    assert!((0..16).all(is_apart));
}

/// Each move makes a partition unavailable until the new replica serves. Of the 33 keys a second
/// sent while six hosts join two, at most one in a hundred may be refused.
#[test]
fn rebalancing_refuses_few_keys() {
    let mut fleet = Fleet::with_store_budget(1, 2, 16);
    fleet.run_for(10 * SECOND_US);
    for place in 2..8 {
        fleet.start(place);
    }
    fleet.run_for(10 * SECOND_US);
    let (mut refused, mut sent) = (0, 0);
    for _ in 0..20 {
        let (more_refused, more_sent, _) = measure_unavailability(&mut fleet);
        refused += more_refused;
        sent += more_sent;
    }
    println!(
        "{refused} of {sent} refused, {} store calls",
        fleet.store_calls
    );
    assert!(refused * 100 <= sent, "{refused} of {sent}");
    fleet.check().unwrap();
}

/// The highest and the lowest number of partitions assigned to one host.
fn replica_count_range(fleet: &Fleet) -> (usize, usize) {
    let nodes = fleet.nodes();
    let count = |node: &NodeId| {
        let records = (0..16).map(|index| fleet.record_at(index));
        records.filter(|record| record.has_replica(*node)).count()
    };
    let counts: Vec<_> = nodes.iter().map(count).collect();
    let most = counts.iter().max().copied().unwrap_or(0);
    (most, counts.iter().min().copied().unwrap_or(0))
}

#[test]
fn hosts_that_join_later_get_their_share_of_partitions() {
    for seed in 1..=3 {
        let mut fleet = Fleet::with_store_budget(seed, 2, 16);
        fleet.run_for(10 * SECOND_US);
        assert_eq!(replica_count_range(&fleet), (16, 16));
        (2..8).for_each(|place| {
            fleet.start(place);
        });
        fleet.run_for(1_200 * SECOND_US);
        let (most, least) = replica_count_range(&fleet);
        let calls = fleet.store_calls;
        println!("seed {seed}: {most} at most, {least} at least, {calls} calls");
        assert!(most <= least + 2, "seed {seed}: {most} and {least}");
        fleet.run_for(600 * SECOND_US);
        assert_eq!(fleet.store_calls, calls, "the moves end");
        fleet.check().unwrap();
    }
}
