//! Everything that the capacity page is worked out from.

use std::{fmt::Write as _, thread};

use super::{
    ClaimLoad, ConfigCost, FleetTarget, GossipCost, InstanceCost, NewsTime, StoreLoad, slope,
};

/// Sizes at which slopes are measured, in nodes.
const SIZES: [usize; 3] = [50, 100, 300];

/// Seed of the measurements.
const SEED: u64 = 7;

/// Pieces of news whose way is timed at each size.
const TIMED_NEWS: usize = 12;

/// Everything that is measured.
#[derive(Clone, Debug)]
pub struct FleetFigures {
    /// What the membership costs, at each size.
    pub gossip: Vec<GossipCost>,
    /// Time until a drain is known, by size.
    pub drain: Vec<(f64, NewsTime)>,
    /// Time until a crash is known, by size.
    pub crash: Vec<(f64, NewsTime)>,
    /// Time until a lost failure domain is known, by size.
    pub domain: Vec<(f64, NewsTime)>,
    /// Time until a revision is in force, by size.
    pub revision: Vec<(f64, NewsTime)>,
    /// An instance that holds 300 members.
    pub small: InstanceCost,
    /// An instance that holds as many as the target has.
    pub large: InstanceCost,
    /// What configuration costs.
    pub config: ConfigCost,
    /// Calls of the store.
    pub store: StoreLoad,
    /// Calls of the store for idempotency keys.
    pub claims: ClaimLoad,
}

impl FleetFigures {
    /// Measures everything. Takes some seconds in a release build.
    pub fn take() -> Self {
        let timed = |measure: fn(u64, usize, usize) -> NewsTime| {
            in_parallel(move |nodes| (nodes as f64, measure(SEED, nodes, TIMED_NEWS)))
        };
        // Memory is counted for the whole process, so the instances come by themselves.
        Self {
            gossip: in_parallel(|nodes| GossipCost::measure(SEED, nodes)),
            drain: timed(NewsTime::of_drain),
            crash: timed(NewsTime::of_crash),
            domain: timed(NewsTime::of_domain_loss),
            revision: timed(NewsTime::of_revision),
            small: InstanceCost::measure(SEED, 300),
            large: InstanceCost::measure(SEED, FleetTarget::NODES as usize),
            config: ConfigCost::measure(),
            store: StoreLoad::measure(SEED),
            claims: ClaimLoad::new(SEED),
        }
    }

    /// A slope over the sizes, and the figure at the target's size. Where the slope falls it is
    /// taken for noise, and the figure is the largest that was measured.
    pub fn gossip_line(&self, read: impl Fn(&GossipCost) -> f64) -> (f64, f64) {
        let points: Vec<_> = self
            .gossip
            .iter()
            .map(|cost| (cost.nodes, read(cost)))
            .collect();
        let largest = points.iter().map(|point| point.1).fold(0.0, f64::max);
        let (slope, value) = slope(&points, FleetTarget::NODES);
        (slope, value.max(largest))
    }

    /// Quiet traffic against the share of filled buckets.
    pub fn quiet_line(&self) -> (f64, f64) {
        let points = self.gossip.iter();
        let points = points.map(|cost| (filled_share(cost.nodes), cost.quiet_bytes_per_s));
        slope(
            &points.collect::<Vec<_>>(),
            filled_share(FleetTarget::NODES),
        )
    }

    /// What was measured, line by line.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for cost in &self.gossip {
            let _ = writeln!(
                text,
                "{:>4} nodes: quiet {:.0} B/s in {:.2} messages/s; news {:.0} B, revision {:.0} B, join {:.0} B",
                cost.nodes,
                cost.quiet_bytes_per_s,
                cost.quiet_messages_per_s,
                cost.news_bytes,
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
        for cost in [&self.small, &self.large] {
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

    /// Nodes that never learned a piece of news.
    pub fn missed(&self) -> usize {
        let all = [&self.drain, &self.crash, &self.domain, &self.revision];
        all.into_iter().flatten().map(|(_, time)| time.missed).sum()
    }
}
/// Measures at every size, each on a thread of its own.
fn in_parallel<T: Send>(measure: impl Fn(usize) -> T + Sync) -> Vec<T> {
    thread::scope(|scope| {
        let measure = &measure;
        let threads = SIZES.map(|nodes| scope.spawn(move || measure(nodes)));
        let results = threads.into_iter().map(thread::ScopedJoinHandle::join);
        results.flatten().collect()
    })
}

/// Share of the buckets of a digest that hold a member of a fleet of this size. Quiet traffic
/// grows with it, since an empty bucket takes one byte and any other five.
#[must_use]
pub fn filled_share(nodes: f64) -> f64 {
    const BUCKETS: f64 = 128.0;
    1.0 - (1.0 - 1.0 / BUCKETS).powf(nodes)
}
