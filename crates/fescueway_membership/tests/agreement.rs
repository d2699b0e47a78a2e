//! Properties over random fleets, faults and networks.

use std::time::Duration;

use fescueway_testkit::member_network::{MemberNetwork, MemberRun};
use quickcheck::{Gen, QuickCheck};

/// Periods within which a member that is up must be held to be up again by all that can hear it.
const PERIODS: Duration = Duration::from_mins(1);

/// What happens to a network, a step every few seconds.
fn disturb(network: &mut MemberNetwork, steps: &[(u8, u8)]) {
    for (kind, which) in steps {
        let index = usize::from(*which) % network.members.len();
        match kind % 7 {
            0 => network.crash(index),
            1 => network.leave_if_running(index),
            2 => network.pause_if_running(index),
            3 => network.resume_if_paused(index),
            4 => network.cut(|member| member % usize::from(which % 3 + 1)),
            5 => network.heal(),
            _ => {
                network.start();
            }
        }
        network.run_for(Duration::from_secs(u64::from(which % 8)));
    }
}

fn agrees_after(seed: u64, steps: &[(u8, u8)]) -> bool {
    let mut network = MemberNetwork::settled(seed, 24);
    network.loss = 0.05;
    disturb(&mut network, steps);
    network.heal();
    for index in 0..network.members.len() {
        network.resume_if_paused(index);
    }
    if network.running().next().is_none() {
        return true;
    }
    network.run_until(PERIODS, MemberNetwork::is_agreed)
}

#[test]
fn views_agree_after_any_disturbance() {
    fn property(seed: u64, steps: Vec<(u8, u8)>) -> bool {
        // The three members that are everybody's seeds stay, or a start has nowhere to go.
        let spared = steps.into_iter().map(|(kind, which)| (kind, which.max(3)));
        agrees_after(seed, &spared.collect::<Vec<_>>())
    }
    QuickCheck::new()
        .rng(Gen::new(12))
        .tests(25)
        .quickcheck(property as fn(u64, Vec<(u8, u8)>) -> bool);
}

#[test]
fn a_member_that_is_up_is_not_held_down_for_long() {
    fn property(seed: u64, pauses: Vec<u8>) -> bool {
        let mut network = MemberNetwork::settled(seed, 24);
        network.loss = 0.05;
        for pause in pauses {
            let index = usize::from(pause) % 24;
            network.pause(index);
            network.run_for(Duration::from_secs(u64::from(pause % 30)));
            network.resume(index);
            let node = network.members[index].node;
            let others = network.running().count() - 1;
            let is_held = |network: &MemberNetwork| network.holders_of(node) == others;
            if !network.run_until(PERIODS, is_held) {
                return false;
            }
        }
        network
            .members
            .iter()
            .all(|member| member.run == MemberRun::Running)
    }
    QuickCheck::new()
        .rng(Gen::new(6))
        .tests(25)
        .quickcheck(property as fn(u64, Vec<u8>) -> bool);
}
