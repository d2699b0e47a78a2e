//! How long news takes to be known at every node.

use std::time::Duration;

use fescueway_core::{ConfigMark, NodeId, TargetState};
use fescueway_membership::MemberEvent;
use fescueway_testkit::member_network::{DOMAINS, MemberNetwork, MemberRunState};

/// How often a fleet is looked at.
const LOOK: Duration = Duration::from_millis(10);

/// Nodes that learn a new revision from the store: two of each failure domain.
const WATCHERS: usize = 34;

/// Time until news is known, over all nodes and several pieces of it, in seconds.
#[derive(Clone, Debug, Default)]
pub struct NewsTime {
    /// Each node's time, sorted.
    seconds: Vec<f64>,
    /// Nodes that did not learn it within the limit.
    pub missed: usize,
}

impl NewsTime {
    /// Times to learn that a target drains.
    #[must_use]
    pub fn of_drain(seed: u64, nodes: usize, count: usize) -> Self {
        let mut network = MemberNetwork::converged(seed, nodes);
        let mut times = Self::default();
        for index in 0..count {
            network.announce_target(index, TargetState::Draining);
            let node = network.members[index].node;
            times.watch(&mut network, Duration::from_secs(10), |network, other| {
                let mut targets = network.members[other].targets.values();
                let is_draining = |state| state == TargetState::Draining;
                targets.any(|target| target.node == node && is_draining(target.state))
            });
        }
        times.sorted()
    }

    /// Times to learn that a node is gone.
    #[must_use]
    pub fn of_crash(seed: u64, nodes: usize, count: usize) -> Self {
        let mut network = MemberNetwork::converged(seed, nodes);
        let mut times = Self::default();
        for index in 0..count {
            network.crash(index + 3);
            let node = network.members[index + 3].node;
            times.watch(&mut network, Duration::from_mins(1), |network, other| {
                !holds(network, other, node)
            });
        }
        times.sorted()
    }

    /// Times to learn that each node of a failure domain is gone, when all go at once. Repeated
    /// `count` times in all, over a third of it domains.
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
            let gone: Vec<_> = lost
                .iter()
                .map(|index| network.members[*index].node)
                .collect();
            times.watch(&mut network, Duration::from_mins(5), |network, other| {
                !gone.iter().any(|node| holds(network, other, *node))
            });
        }
        times.sorted()
    }

    /// Times until a revision is in force that the watchers learned at the start, with a fetch of
    /// up to 10 ms at each node.
    #[must_use]
    pub fn of_revision(seed: u64, nodes: usize, count: usize) -> Self {
        let mut network = MemberNetwork::converged(seed, nodes);
        let mut times = Self::default();
        for revision in 1..=count as u64 {
            let spread = spread_mark(&mut network, revision, Duration::from_secs(20));
            times.seconds.extend(spread.seconds);
            times.missed += spread.missed;
        }
        times.sorted()
    }

    /// The time within which this share of the nodes knew.
    #[must_use]
    pub fn quantile(&self, share: f64) -> f64 {
        let last = self.seconds.len().saturating_sub(1) as f64;
        let place = (share * last).round() as usize;
        self.seconds.get(place).copied().unwrap_or(f64::INFINITY)
    }

    fn watch(
        &mut self,
        network: &mut MemberNetwork,
        limit: Duration,
        knows: impl Fn(&MemberNetwork, usize) -> bool,
    ) {
        let start = network.now();
        let mut waiting: Vec<_> = network.running().collect();
        waiting.retain(|index| !knows(network, *index));
        while !waiting.is_empty() && network.now().since(start) < limit {
            network.run_for(LOOK);
            let before = waiting.len();
            waiting.retain(|index| !knows(network, *index));
            let seconds = network.now().since(start).as_secs_f64();
            self.seconds
                .extend(std::iter::repeat_n(seconds, before - waiting.len()));
        }
        // The node itself, where the news is its own, never learns it.
        let own = waiting
            .iter()
            .filter(|index| network.members[**index].run == MemberRunState::Running);
        self.missed += own.count().saturating_sub(1);
        network.run_for(Duration::from_secs(1));
    }

    fn sorted(mut self) -> Self {
        self.seconds.sort_by(f64::total_cmp);
        self
    }
}

/// Spreads a revision from the watchers for `time`; each node has it in force at the look after it
/// heard of it.
pub fn spread_mark(network: &mut MemberNetwork, revision: u64, time: Duration) -> NewsTime {
    let digest = [0; 8];
    let mark = ConfigMark { revision, digest };
    let start = network.now();
    let nodes: Vec<_> = network.running().collect();
    let mut has = vec![false; network.members.len()];
    for index in nodes.iter().take(WATCHERS.min(nodes.len() / 10)) {
        network.handle(*index, MemberEvent::Mark(mark));
        has[*index] = true;
    }
    let mut times = NewsTime::default();
    while network.now().since(start) < time {
        network.run_for(LOOK);
        let seconds = network.now().since(start).as_secs_f64();
        for index in &nodes {
            let heard = network.members[*index].newest_mark.1.revision >= revision;
            if heard && !has[*index] {
                has[*index] = true;
                times.seconds.push(seconds);
                network.handle(*index, MemberEvent::Mark(mark));
            }
        }
    }
    times.missed = nodes.iter().filter(|index| !has[**index]).count();
    times
}

fn holds(network: &MemberNetwork, index: usize, node: NodeId) -> bool {
    let targets = &network.members[index].targets;
    targets.keys().any(|(held, _)| *held == node)
}
