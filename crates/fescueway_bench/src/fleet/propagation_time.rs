//! Propagation time of updates to every node.

use std::time::Duration;

use fescueway_core::{ConfigMark, NodeId, TargetState};
use fescueway_membership::MemberEvent;
use fescueway_testkit::member_network::{DOMAINS, MemberNetwork, MemberRunState};

/// Interval at which the state of the fleet is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Nodes that learn a new revision from the store: two in each failure domain.
const WATCHERS: usize = 34;

/// Propagation times of several updates over all nodes.
#[derive(Clone, Debug, Default)]
pub struct PropagationTime {
    /// Time of each node and update, sorted, in seconds.
    seconds: Vec<f64>,
    /// Number of nodes that did not receive an update within the time limit.
    pub missed: usize,
}

impl PropagationTime {
    /// Measures the times until nodes know that a target is draining.
    #[must_use]
    pub fn of_drain(seed: u64, nodes: usize, count: usize) -> Self {
        let mut network = MemberNetwork::converged(seed, nodes);
        let mut times = Self::default();
        for index in 0..count {
            network.announce_target(index, TargetState::Draining);
            let node = network.members[index].node;
            times.measure_update(&mut network, Duration::from_secs(10), |network, other| {
                let mut targets = network.members[other].targets.values();
                let is_draining = |state| state == TargetState::Draining;
                targets.any(|target| target.node == node && is_draining(target.state))
            });
        }
        times.sorted()
    }

    /// Measures the times until nodes know that a node has crashed.
    #[must_use]
    pub fn of_crash(seed: u64, nodes: usize, count: usize) -> Self {
        let mut network = MemberNetwork::converged(seed, nodes);
        let mut times = Self::default();
        for index in 0..count {
            network.crash(index + 3);
            let node = network.members[index + 3].node;
            times.measure_update(&mut network, Duration::from_mins(1), |network, other| {
                !knows_node(network, other, node)
            });
        }
        times.sorted()
    }

    /// Measures the times until nodes know that every node of a failure domain has crashed,
    /// when all crash at once. Repeated for `count / 3` failure domains.
    #[must_use]
    pub fn of_domain_loss(seed: u64, nodes: usize, count: usize) -> Self {
        let mut network = MemberNetwork::converged(seed, nodes);
        let mut times = Self::default();
        for domain in 0..count / 3 {
            let lost = (0..nodes).filter(|index| index % DOMAINS == domain + 3);
            let lost: Vec<_> = lost.collect();
            for index in &lost {
                network.crash(*index);
            }
            let crashed: Vec<_> = lost
                .iter()
                .map(|index| network.members[*index].node)
                .collect();
            times.measure_update(&mut network, Duration::from_mins(5), |network, other| {
                !crashed.iter().any(|node| knows_node(network, other, *node))
            });
        }
        times.sorted()
    }

    /// Measures the times until a revision is in force, from when the watchers learn it. Each node
    /// takes up to 10 ms to fetch it.
    #[must_use]
    pub fn of_revision(seed: u64, nodes: usize, count: usize) -> Self {
        let mut network = MemberNetwork::converged(seed, nodes);
        let mut times = Self::default();
        for revision in 1..=count as u64 {
            let revision_times = propagate_mark(&mut network, revision, Duration::from_secs(20));
            times.seconds.extend(revision_times.seconds);
            times.missed += revision_times.missed;
        }
        times.sorted()
    }

    /// Returns a quantile of the times, in seconds.
    #[must_use]
    pub fn quantile(&self, share: f64) -> f64 {
        let last = self.seconds.len().saturating_sub(1) as f64;
        let index = (share * last).round() as usize;
        self.seconds.get(index).copied().unwrap_or(f64::INFINITY)
    }

    fn measure_update(
        &mut self,
        network: &mut MemberNetwork,
        limit: Duration,
        knows: impl Fn(&MemberNetwork, usize) -> bool,
    ) {
        let start = network.now();
        let mut unaware: Vec<_> = network.running().collect();
        unaware.retain(|index| !knows(network, *index));
        while !unaware.is_empty() && network.now().since(start) < limit {
            network.run_for(CHECK_INTERVAL);
            let before = unaware.len();
            unaware.retain(|index| !knows(network, *index));
            let seconds = network.now().since(start).as_secs_f64();
            self.seconds
                .extend(std::iter::repeat_n(seconds, before - unaware.len()));
        }
        // One node is left out: the subject of an update never learns it.
        let missing = unaware
            .iter()
            .filter(|index| network.members[**index].run == MemberRunState::Running);
        self.missed += missing.count().saturating_sub(1);
        network.run_for(Duration::from_secs(1));
    }

    fn sorted(mut self) -> Self {
        self.seconds.sort_by(f64::total_cmp);
        self
    }
}

/// Propagates a revision from the watchers for `time`; each node has it in force at the
/// first check after it learns of it.
pub fn propagate_mark(
    network: &mut MemberNetwork,
    revision: u64,
    time: Duration,
) -> PropagationTime {
    let digest = [0; 8];
    let mark = ConfigMark { revision, digest };
    let start = network.now();
    let nodes: Vec<_> = network.running().collect();
    let mut is_in_force = vec![false; network.members.len()];
    for index in nodes.iter().take(WATCHERS.min(nodes.len() / 10)) {
        network.handle(*index, MemberEvent::Mark(mark));
        is_in_force[*index] = true;
    }
    let mut times = PropagationTime::default();
    while network.now().since(start) < time {
        network.run_for(CHECK_INTERVAL);
        let seconds = network.now().since(start).as_secs_f64();
        for index in &nodes {
            let is_announced = network.members[*index].newest_mark.1.revision >= revision;
            if is_announced && !is_in_force[*index] {
                is_in_force[*index] = true;
                times.seconds.push(seconds);
                network.handle(*index, MemberEvent::Mark(mark));
            }
        }
    }
    times.missed = nodes.iter().filter(|index| !is_in_force[**index]).count();
    times
}

fn knows_node(network: &MemberNetwork, index: usize, node: NodeId) -> bool {
    let targets = &network.members[index].targets;
    targets.keys().any(|(held, _)| *held == node)
}
