//! How long keys are refused after replicas were lost, within the budget of store calls.

use std::collections::BTreeMap;

use fescueway_core::NodeId;
use fescueway_idempotency::{ClaimPurpose, PartitionId};

use crate::{
    fleet::{Fleet, key, service},
    is_run,
};

const SECOND_US: u64 = 1_000_000;

/// A call that gets no answer (1 s), the patience with a silent replica and its spread (3 s), and
/// a call of the store (2 s).
const LONGEST_CLOSURE_US: u64 = 6 * SECOND_US;

/// Time between two sends: 16 partitions get 2.1 keys a second each, as at the target's size.
const SEND_US: u64 = 30_000;

/// Hosts of a service in three failure domains, with 16 partitions that are served.
fn settled(seed: u64, nodes: u64) -> Fleet {
    let mut fleet = Fleet::paced(seed, nodes, 16);
    fleet.run_for(180 * SECOND_US);
    fleet
}

/// Nodes at the places whose failure domain is that of place 0.
fn first_domain(fleet: &Fleet) -> Vec<NodeId> {
    let nodes = fleet.nodes().into_iter();
    nodes.filter(|node| node.0 % 1_000 % 3 == 0).collect()
}

/// Sends new keys for 30 s. Returns how many were refused of how many, and the longest time
/// between the first and the last refusal of a partition.
fn closure(fleet: &mut Fleet) -> (usize, usize, u64) {
    let known = fleet.ends.len();
    for _ in 0..30 * SECOND_US / SEND_US {
        let (host, number) = (fleet.any_node(), fleet.below(1 << 60));
        fleet.send(host, key(number), ClaimPurpose::Run);
        fleet.run_for(SEND_US);
    }
    fleet.run_for(5 * SECOND_US);
    let ends = &fleet.ends[known..];
    let refused: Vec<_> = ends.iter().filter(|end| !is_run(end.verdict)).collect();
    let mut spans: BTreeMap<PartitionId, (u64, u64)> = BTreeMap::new();
    for end in &refused {
        let partition = PartitionId::of_key(&service(), end.key, 16);
        let span = spans
            .entry(partition)
            .or_insert((end.began_at, end.began_at));
        *span = (span.0.min(end.began_at), span.1.max(end.began_at));
    }
    let longest = spans.values().map(|(first, last)| last - first).max();
    (refused.len(), ends.len(), longest.unwrap_or(0))
}

/// Crashes the nodes that `choose` picks, and checks for how long keys are refused.
fn check_closure(seed: u64, choose: impl FnOnce(&mut Fleet) -> Vec<NodeId>) {
    let mut fleet = settled(seed, 9);
    let calls = fleet.store_calls;
    for lost in choose(&mut fleet) {
        fleet.crash(lost);
    }
    let (refused, sent, longest_us) = closure(&mut fleet);
    let calls = fleet.store_calls - calls;
    println!("seed {seed}: {refused} of {sent} refused, {longest_us} us; {calls} store calls");
    assert!(
        longest_us <= LONGEST_CLOSURE_US,
        "seed {seed}: {longest_us} us"
    );
    fleet.check().unwrap();
}

#[test]
fn a_lost_failure_domain_closes_keys_for_seconds() {
    for seed in 1..=5 {
        check_closure(seed, |fleet| first_domain(fleet));
    }
}

#[test]
fn a_lost_node_closes_keys_for_seconds() {
    for seed in 1..=5 {
        check_closure(seed, |fleet| vec![fleet.any_node()]);
    }
}

/// Nodes learn of each other within 2.1 s. A host that knows no other one waits 2 s, the hosts
/// may read the record a second too early, and a call of the store takes up to 2 s.
#[test]
fn a_service_that_starts_takes_keys_within_seconds() {
    for seed in 1..=5 {
        let mut fleet = Fleet::paced(seed, 9, 16);
        let (refused, sent, longest_us) = closure(&mut fleet);
        let calls = fleet.store_calls;
        println!("seed {seed}: {refused} of {sent} refused, {longest_us} us; {calls} store calls");
        assert!(longest_us <= 7 * SECOND_US, "seed {seed}: {longest_us} us");
    }
}

#[test]
fn a_partition_moves_out_of_one_failure_domain() {
    let mut fleet = Fleet::paced(1, 0, 16);
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

/// Each move closes a partition until the new replica serves. Of the 33 keys a second that come
/// while six hosts join two, at most one in a hundred may be refused for it.
#[test]
fn moves_refuse_few_keys() {
    let mut fleet = Fleet::paced(1, 2, 16);
    fleet.run_for(10 * SECOND_US);
    for place in 2..8 {
        fleet.start(place);
    }
    fleet.run_for(10 * SECOND_US);
    let (mut refused, mut sent) = (0, 0);
    for _ in 0..20 {
        let (more_refused, more_sent, _) = closure(&mut fleet);
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

/// The most and the fewest partitions that a host keeps.
fn kept(fleet: &Fleet) -> (usize, usize) {
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
fn hosts_that_join_later_take_their_share() {
    for seed in 1..=3 {
        let mut fleet = Fleet::paced(seed, 2, 16);
        fleet.run_for(10 * SECOND_US);
        assert_eq!(kept(&fleet), (16, 16));
        (2..8).for_each(|place| {
            fleet.start(place);
        });
        fleet.run_for(1_200 * SECOND_US);
        let (most, least) = kept(&fleet);
        let calls = fleet.store_calls;
        println!("seed {seed}: {most} at most, {least} at least, {calls} calls");
        assert!(most <= least + 2, "seed {seed}: {most} and {least}");
        fleet.run_for(600 * SECOND_US);
        assert_eq!(fleet.store_calls, calls, "the moves end");
        fleet.check().unwrap();
    }
}
