//! Failure scenarios on a lossy network under virtual time.

use std::time::Duration;

use fescueway_core::TargetState;
use fescueway_membership::{DownCause, MemberEvent, MemberStatus};
use fescueway_testkit::member_network::{DOMAINS, MemberNetwork, REGIONS, address_of};

/// Time within which all members must know of a crash.
const CRASH_TIMEOUT: Duration = Duration::from_secs(15);

/// Time within which all entry nodes must know of a drain.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

const fn domain_of(index: usize) -> usize {
    index % DOMAINS
}

const fn region_of(index: usize) -> usize {
    domain_of(index) % REGIONS
}

#[test]
fn a_crash_is_known_everywhere_and_no_other_member_goes_down() {
    let mut network = MemberNetwork::converged(1, 120);
    let crashed = network.members[50].node;
    network.crash(50);
    let is_known = network.run_until(CRASH_TIMEOUT, MemberNetwork::is_converged);
    assert!(
        is_known,
        "{} members still hold it",
        network.holders_of(crashed)
    );
    for index in network.running() {
        let down_events = &network.members[index].down_events;
        assert!(down_events.iter().all(|(_, node, _)| *node == crashed));
    }
}

#[test]
fn a_leave_is_known_everywhere_within_two_seconds() {
    let mut network = MemberNetwork::converged(2, 120);
    let leaver = network.members[7].node;
    network.leave(7);
    assert!(network.run_until(DRAIN_TIMEOUT, MemberNetwork::is_converged));
    for index in network.running() {
        let last = network.members[index].down_events.last();
        assert!(last.is_some_and(|down| (down.1, down.2) == (leaver, DownCause::Left)));
    }
}

#[test]
fn a_drain_is_known_everywhere_within_two_seconds() {
    for seed in [3, 31, 32, 33] {
        let mut network = MemberNetwork::converged(seed, 300);
        let drained = network.members[9].node;
        network.announce_target(9, TargetState::Draining);
        let is_known = |network: &MemberNetwork| {
            network.running().all(|index| {
                let targets = network.members[index].targets.values();
                let mut drained_targets = targets.filter(|target| target.node == drained);
                index == 9 || drained_targets.all(|target| target.state == TargetState::Draining)
            })
        };
        assert!(network.run_until(DRAIN_TIMEOUT, is_known), "seed {seed}");
    }
}

/// The number of `callers` that don't yet hold `drained` as draining.
fn unaware_callers(network: &MemberNetwork, drained: usize, callers: &[usize]) -> usize {
    let node = network.members[drained].node;
    let holds_serving = |index: &&usize| {
        let mut targets = network.members[**index].targets.values();
        targets.any(|target| target.node == node && target.state != TargetState::Draining)
    };
    callers.iter().filter(holds_serving).count()
}

#[test]
fn a_drain_is_delivered_to_recent_callers_within_two_seconds_at_20_percent_loss() {
    for seed in [51, 52] {
        let mut network = MemberNetwork::converged(seed, 200);
        network.loss = 0.2;
        // At this loss rate gossip is also busy with suspicions and refutations.
        network.run_for(Duration::from_secs(10));
        for drained in 10..30 {
            let callers: Vec<_> = (0..200).filter(|index| index % 20 < 5).collect();
            let nodes = callers.iter().map(|index| network.members[*index].node);
            let event = MemberEvent::DeliverRecord(nodes.collect());
            network.announce_target(drained, TargetState::Draining);
            network.handle(drained, event);
            network.run_for(DRAIN_TIMEOUT);
            let unaware_callers = unaware_callers(&network, drained, &callers);
            assert_eq!(unaware_callers, 0, "seed {seed}, member {drained}");
            assert!(network.members[drained].list.is_record_delivery_done());
        }
    }
}

#[test]
fn a_leaving_member_delivers_its_record_to_recent_callers() {
    let mut network = MemberNetwork::converged(57, 60);
    network.loss = 0.2;
    let callers: Vec<_> = (20..50).map(|index| network.members[index].node).collect();
    let leaver = network.members[7].node;
    network.handle(7, MemberEvent::Leave);
    network.handle(7, MemberEvent::DeliverRecord(callers));
    let is_delivered = |network: &MemberNetwork| network.members[7].list.is_record_delivery_done();
    assert!(network.run_until(DRAIN_TIMEOUT, is_delivered));
    for index in 20..50 {
        let targets = &network.members[index].targets;
        assert!(!targets.keys().any(|(node, _)| *node == leaver));
    }
}

#[test]
fn a_resumed_member_rejoins_without_restoring_members_that_left() {
    let mut network = MemberNetwork::converged(4, 60);
    network.pause(20);
    network.run_for(Duration::from_secs(5));
    let left = network.members[30].node;
    network.leave(30);
    network.run_for(Duration::from_mins(1));
    let paused = network.members[20].node;
    assert_eq!(
        network.holders_of(paused),
        0,
        "the paused member is still held as live"
    );
    network.resume(20);
    assert!(network.run_until(Duration::from_secs(20), MemberNetwork::is_converged));
    let holds_left_member = |index: usize| {
        let targets = &network.members[index].targets;
        targets.keys().any(|(node, _)| *node == left)
    };
    assert!(!network.running().any(holds_left_member));
}

#[test]
fn timeouts_that_expired_during_a_pause_raise_no_suspicion() {
    let mut network = MemberNetwork::converged(41, 20);
    // Slow enough that a ping is in flight about a third of the time.
    network.delay_us = (100_000, 200_000);
    network.run_for(Duration::from_secs(10));
    for index in 4..14 {
        // The neighbour is suspected when the member is paused, and refutes that during the pause.
        let neighbour = index + 5;
        let node = network.members[neighbour].node;
        network.pause(neighbour);
        let is_suspect = |network: &MemberNetwork| {
            let state = network.members[index].list.member(node);
            state.is_some_and(|state| state.status == MemberStatus::Suspect)
        };
        assert!(network.run_until(Duration::from_secs(20), is_suspect));
        network.pause(index);
        network.resume(neighbour);
        network.run_for(Duration::from_secs(20));
        let before = network.members[index].list.counts().suspicions;
        network.resume(index);
        let member = &network.members[index];
        assert!(!member.down_events.iter().any(|(_, down, _)| *down == node));
        assert_eq!(member.list.counts().suspicions, before);
        network.run_for(Duration::from_secs(30));
    }
}

#[test]
fn a_member_paused_for_hours_discards_its_view() {
    let mut network = MemberNetwork::converged(5, 12);
    network.pause(8);
    let left = network.members[10].node;
    // Rumors about member 10 fill the paused member's socket buffer.
    network.announce_target(10, TargetState::Draining);
    network.run_for(Duration::from_secs(10));
    network.leave(10);
    network.run_for(Duration::from_hours(2));
    assert!(
        network.members[0].list.member(left).is_none(),
        "its tombstone has not expired"
    );
    network.resume(8);
    for _check in 0..200 {
        network.run_for(Duration::from_millis(100));
        let held = network.running().filter(|index| {
            let targets = &network.members[*index].targets;
            targets.keys().any(|(node, _)| *node == left)
        });
        assert_eq!(held.count(), 0, "a member that left is held as live");
    }
    assert!(network.is_converged());
}

#[test]
fn views_agree_after_a_failure_domain_was_partitioned() {
    let mut network = MemberNetwork::converged(6, 170);
    network.partition(|index| usize::from(domain_of(index) == 3));
    network.run_for(Duration::from_mins(2));
    let cut_off = network.members[3].node;
    assert_eq!(
        network.holders_of(cut_off),
        9,
        "its own domain still holds it"
    );
    network.heal();
    assert!(network.run_until(Duration::from_secs(30), MemberNetwork::is_converged));
}

#[test]
fn views_agree_after_regions_were_partitioned() {
    let mut network = MemberNetwork::converged(7, 100);
    network.partition(region_of);
    network.run_for(Duration::from_mins(5));
    let targets_in_region = network.members[0].targets.len();
    assert_eq!(
        targets_in_region,
        network
            .running()
            .filter(|index| region_of(*index) == 0)
            .count()
            - 1
    );
    network.heal();
    assert!(network.run_until(Duration::from_mins(1), MemberNetwork::is_converged));
}

/// Restarts a rack at once: twenty members on the addresses of their predecessors.
fn restart_rack(seed: u64) {
    let mut network = MemberNetwork::converged(seed, 150);
    let rack: Vec<_> = (60..80).collect();
    for index in &rack {
        network.crash(*index);
    }
    for index in &rack {
        network.start_at(address_of(*index));
    }
    let is_converged = network.run_until(Duration::from_secs(30), MemberNetwork::is_converged);
    assert!(is_converged, "seed {seed}: views do not agree within 30 s");
    let down_events = &network.members[0].down_events;
    for index in rack {
        let predecessor = network.members[index].node;
        assert!(down_events.iter().any(|(_, node, _)| *node == predecessor));
    }
}

#[test]
fn a_rack_that_restarts_at_once_replaces_its_predecessors() {
    for seed in 1..=20 {
        restart_rack(seed);
    }
}

#[test]
fn a_replacement_on_the_same_address_removes_its_predecessor_before_any_timeout() {
    let mut network = MemberNetwork::converged(9, 60);
    let old = network.members[40].node;
    network.crash(40);
    network.start_at(address_of(40));
    network.run_for(Duration::from_millis(500));
    assert_eq!(network.holders_of(old), 0);
    assert!(network.run_until(Duration::from_secs(3), MemberNetwork::is_converged));
}

#[test]
fn one_reachable_seed_is_enough_to_join() {
    let mut network = MemberNetwork::converged(10, 100);
    let joiner = network.start_with(address_of(500), vec![address_of(77)]);
    let is_joined = |network: &MemberNetwork| {
        let member = &network.members[joiner];
        member.list.is_joined() && member.targets.len() == 100
    };
    assert!(network.run_until(Duration::from_secs(3), is_joined));
    assert!(network.run_until(Duration::from_secs(3), MemberNetwork::is_converged));
}

#[test]
fn two_members_that_joined_only_each_other_find_the_fleet_within_two_seconds() {
    for seed in 1..=20 {
        let mut network = MemberNetwork::new(seed);
        let all: Vec<_> = (0..16).map(address_of).collect();
        for address in &all[..2] {
            network.start_with(*address, all.clone());
        }
        // The first two have joined each other by the time the others start, who have only each
        // other as seeds.
        network.run_for(Duration::from_millis(60));
        for address in &all[2..] {
            network.start_with(*address, all[2..].to_vec());
        }
        let is_converged = network.run_until(Duration::from_secs(2), MemberNetwork::is_converged);
        assert!(is_converged, "seed {seed}");
    }
}

#[test]
fn loss_of_10_or_20_percent_brings_no_member_down() {
    let mut suspicions = 0;
    for (seed, loss) in [(11, 0.1), (11, 0.2), (12, 0.2)] {
        let mut network = MemberNetwork::converged(seed, 60);
        network.loss = loss;
        network.run_for(Duration::from_mins(10));
        for member in &network.members {
            suspicions += member.list.counts().suspicions;
            assert!(
                member.down_events.is_empty(),
                "{seed}: {:?}",
                member.down_events
            );
            let statuses = member.list.members().map(|(_, state)| state.status);
            assert!(
                statuses
                    .into_iter()
                    .all(|status| status != MemberStatus::Down)
            );
        }
    }
    assert!(suspicions > 0, "the loss caused no suspicion");
}

#[test]
fn a_note_reaches_only_its_receiver() {
    let mut network = MemberNetwork::converged(12, 20);
    network.loss = 0.0;
    let to = network.members[5].node;
    let body = b"in force".to_vec();
    network.handle(
        2,
        MemberEvent::Note {
            to,
            body: body.clone(),
        },
    );
    network.run_for(Duration::from_millis(10));
    let from = network.members[2].node;
    assert_eq!(network.members[5].notes, [(from, body)]);
}
