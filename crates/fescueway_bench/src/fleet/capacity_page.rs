//! The table of `docs/CAPACITY.md`, worked out from what was measured.

use std::{fmt::Write as _, thread};

use super::{ConfigCost, FleetTarget, GossipCost, InstanceCost, NewsTime, StoreLoad, slope};

/// Sizes at which slopes are measured, in nodes.
const SIZES: [usize; 3] = [50, 100, 300];

/// Seed of the measurements.
const SEED: u64 = 7;

/// Pieces of news whose way is timed at each size.
const TIMED_NEWS: usize = 12;

/// Bytes of HTTP/2 frames, TCP and IP for one control call between two nodes, both ways.
const CALL_OVERHEAD_BYTES: f64 = 400.0;

/// Bytes of a datagram besides the note in it.
const NOTE_OVERHEAD_BYTES: f64 = 75.0;

/// One line of the table.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityRow {
    /// What is counted.
    pub what: &'static str,
    /// The figure at the target's size.
    pub value: f64,
    /// The unit.
    pub unit: &'static str,
    /// What it may be at most, `None` where nothing is said.
    pub limit: Option<f64>,
    /// The measured slope that it is worked from.
    pub basis: String,
    /// The mechanism that carries it.
    pub mechanism: &'static str,
}

/// What control costs at the target's size.
#[derive(Clone, Debug)]
pub struct CapacityPage {
    /// The lines of the table.
    pub rows: Vec<CapacityRow>,
    /// What was measured, line by line.
    pub measured: String,
    /// Processor time of the instance that holds the whole fleet, by the wall clock. Differs from
    /// run to run, and stands in no table.
    pub core_share: f64,
    /// Nodes that never learned a piece of news, over all that was timed.
    pub missed: usize,
}

/// Everything that is measured.
struct Measured {
    gossip: Vec<GossipCost>,
    drain: Vec<(f64, NewsTime)>,
    crash: Vec<(f64, NewsTime)>,
    domain: Vec<(f64, NewsTime)>,
    revision: Vec<(f64, NewsTime)>,
    small: InstanceCost,
    large: InstanceCost,
    config: ConfigCost,
    store: StoreLoad,
}

impl CapacityRow {
    /// Whether the figure is within its limit.
    #[must_use]
    pub fn is_met(&self) -> bool {
        self.limit.is_none_or(|limit| self.value <= limit)
    }

    fn line(&self) -> String {
        let limit = self.limit.map_or_else(|| "-".to_owned(), figure);
        let met = match self.limit {
            None => "-",
            Some(_) if self.is_met() => "yes",
            Some(_) => "**no**",
        };
        format!(
            "| {} | {} {} | {limit} | {met} | {} | {} |\n",
            self.what,
            figure(self.value),
            self.unit,
            self.basis,
            self.mechanism
        )
    }
}

impl CapacityPage {
    /// Measures everything. Takes some seconds in a release build.
    #[must_use]
    pub fn measure() -> Self {
        let measured = Measured::take();
        let mut rows = measured.traffic_rows();
        rows.extend(measured.time_rows());
        rows.extend(measured.state_rows());
        rows.extend(measured.store_rows());
        Self {
            rows,
            measured: measured.text(),
            core_share: measured.large.core_share,
            missed: measured.missed(),
        }
    }

    /// The table as it stands in the page.
    #[must_use]
    pub fn table(&self) -> String {
        let head = "| what | at the target's size | limit | met | worked from | carried by |\n\
                    |---|---|---|---|---|---|\n";
        self.rows
            .iter()
            .fold(head.to_owned(), |text, row| text + &row.line())
    }
}

impl Measured {
    fn take() -> Self {
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
        }
    }

    /// A slope over the sizes, and the figure at the target's size. Where the slope falls it is
    /// taken for noise, and the figure is the largest that was measured.
    fn gossip_line(&self, read: impl Fn(&GossipCost) -> f64) -> (f64, f64) {
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
    fn quiet_line(&self) -> (f64, f64) {
        let points = self.gossip.iter();
        let points = points.map(|cost| (filled_share(cost.nodes), cost.quiet_bytes_per_s));
        slope(
            &points.collect::<Vec<_>>(),
            filled_share(FleetTarget::NODES),
        )
    }

    fn traffic_rows(&self) -> Vec<CapacityRow> {
        let quiet = self.quiet_line();
        let news = self.gossip_line(|cost| cost.news_bytes);
        let mark = self.gossip_line(|cost| cost.mark_bytes);
        let join = self.gossip_line(|cost| cost.join_bytes);
        let changes = FleetTarget::config_changes_per_s();
        let config = &self.config;
        // A node fetches each change once, and serves it once on average.
        let fetch = 2.0 * (config.change_bytes + CALL_OVERHEAD_BYTES);
        let report = 2.0 * config.reports_sent * (config.report_bytes + NOTE_OVERHEAD_BYTES);
        let parts = [
            quiet.1,
            news.1 * FleetTarget::news_per_s(),
            mark.1 * changes,
            fetch * changes,
            report * changes,
            2.0 * join.1 * FleetTarget::joins_per_s() / FleetTarget::NODES,
        ];
        let row = |what, value, basis, mechanism| CapacityRow {
            what,
            value,
            unit: "B/s",
            limit: None,
            basis,
            mechanism,
        };
        let line = |name: &str, line: (f64, f64)| {
            format!(
                "{name}: {}, slope {} a node",
                figure(line.1),
                figure(line.0)
            )
        };
        let mut rows = vec![
            row(
                "quiet membership",
                parts[0],
                format!(
                    "quiet B/s: {} + {} at a full digest",
                    figure(quiet.1 - quiet.0 * filled_share(FleetTarget::NODES)),
                    figure(quiet.0)
                ),
                "one ping a second and node; digests every 10 to 20 s",
            ),
            row(
                "news of members",
                parts[1],
                line("B for each piece of news", news),
                "rumors, 14 sends each, pushed to 9 members",
            ),
            row(
                "new revisions",
                parts[2],
                line("B for each revision", mark),
                "the mark on every datagram, pushed to 9 members",
            ),
            row(
                "fetching changes",
                parts[3],
                format!(
                    "{} B for one service of {}",
                    figure(config.change_bytes),
                    FleetTarget::SERVICES
                ),
                "a peer sends only what changed",
            ),
            row(
                "in-force reports",
                parts[4],
                format!(
                    "{} reports of {} B",
                    figure(config.reports_sent),
                    figure(config.report_bytes)
                ),
                "a tree of eight in each failure domain",
            ),
            row(
                "serving joins",
                parts[5],
                line("B for each join", join),
                "pages pulled from many members, each sent by one",
            ),
        ];
        rows.push(CapacityRow {
            limit: Some(FleetTarget::BYTES_PER_S),
            ..row(
                "control traffic of a node, sent and received",
                parts.iter().sum(),
                "the sum of the lines above".to_owned(),
                "all of them",
            )
        });
        rows
    }

    fn time_rows(&self) -> Vec<CapacityRow> {
        let row = |what, times: &[(f64, NewsTime)], share: f64, limit, mechanism| {
            let points: Vec<_> = times
                .iter()
                .map(|(nodes, time)| (nodes.log2(), time.quantile(share)))
                .collect();
            let line = slope(&points, FleetTarget::NODES.log2());
            let worst = points.iter().map(|point| point.1).fold(0.0, f64::max);
            CapacityRow {
                what,
                value: line.1.max(worst),
                unit: "s",
                limit,
                basis: format!("{} s for each doubling", figure(line.0)),
                mechanism,
            }
        };
        let drain = Some(FleetTarget::DRAIN_KNOWN_S);
        let in_force = Some(FleetTarget::IN_FORCE_S);
        let mut rows = vec![
            row(
                "a drain is known, median",
                &self.drain,
                0.5,
                drain,
                "pushed rumors",
            ),
            row(
                "a drain is known, last node",
                &self.drain,
                1.0,
                drain,
                "pushed rumors, pings",
            ),
            row(
                "a crash is known, median",
                &self.crash,
                0.5,
                None,
                "pings, indirect pings, 5 s of suspicion",
            ),
            row(
                "a crash is known, last node",
                &self.crash,
                1.0,
                None,
                "pings, indirect pings, 5 s of suspicion",
            ),
            row(
                "a lost failure domain is known, median",
                &self.domain,
                0.5,
                None,
                "pings, indirect pings, 5 s of suspicion",
            ),
            row(
                "a lost failure domain is known, last node",
                &self.domain,
                1.0,
                None,
                "pings, indirect pings, 5 s of suspicion",
            ),
            row(
                "a revision is in force, median",
                &self.revision,
                0.5,
                in_force,
                "pushed marks, fetch from a peer",
            ),
            row(
                "a revision is in force, last node",
                &self.revision,
                1.0,
                in_force,
                "pushed marks, fetch from a peer",
            ),
        ];
        rows.push(CapacityRow {
            what: "a domain's report is summed up",
            value: self.config.report_s,
            unit: "s",
            limit: None,
            basis: "353 nodes, three levels".to_owned(),
            mechanism: "a tree of eight in each failure domain",
        });
        rows
    }

    fn state_rows(&self) -> Vec<CapacityRow> {
        let memory = self.large.bytes_per_member * FleetTarget::NODES + self.config.memory_bytes;
        let ratio = self.large.allocations_per_s / self.small.allocations_per_s;
        vec![
            CapacityRow {
                what: "memory for the fleet and the configuration",
                value: memory / 1e6,
                unit: "MB",
                limit: Some(FleetTarget::MEMORY_BYTES / 1e6),
                basis: format!(
                    "{} B a member, {} B for {} services",
                    figure(self.large.bytes_per_member),
                    figure(self.config.memory_bytes),
                    FleetTarget::SERVICES
                ),
                mechanism: "each node holds every member's record and its own site's services",
            },
            CapacityRow {
                what: "work of the membership at 6,000 against 300 members",
                value: ratio,
                unit: "times",
                // Constant work: twice leaves room for the logarithm of the ordered maps.
                limit: Some(2.0),
                basis: format!(
                    "{} and {} allocations a second",
                    figure(self.large.allocations_per_s),
                    figure(self.small.allocations_per_s)
                ),
                mechanism: "a fixed number of pings and sends",
            },
        ]
    }

    fn store_rows(&self) -> Vec<CapacityRow> {
        let row = |what, value, limit, basis: &str, mechanism| CapacityRow {
            what,
            value,
            unit: "calls/s",
            limit: Some(limit),
            basis: basis.to_owned(),
            mechanism,
        };
        let store = &self.store;
        vec![
            row(
                "the store's reads by the whole fleet",
                store.steady_reads_per_s,
                FleetTarget::STORE_READS_PER_S,
                "3 reads a change and watcher",
                "two watchers in each failure domain",
            ),
            row(
                "the store's writes by the whole fleet",
                store.steady_writes_per_s,
                FleetTarget::STORE_WRITES_PER_S,
                "a lease call in 5 s, 4 reports a change and domain",
                "one reporter in each failure domain",
            ),
            row(
                "the store's busiest second after an outage",
                store.recovery_peak_per_s,
                FleetTarget::STORE_READS_PER_S,
                "600 nodes that all want it, times ten",
                "jittered pauses, nothing saved up meanwhile",
            ),
        ]
    }

    fn text(&self) -> String {
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

    fn missed(&self) -> usize {
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
fn filled_share(nodes: f64) -> f64 {
    const BUCKETS: f64 = 128.0;
    1.0 - (1.0 - 1.0 / BUCKETS).powf(nodes)
}

/// A figure with about three digits.
fn figure(value: f64) -> String {
    let size = value.abs();
    if size == 0.0 {
        "0".to_owned()
    } else if size >= 100.0 {
        format!("{value:.0}")
    } else if size >= 10.0 {
        format!("{value:.1}")
    } else if size >= 0.1 {
        format!("{value:.2}")
    } else {
        format!("{value:.4}")
    }
}
