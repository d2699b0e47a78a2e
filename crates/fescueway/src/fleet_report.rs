//! Which revision is in force in each failure domain, and which domains lag.

use std::collections::BTreeMap;

use fescueway_core::DomainName;
use fescueway_platform::{StoreClient, StoreError};
use fescueway_rollout::{DomainReport, driver};
use serde::Serialize;

use crate::{
    fleet_store::{READ_TIMEOUT, unix_time_s},
    text_table::{row, text_table},
};

/// Age in seconds above which a report is stale. Failure domains renew theirs every 30 s; the
/// rest allows for clocks that are a minute apart.
const MAX_REPORT_AGE_S: u64 = 180;

/// The revisions in force, as the failure domains report them.
#[derive(Debug, Serialize)]
pub(crate) struct FleetReport {
    /// The revision that the reports are compared with.
    pub(crate) revision: u64,
    /// The report of each failure domain.
    pub(crate) domains: BTreeMap<DomainName, DomainReport>,
    /// A line for each place where `revision` is not known to be in force.
    pub(crate) lags: Vec<String>,
}

impl FleetReport {
    /// Reads the reports and compares them with `revision`.
    pub(crate) async fn read(store: &StoreClient, revision: u64) -> Result<Self, StoreError> {
        let domains = driver::read_in_force(store, READ_TIMEOUT).await?;
        let mut lags = fleet_lags(revision, &domains, unix_time_s());
        if domains.values().any(|report| report.highest > revision) {
            // Another revision may have been accepted meanwhile.
            let head = driver::read_head(store, READ_TIMEOUT).await?;
            lags.extend(lost_revision_lags(
                head.map_or(0, |head| head.revision),
                &domains,
            ));
        }
        Ok(Self {
            revision,
            domains,
            lags,
        })
    }

    /// Whether the revision is in force at every node.
    pub(crate) fn is_in_force(&self) -> bool {
        self.lags.is_empty()
    }

    /// Number of nodes over all failure domains.
    pub(crate) fn node_count(&self) -> u64 {
        self.domains
            .values()
            .map(|report| u64::from(report.nodes))
            .sum()
    }

    /// The failure domains as a table, followed by the lines of `lags`.
    pub(crate) fn text(&self) -> String {
        let mut rows = vec![row([
            "DOMAIN",
            "NODES",
            "IN FORCE",
            "NOT HEARD",
            "REPORT AGE",
        ])];
        let now = unix_time_s();
        for (domain, report) in &self.domains {
            rows.push(row([
                domain.as_str(),
                &report.nodes.to_string(),
                &revisions_text(report),
                &report.unheard.to_string(),
                &format!("{} s", now.saturating_sub(report.unix_time_s)),
            ]));
        }
        let mut text = text_table(&rows);
        for lag in &self.lags {
            text += lag;
            text += "\n";
        }
        text
    }
}

/// The revisions in force in a failure domain.
fn revisions_text(report: &DomainReport) -> String {
    if report.lowest == report.highest {
        return report.lowest.to_string();
    }
    format!("{} to {}", report.lowest, report.highest)
}

/// A line for each place where `revision` is not known to be in force.
fn fleet_lags(
    revision: u64,
    domains: &BTreeMap<DomainName, DomainReport>,
    now: u64,
) -> Vec<String> {
    if domains.is_empty() {
        return vec![String::from("no failure domain has reported yet")];
    }
    let lags = domains.iter();
    lags.flat_map(|(domain, report)| domain_lags(revision, domain, report, now))
        .collect()
}

/// A line for each failure domain where a revision is in force that the store has lost. Nodes keep
/// that revision, and ignore the older one in the store.
fn lost_revision_lags(stored: u64, domains: &BTreeMap<DomainName, DomainReport>) -> Vec<String> {
    let above = domains.iter().filter(|(_, report)| report.highest > stored);
    let lines = above.map(|(domain, report)| {
        format!(
            "{domain}: has revision {}, but the store lost it and is at {stored}; `fescueway apply` \
             goes above it",
            report.highest
        )
    });
    lines.collect()
}

/// The lines of [`fleet_lags`] for one failure domain.
fn domain_lags(revision: u64, domain: &DomainName, report: &DomainReport, now: u64) -> Vec<String> {
    let age = now.saturating_sub(report.unix_time_s);
    if age > MAX_REPORT_AGE_S {
        return vec![format!("{domain}: no report for {age} s")];
    }
    let behind = report
        .laggards
        .iter()
        .filter(|laggard| laggard.revision < revision);
    let mut lags: Vec<_> = behind
        .map(|laggard| {
            let fault = match &*laggard.fault {
                "" => String::new(),
                fault => format!(", can't apply the newer one: {fault}"),
            };
            format!(
                "{domain}: node {} has revision {}{fault}",
                laggard.node, laggard.revision
            )
        })
        .collect();
    if lags.is_empty() && report.lowest < revision {
        lags.push(format!("{domain}: has revision {}", report.lowest));
    }
    if report.unheard > 0 {
        lags.push(format!(
            "{domain}: {} nodes have not reported",
            report.unheard
        ));
    }
    lags
}
