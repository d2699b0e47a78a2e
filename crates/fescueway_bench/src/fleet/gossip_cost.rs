//! Bytes and messages of the membership, at several sizes of the fleet.

use std::time::Duration;

use fescueway_core::TargetState;
use fescueway_membership::TrafficCounts;
use fescueway_testkit::member_network::{MemberNetwork, address_of};

/// Bytes of IP and UDP headers for each datagram.
const HEADER_BYTES: f64 = 28.0;

/// Time over which a quiet fleet is observed.
const QUIET: Duration = Duration::from_mins(2);

/// Changes of members whose cost is measured, one every two seconds.
const CHANGES: usize = 30;

/// What the membership of one fleet costs each node, sent and received, headers included.
#[derive(Clone, Copy, Debug)]
pub struct GossipCost {
    /// Nodes.
    pub nodes: f64,
    /// Bytes a second of a quiet fleet.
    pub quiet_bytes_per_s: f64,
    /// Messages a second of a quiet fleet.
    pub quiet_messages_per_s: f64,
    /// Bytes that one piece of news of a member costs each node.
    pub news_bytes: f64,
    /// Bytes that one new revision costs each node, its fetch left out.
    pub mark_bytes: f64,
    /// Bytes that a node receives to join.
    pub join_bytes: f64,
}

impl GossipCost {
    /// Measures a fleet of `nodes`.
    #[must_use]
    pub fn measure(seed: u64, nodes: usize) -> Self {
        let mut network = MemberNetwork::converged(seed, nodes);
        let seconds = QUIET.as_secs_f64();
        let before = total(&network);
        network.run_for(QUIET);
        let quiet = cost(before, total(&network), nodes);
        let quiet_bytes_per_s = quiet.0 / seconds;
        let news_bytes = change_bytes(&mut network, quiet_bytes_per_s, |network, change| {
            let state = if change % 2 == 0 {
                TargetState::Draining
            } else {
                TargetState::Serving
            };
            network.announce_target(change / 2 % nodes, state);
            network.run_for(Duration::from_secs(2));
        });
        let mark_bytes = change_bytes(&mut network, quiet_bytes_per_s, |network, change| {
            let revision = change as u64 + 1;
            super::news_time::spread_mark(network, revision, Duration::from_secs(2));
        });
        Self {
            nodes: nodes as f64,
            quiet_bytes_per_s,
            quiet_messages_per_s: quiet.1 / seconds,
            news_bytes,
            mark_bytes,
            join_bytes: join_bytes(&mut network),
        }
    }
}

/// Bytes and messages that one node had between two totals of a fleet.
fn cost(before: TrafficCounts, after: TrafficCounts, nodes: usize) -> (f64, f64) {
    let messages = (after.sent - before.sent) + (after.received - before.received);
    let bytes =
        (after.sent_bytes - before.sent_bytes) + (after.received_bytes - before.received_bytes);
    let (messages, nodes) = (messages as f64, nodes as f64);
    let bytes = bytes as f64 + messages * HEADER_BYTES;
    (bytes / nodes, messages / nodes)
}

fn total(network: &MemberNetwork) -> TrafficCounts {
    let mut total = TrafficCounts::default();
    for member in &network.members {
        let counts = member.list.counts();
        total.sent += counts.sent;
        total.sent_bytes += counts.sent_bytes;
        total.received += counts.received;
        total.received_bytes += counts.received_bytes;
    }
    total
}

fn change_bytes(
    network: &mut MemberNetwork,
    quiet_bytes_per_s: f64,
    mut change: impl FnMut(&mut MemberNetwork, usize),
) -> f64 {
    let nodes = network.members.len();
    let start = network.now();
    let before = total(network);
    for number in 0..CHANGES {
        change(network, number);
    }
    // What is still to be told of the last change.
    network.run_for(Duration::from_secs(20));
    let seconds = network.now().since(start).as_secs_f64();
    let (bytes, _) = cost(before, total(network), nodes);
    ((bytes - quiet_bytes_per_s * seconds) / CHANGES as f64).max(0.0)
}

fn join_bytes(network: &mut MemberNetwork) -> f64 {
    const JOINERS: usize = 5;
    let mut bytes = 0.0;
    for joiner in 0..JOINERS {
        let index = network.start_at(address_of(10_000 + joiner));
        let is_joined = |network: &MemberNetwork| network.members[index].list.is_joined();
        network.run_until(Duration::from_secs(30), is_joined);
        let counts = network.members[index].list.counts();
        bytes += counts.received_bytes as f64 + counts.received as f64 * HEADER_BYTES;
    }
    bytes / JOINERS as f64
}

/// The slope of a line through points by least squares, and its value at `x`.
#[must_use]
pub fn slope(points: &[(f64, f64)], x: f64) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (slope, mean_y + slope * (x - mean_x))
}
