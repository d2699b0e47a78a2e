//! Table of `docs/CAPACITY.md`, computed from the measurements.

use super::{
    CapacityRow, FleetRequirements, PropagationTime,
    capacity_row::format_value,
    fleet_measurements::{FleetMeasurements, filled_share},
    slope,
};

/// Overhead of HTTP/2, TCP and IP in bytes for one control call between two nodes, both ways, on a
/// new connection: in a large fleet each call goes to a different peer. Printed by
/// `node_cost`.
const CALL_OVERHEAD_BYTES: f64 = 1_066.0;

/// Overhead in bytes of a datagram that carries a note.
const NOTE_OVERHEAD_BYTES: f64 = 75.0;

/// Cost of the control plane at the required fleet size.
#[derive(Clone, Debug)]
pub struct CapacityPage {
    /// Rows of the table.
    pub rows: Vec<CapacityRow>,
    /// Measurements as text, one per line.
    pub measured: String,
    /// CPU time of the instance that knows the whole fleet, as a share of a core by the wall clock.
    /// Left out of the table because it varies between runs.
    pub core_share: f64,
    /// Number of nodes that never received an update, over all timed updates.
    pub missed: usize,
}

impl CapacityPage {
    /// Runs all measurements. Takes some seconds in a release build.
    #[must_use]
    pub fn measure() -> Self {
        let measurements = FleetMeasurements::measure();
        let mut rows = measurements.traffic_rows();
        rows.extend(measurements.time_rows());
        rows.extend(measurements.state_rows());
        rows.extend(measurements.store_rows());
        Self {
            rows,
            measured: measurements.text(),
            core_share: measurements.large_fleet.core_share,
            missed: measurements.missed(),
        }
    }

    /// Returns the table in Markdown, as it appears in the page.
    #[must_use]
    pub fn table(&self) -> String {
        let head = "| what | at the target's size | limit | met | worked from | carried by |\n\
                    |---|---|---|---|---|---|\n";
        self.rows
            .iter()
            .fold(head.to_owned(), |text, row| text + &row.line())
    }
}

impl FleetMeasurements {
    fn traffic_rows(&self) -> Vec<CapacityRow> {
        let idle = self.idle_fit();
        let update = self.gossip_fit(|cost| cost.update_bytes);
        let mark = self.gossip_fit(|cost| cost.mark_bytes);
        let join = self.gossip_fit(|cost| cost.join_bytes);
        let changes = FleetRequirements::config_changes_per_s();
        let config = &self.config;
        // A node fetches each change once and serves it once on average.
        let fetch = 2.0 * (config.change_bytes + CALL_OVERHEAD_BYTES);
        let report = 2.0 * config.reports_sent * (config.report_bytes + NOTE_OVERHEAD_BYTES);
        let parts = [
            idle.1,
            update.1 * FleetRequirements::member_updates_per_s(),
            mark.1 * changes,
            fetch * changes,
            report * changes,
            2.0 * join.1 * FleetRequirements::joins_per_s() / FleetRequirements::NODES,
        ];
        let row = |quantity, value, basis, mechanism| CapacityRow {
            quantity,
            value,
            unit: "B/s",
            limit: None,
            basis,
            mechanism,
        };
        let line = |name: &str, line: (f64, f64)| {
            format!(
                "{name}: {}, slope {} a node",
                format_value(line.1),
                format_value(line.0)
            )
        };
        let mut rows = vec![
            row(
                "quiet membership",
                parts[0],
                format!(
                    "quiet B/s: {} + {} at a full digest",
                    format_value(idle.1 - idle.0 * filled_share(FleetRequirements::NODES)),
                    format_value(idle.0)
                ),
                "two pings a second and node; digests every 10 to 20 s",
            ),
            row(
                "news of members",
                parts[1],
                line("B for each piece of news", update),
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
                    format_value(config.change_bytes),
                    FleetRequirements::SERVICES
                ),
                "a peer sends only what changed",
            ),
            row(
                "in-force reports",
                parts[4],
                format!(
                    "{} reports of {} B",
                    format_value(config.reports_sent),
                    format_value(config.report_bytes)
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
            limit: Some(FleetRequirements::MAX_BYTES_PER_S),
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
        let row = |quantity, times: &[(f64, PropagationTime)], share: f64, limit, mechanism| {
            let points: Vec<_> = times
                .iter()
                .map(|(nodes, time)| (nodes.log2(), time.quantile(share)))
                .collect();
            let line = slope(&points, FleetRequirements::NODES.log2());
            let worst = points.iter().map(|point| point.1).fold(0.0, f64::max);
            CapacityRow {
                quantity,
                value: line.1.max(worst),
                unit: "s",
                limit,
                basis: format!("{} s for each doubling", format_value(line.0)),
                mechanism,
            }
        };
        let drain = Some(FleetRequirements::MAX_DRAIN_KNOWN_S);
        let in_force = Some(FleetRequirements::MAX_IN_FORCE_S);
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
            quantity: "a domain's report is summed up",
            value: self.config.report_s,
            unit: "s",
            limit: None,
            basis: "353 nodes, three levels".to_owned(),
            mechanism: "a tree of eight in each failure domain",
        });
        rows
    }

    fn state_rows(&self) -> Vec<CapacityRow> {
        let memory =
            self.large_fleet.bytes_per_member * FleetRequirements::NODES + self.config.memory_bytes;
        let ratio = self.large_fleet.allocations_per_s / self.small_fleet.allocations_per_s;
        vec![
            CapacityRow {
                quantity: "memory for the fleet and the configuration",
                value: memory / 1e6,
                unit: "MB",
                limit: Some(FleetRequirements::MAX_MEMORY_BYTES / 1e6),
                basis: format!(
                    "{} B a member, {} B for {} services",
                    format_value(self.large_fleet.bytes_per_member),
                    format_value(self.config.memory_bytes),
                    FleetRequirements::SERVICES
                ),
                mechanism: "each node holds every member's record and its own site's services",
            },
            CapacityRow {
                quantity: "work of the membership at 6,000 against 300 members",
                value: ratio,
                unit: "times",
                // The work should be constant; a factor of two allows for the logarithmic cost of
                // ordered maps.
                limit: Some(2.0),
                basis: format!(
                    "{} and {} allocations a second",
                    format_value(self.large_fleet.allocations_per_s),
                    format_value(self.small_fleet.allocations_per_s)
                ),
                mechanism: "a fixed number of pings and sends",
            },
        ]
    }

    fn store_rows(&self) -> Vec<CapacityRow> {
        let row = |quantity, value, limit, basis: &str, mechanism| CapacityRow {
            quantity,
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
                FleetRequirements::STORE_READS_PER_S,
                "3 reads a change and watcher",
                "two watchers in each failure domain",
            ),
            row(
                "the store's writes by the whole fleet",
                store.steady_writes_per_s + self.claims.steady_writes_per_s,
                FleetRequirements::STORE_WRITES_PER_S,
                "a lease call in 5 s, 4 reports a change and domain",
                "one reporter in each failure domain",
            ),
            row(
                "the store's busiest second after an outage",
                store.recovery_peak_per_s,
                FleetRequirements::STORE_READS_PER_S,
                "600 nodes that all want it, times ten",
                "jittered pauses, nothing saved up meanwhile",
            ),
            row(
                "the store's busiest second after a lost failure domain, writes",
                store.steady_writes_per_s + self.claims.peak_writes_per_s,
                FleetRequirements::STORE_WRITES_PER_S,
                &format!(
                    "{} claim partitions lose a replica, one write each",
                    format_value(self.claims.lost_partitions)
                ),
                "takeovers begin with a partition's first key and spread over 1 s",
            ),
        ]
    }
}
