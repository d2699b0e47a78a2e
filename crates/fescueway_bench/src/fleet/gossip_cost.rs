//! Bytes and messages of membership in a simulated fleet.

use std::time::Duration;

use fescueway_core::TargetState;
use fescueway_membership::TrafficCounts;
use fescueway_testkit::member_network::{MemberNetwork, address_of};

/// Bytes of IP and UDP headers per datagram.
const HEADER_BYTES: f64 = 28.0;

/// Observation time of an idle fleet.
const IDLE_TIME: Duration = Duration::from_mins(2);

/// Number of measured changes, one every two seconds.
const CHANGES: usize = 30;

/// Mean membership traffic of a node, sent and received, headers included.
#[derive(Clone, Copy, Debug)]
pub struct GossipCost {
    /// Number of nodes.
    pub nodes: f64,
    /// Bytes per second in an idle fleet.
    pub idle_bytes_per_s: f64,
    /// Messages per second in an idle fleet.
    pub idle_messages_per_s: f64,
    /// Bytes per node for one membership update.
    pub update_bytes: f64,
    /// Bytes per node to announce one new revision, without fetching it.
    pub mark_bytes: f64,
    /// Bytes that a node receives while it joins.
    pub join_bytes: f64,
}

impl GossipCost {
    /// Measures a fleet of `nodes`.
    #[must_use]
    pub fn measure(seed: u64, nodes: usize) -> Self {
        let mut network = MemberNetwork::converged(seed, nodes);
        let seconds = IDLE_TIME.as_secs_f64();
        let before = total_traffic(&network);
        network.run_for(IDLE_TIME);
        let idle = traffic_per_node(before, total_traffic(&network), nodes);
        let idle_bytes_per_s = idle.0 / seconds;
        let update_bytes = bytes_per_change(&mut network, idle_bytes_per_s, |network, change| {
            let state = if change % 2 == 0 {
                TargetState::Draining
            } else {
                TargetState::Serving
            };
            network.announce_target(change / 2 % nodes, state);
            network.run_for(Duration::from_secs(2));
        });
        let mark_bytes = bytes_per_change(&mut network, idle_bytes_per_s, |network, change| {
            let revision = change as u64 + 1;
            super::propagation_time::propagate_mark(network, revision, Duration::from_secs(2));
        });
        Self {
            nodes: nodes as f64,
            idle_bytes_per_s,
            idle_messages_per_s: idle.1 / seconds,
            update_bytes,
            mark_bytes,
            join_bytes: join_bytes(&mut network),
        }
    }
}

/// Returns the mean bytes and messages of a node between two totals of a fleet.
fn traffic_per_node(before: TrafficCounts, after: TrafficCounts, nodes: usize) -> (f64, f64) {
    let messages = (after.sent - before.sent) + (after.received - before.received);
    let bytes =
        (after.sent_bytes - before.sent_bytes) + (after.received_bytes - before.received_bytes);
    let (messages, nodes) = (messages as f64, nodes as f64);
    let bytes = bytes as f64 + messages * HEADER_BYTES;
    (bytes / nodes, messages / nodes)
}

fn total_traffic(network: &MemberNetwork) -> TrafficCounts {
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

fn bytes_per_change(
    network: &mut MemberNetwork,
    idle_bytes_per_s: f64,
    mut change: impl FnMut(&mut MemberNetwork, usize),
) -> f64 {
    let nodes = network.members.len();
    let start = network.now();
    let before = total_traffic(network);
    for number in 0..CHANGES {
        change(network, number);
    }
    // Let the last change finish propagating.
    network.run_for(Duration::from_secs(20));
    let seconds = network.now().since(start).as_secs_f64();
    let (bytes, _) = traffic_per_node(before, total_traffic(network), nodes);
    ((bytes - idle_bytes_per_s * seconds) / CHANGES as f64).max(0.0)
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

/// Fits a line through points by least squares. Returns its slope and its value at `x`.
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
