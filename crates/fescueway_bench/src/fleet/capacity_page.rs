//! The table of `docs/CAPACITY.md`, worked out from what was measured.

use super::{
    CapacityRow, FleetTarget, NewsTime,
    capacity_row::figure,
    fleet_figures::{FleetFigures, filled_share},
    slope,
};

/// Bytes of HTTP/2 frames, TCP and IP for one control call between two nodes, both ways, on a
/// connection that is opened for it: in a large fleet the peer is another one each time. The
/// program `node_cost` prints it.
const CALL_OVERHEAD_BYTES: f64 = 1_066.0;

/// Bytes of a datagram besides the note in it.
const NOTE_OVERHEAD_BYTES: f64 = 75.0;

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

impl CapacityPage {
    /// Measures everything. Takes some seconds in a release build.
    #[must_use]
    pub fn measure() -> Self {
        let measured = FleetFigures::take();
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

impl FleetFigures {
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
                "two pings a second and node; digests every 10 to 20 s",
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
                "pings, indirect pings, 2.5 s of suspicion",
            ),
            row(
                "a crash is known, last node",
                &self.crash,
                1.0,
                None,
                "pings, indirect pings, 2.5 s of suspicion",
            ),
            row(
                "a lost failure domain is known, median",
                &self.domain,
                0.5,
                None,
                "pings, indirect pings, 2.5 s of suspicion",
            ),
            row(
                "a lost failure domain is known, last node",
                &self.domain,
                1.0,
                None,
                "pings, indirect pings, 2.5 s of suspicion",
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
                store.steady_writes_per_s + self.claims.steady_writes_per_s,
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
            row(
                "the store's busiest second after a lost failure domain, writes",
                store.steady_writes_per_s + self.claims.peak_writes_per_s,
                FleetTarget::STORE_WRITES_PER_S,
                &format!(
                    "{} claim partitions lose a replica, one write each",
                    figure(self.claims.lost_partitions)
                ),
                "takeovers begin with a partition's first key and spread over 1 s",
            ),
        ]
    }
}
