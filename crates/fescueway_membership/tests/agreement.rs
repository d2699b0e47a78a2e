//! Properties of the membership under random faults on a lossy network.

use std::time::Duration;

use fescueway_testkit::member_network::{MemberNetwork, MemberRunState};
use quickcheck::{Gen, QuickCheck};

/// Time within which every member that can hear a running member must hold it as live again.
const AGREEMENT_TIMEOUT: Duration = Duration::from_mins(1);

/// Applies random faults, with a run of 0 to 7 s after each.
fn apply_faults(network: &mut MemberNetwork, faults: &[(u8, u8)]) {
    for (fault, operand) in faults {
        let index = usize::from(*operand) % network.members.len();
        match fault % 7 {
            0 => network.crash(index),
            1 => network.leave_if_running(index),
            2 => network.pause_if_running(index),
            3 => network.resume_if_paused(index),
            4 => network.partition(|member| member % usize::from(operand % 3 + 1)),
            5 => network.heal(),
            _ => {
                network.start();
            }
        }
        network.run_for(Duration::from_secs(u64::from(operand % 8)));
    }
}

fn agrees_after_faults(seed: u64, faults: &[(u8, u8)]) -> bool {
    let mut network = MemberNetwork::converged(seed, 24);
    network.loss = 0.05;
    apply_faults(&mut network, faults);
    network.heal();
    for index in 0..network.members.len() {
        network.resume_if_paused(index);
    }
    if network.running().next().is_none() {
        return true;
    }
    network.run_until(AGREEMENT_TIMEOUT, MemberNetwork::is_converged)
}

#[test]
fn views_agree_after_random_faults() {
    fn property(seed: u64, faults: Vec<(u8, u8)>) -> bool {
        // Operands below 3 are raised to keep faults off the first three members: they are the
        // seeds of all others, and a member that starts needs one of them. Larger operands may
        // still wrap around to them.
        let faults = faults
            .into_iter()
            .map(|(fault, operand)| (fault, operand.max(3)));
        agrees_after_faults(seed, &faults.collect::<Vec<_>>())
    }
    QuickCheck::new()
        .rng(Gen::new(12))
        .tests(25)
        .quickcheck(property as fn(u64, Vec<(u8, u8)>) -> bool);
}

#[test]
fn a_paused_member_is_live_again_after_it_resumes() {
    fn property(seed: u64, pauses: Vec<u8>) -> bool {
        let mut network = MemberNetwork::converged(seed, 24);
        network.loss = 0.05;
        for pause in pauses {
            let index = usize::from(pause) % 24;
            network.pause(index);
            network.run_for(Duration::from_secs(u64::from(pause % 30)));
            network.resume(index);
            let node = network.members[index].node;
            let others = network.running().count() - 1;
            let is_held = |network: &MemberNetwork| network.holders_of(node) == others;
            if !network.run_until(AGREEMENT_TIMEOUT, is_held) {
                return false;
            }
        }
        network
            .members
            .iter()
            .all(|member| member.run == MemberRunState::Running)
    }
    QuickCheck::new()
        .rng(Gen::new(6))
        .tests(25)
        .quickcheck(property as fn(u64, Vec<u8>) -> bool);
}
