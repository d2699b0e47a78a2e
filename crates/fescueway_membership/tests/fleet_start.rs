//! A fleet of hundreds of members that starts at once: all join through each other, and their
//! targets are announced while they do.

use std::time::Duration;

use fescueway_core::{ConfigMark, MonoTime, TargetState};
use fescueway_membership::MemberEvent;
use fescueway_testkit::member_network::{MemberNetwork, address_of};

/// Members of the fleet.
const MEMBERS: usize = 295;

/// Time from the first start to the last.
const START_SPAN: Duration = Duration::from_millis(300);

/// Members that have started but can't be read as seeds yet.
const STARTING: usize = 20;

/// Seeds that a member reads at most.
const MAX_SEEDS: usize = 256;

/// Time within which a change of a target has to be known.
const KNOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after [`KNOWN_TIMEOUT`] within which all views have to agree: a fleet that started at once
/// has to serve as before after 15 s.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(13);

/// Share of the targets that members have to know after [`KNOWN_TIMEOUT`].
const MIN_KNOWN_SHARE: f64 = 0.95;

/// Members that read a new configuration from the store.
const WATCHERS: usize = 10;

/// Time that a member needs to fetch a configuration from another one.
const FETCH_TIME: Duration = Duration::from_millis(100);

/// Time within which all members must have a new configuration: half of what its operators allow.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts all members. Each reads the addresses of those that started before it.
fn start_fleet(seed: u64) -> MemberNetwork {
    let mut network = MemberNetwork::new(seed);
    for index in 0..MEMBERS {
        let readable = index.saturating_sub(STARTING).min(MAX_SEEDS);
        let seeds = (0..readable).map(address_of).collect();
        network.start_silent(address_of(index), seeds);
        network.run_for(START_SPAN / MEMBERS as u32);
    }
    // The first members read again, once the addresses of others are there.
    for index in 0..STARTING {
        network.add_seeds(index, (0..STARTING).map(address_of).collect());
    }
    network
}

/// Announces the targets of all members within `span`.
fn announce_targets(network: &mut MemberNetwork, span: Duration) {
    for index in 0..MEMBERS {
        network.announce_target(index, TargetState::Serving);
        network.run_for(span / MEMBERS as u32);
    }
}

/// Mean share of the other members' targets that the members know.
fn known_share(network: &MemberNetwork) -> f64 {
    let known: usize = network
        .members
        .iter()
        .map(|member| member.targets.len())
        .sum();
    known as f64 / (MEMBERS * (MEMBERS - 1)) as f64
}

/// Checks how soon the targets are known that are announced within `span`.
fn check_announcements(seed: u64, span: Duration) {
    let mut network = start_fleet(seed);
    announce_targets(&mut network, span);
    network.run_for(KNOWN_TIMEOUT);
    let share = known_share(&network);
    assert!(
        share >= MIN_KNOWN_SHARE,
        "seed {seed}: members know {share:.3} of the targets {KNOWN_TIMEOUT:?} after the last was announced"
    );
    let is_agreed = network.run_until(AGREEMENT_TIMEOUT, MemberNetwork::is_converged);
    assert!(
        is_agreed,
        "seed {seed}: views do not agree within {AGREEMENT_TIMEOUT:?} after that"
    );
}

#[test]
fn targets_that_report_to_their_nodes_during_a_start_of_all_are_known() {
    for seed in 1..=3 {
        check_announcements(seed, Duration::from_millis(2_500));
    }
}

#[test]
fn targets_that_are_found_at_a_start_of_all_are_known() {
    for seed in 1..=3 {
        check_announcements(seed, Duration::from_millis(300));
    }
}

/// Lets the watchers have a new configuration. Returns the number of members that have it after
/// [`IN_FORCE_TIMEOUT`].
fn spread_mark(network: &mut MemberNetwork) -> usize {
    let mark = ConfigMark {
        revision: 1,
        ..ConfigMark::default()
    };
    let start = network.now();
    let mut fetched_at = vec![None; MEMBERS];
    fetched_at[..WATCHERS].fill(Some(start));
    let mut in_force = 0;
    while network.now().since(start) < IN_FORCE_TIMEOUT {
        for (index, fetched_at) in fetched_at.iter_mut().enumerate() {
            let is_known = network.members[index].newest_mark.1.revision >= mark.revision;
            if is_known && fetched_at.is_none() {
                *fetched_at = Some(network.now() + FETCH_TIME);
            }
            if fetched_at.is_some_and(|at| at <= network.now()) {
                *fetched_at = Some(MonoTime::NEVER);
                in_force += 1;
                network.handle(index, MemberEvent::Mark(mark));
            }
        }
        network.run_for(Duration::from_millis(10));
    }
    in_force
}

#[test]
fn a_configuration_spreads_while_the_news_of_a_start_is_still_spreading() {
    for seed in 1..=3 {
        let mut network = start_fleet(seed);
        announce_targets(&mut network, Duration::from_millis(2_500));
        let in_force = spread_mark(&mut network);
        assert_eq!(
            in_force, MEMBERS,
            "seed {seed}: members with the configuration after {IN_FORCE_TIMEOUT:?}"
        );
    }
}
