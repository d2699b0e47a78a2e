//! Measurements from which the capacity page is computed.

use std::{fmt::Write as _, thread};

use super::{
    ClaimLoad, ConfigCost, FleetRequirements, GossipCost, InstanceCost, PropagationTime, StoreLoad,
    slope,
};

/// Fleet sizes at which the costs are measured, in nodes.
const SIZES: [usize; 3] = [50, 100, 300];

const SEED: u64 = 7;

/// Number of updates of which the propagation is timed at each size.
const TIMED_UPDATES: usize = 12;

/// Measurements of the control plane.
#[derive(Clone, Debug)]
pub struct FleetMeasurements {
    /// Cost of membership at each size.
    pub gossip: Vec<GossipCost>,
    /// Size in nodes and propagation times of a drain.
    pub drain: Vec<(f64, PropagationTime)>,
    /// Size in nodes and detection times of a crash.
    pub crash: Vec<(f64, PropagationTime)>,
    /// Size in nodes and detection times of a lost failure domain.
    pub domain: Vec<(f64, PropagationTime)>,
    /// Size in nodes and times until a revision is in force.
    pub revision: Vec<(f64, PropagationTime)>,
    /// Cost of an instance with 300 members.
    pub small_fleet: InstanceCost,
    /// Cost of an instance with as many members as the required fleet.
    pub large_fleet: InstanceCost,
    /// Cost of configuration.
    pub config: ConfigCost,
    /// Load of the store.
    pub store: StoreLoad,
    /// Load of the store for idempotency keys.
    pub claims: ClaimLoad,
}

impl FleetMeasurements {
    /// Runs all measurements. Takes some seconds in a release build.
    pub fn measure() -> Self {
        let timed = |measure: fn(u64, usize, usize) -> PropagationTime| {
            in_parallel(move |nodes| (nodes as f64, measure(SEED, nodes, TIMED_UPDATES)))
        };
        // Memory is counted for the whole process, so the instances are measured one at a time.
        Self {
            gossip: in_parallel(|nodes| GossipCost::measure(SEED, nodes)),
            drain: timed(PropagationTime::of_drain),
            crash: timed(PropagationTime::of_crash),
            domain: timed(PropagationTime::of_domain_loss),
            revision: timed(PropagationTime::of_revision),
            small_fleet: InstanceCost::measure(SEED, 300),
            large_fleet: InstanceCost::measure(SEED, FleetRequirements::NODES as usize),
            config: ConfigCost::measure(),
            store: StoreLoad::measure(SEED),
            claims: ClaimLoad::new(SEED),
        }
    }

    /// Returns the slope over the sizes and the value at the required size. A falling slope is
    /// taken as noise, and the value is at least the largest measured one.
    pub fn gossip_fit(&self, select: impl Fn(&GossipCost) -> f64) -> (f64, f64) {
        let points: Vec<_> = self
            .gossip
            .iter()
            .map(|cost| (cost.nodes, select(cost)))
            .collect();
        let largest = points.iter().map(|point| point.1).fold(0.0, f64::max);
        let (slope, value) = slope(&points, FleetRequirements::NODES);
        (slope, value.max(largest))
    }

    /// Returns the slope of the idle traffic over the share of filled buckets, and its value at the
    /// required size.
    pub fn idle_fit(&self) -> (f64, f64) {
        let points = self.gossip.iter();
        let points = points.map(|cost| (filled_share(cost.nodes), cost.idle_bytes_per_s));
        slope(
            &points.collect::<Vec<_>>(),
            filled_share(FleetRequirements::NODES),
        )
    }

    /// Returns the measurements as text, one per line.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for cost in &self.gossip {
            let _ = writeln!(
                text,
                "{:>4} nodes: quiet {:.0} B/s in {:.2} messages/s; news {:.0} B, revision {:.0} B, join {:.0} B",
                cost.nodes,
                cost.idle_bytes_per_s,
                cost.idle_messages_per_s,
                cost.update_bytes,
                cost.mark_bytes,
                cost.join_bytes
            );
        }
        for (name, times) in [
            ("drain", &self.drain),
            ("crash", &self.crash),
            ("domain loss", &self.domain),
            ("revision", &self.revision),
        ] {
            for (nodes, time) in times {
                let _ = writeln!(
                    text,
                    "{nodes:>4} nodes: {name} known after p50 {:.2} s, p99 {:.2} s, max {:.2} s; {} missed it",
                    time.quantile(0.5),
                    time.quantile(0.99),
                    time.quantile(1.0),
                    time.missed
                );
            }
        }
        for cost in [&self.small_fleet, &self.large_fleet] {
            let _ = writeln!(
                text,
                "one instance of {} members: {:.0} B a member, {:.1} allocations/s, sends {:.2} messages/s, {:.0} B/s",
                cost.members,
                cost.bytes_per_member,
                cost.allocations_per_s,
                cost.sent_per_s,
                cost.sent_bytes_per_s
            );
        }
        let config = &self.config;
        let _ = writeln!(
            text,
            "configuration of 190 services: one change {:.0} B, all {:.0} B, held in {:.0} B; {:.2} reports sent by a node, at most {:.0} received, {:.0} B each, summed up in {:.2} s",
            config.change_bytes,
            config.full_bytes,
            config.memory_bytes,
            config.reports_sent,
            config.most_received,
            config.report_bytes,
            config.report_s
        );
        text
    }

    /// Returns the number of nodes that never received an update, over all timed updates.
    pub fn missed(&self) -> usize {
        let all = [&self.drain, &self.crash, &self.domain, &self.revision];
        all.into_iter().flatten().map(|(_, time)| time.missed).sum()
    }
}
/// Measures every size in parallel, one thread each.
fn in_parallel<T: Send>(measure: impl Fn(usize) -> T + Sync) -> Vec<T> {
    thread::scope(|scope| {
        let measure = &measure;
        let threads = SIZES.map(|nodes| scope.spawn(move || measure(nodes)));
        let results = threads.into_iter().map(thread::ScopedJoinHandle::join);
        results.flatten().collect()
    })
}

/// Returns the expected share of a digest's buckets that are not empty in a fleet of this size.
/// Idle traffic grows with it, since an empty bucket takes one byte and any other five.
#[must_use]
pub fn filled_share(nodes: f64) -> f64 {
    const BUCKETS: f64 = 128.0;
    1.0 - (1.0 - 1.0 / BUCKETS).powf(nodes)
}
