//! Aggregates reports on the revisions in force over the nodes of a failure domain.

use std::{collections::BTreeMap, time::Duration};

use fescueway_core::{MonoTime, NodeId};

use crate::DomainReport;

/// Number of nodes that report to one node.
const FAN_IN: usize = 8;

/// Minimum time between two reports of one node.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a report is renewed without a change.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(30);

/// Time after which a report that was not renewed is dropped.
const MAX_REPORT_AGE: Duration = Duration::from_secs(75);

/// Reports of other nodes that are kept. More than [`FAN_IN`] arrive only while membership views
/// differ.
const MAX_RECEIVED_REPORTS: usize = 4 * FAN_IN;

/// What the caller has to do with a report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReportAction {
    /// Send it to the parent.
    Send {
        /// The parent.
        to: NodeId,
        /// The report.
        report: DomainReport,
    },
    /// This node is the root: write it to the store.
    Write(DomainReport),
}

/// One node's part in the aggregation of its failure domain's reports.
///
/// The sorted live nodes of the domain form a heap: the node at position `i` reports to the one at
/// position `(i - 1) / 8`, and the first one writes the aggregate to the store. Nodes do not agree
/// on the tree: each node derives it from its own membership view. Reports are renewed, so that
/// views may differ for a while.
#[derive(Clone, Debug)]
pub struct ReportTree {
    node: NodeId,
    local: DomainReport,
    received: BTreeMap<NodeId, (MonoTime, DomainReport)>,
    sent: Option<(MonoTime, ReportAction)>,
    is_changed: bool,
}

impl ReportTree {
    /// The state of `node`, with no configuration in force.
    #[must_use]
    pub fn new(node: NodeId) -> Self {
        Self {
            node,
            local: DomainReport::of_node(node, 0, ""),
            received: BTreeMap::new(),
            sent: None,
            is_changed: true,
        }
    }

    /// Sets the revision that this node has in force, and why it could not apply a newer one (empty
    /// without an error).
    pub fn set_local(&mut self, revision: u64, fault: &str) {
        let local = DomainReport::of_node(self.node, revision, fault);
        self.is_changed |= local != self.local;
        self.local = local;
    }

    /// Records the report of another node.
    pub fn on_report(&mut self, now: MonoTime, from: NodeId, report: DomainReport) {
        if self.received.len() >= MAX_RECEIVED_REPORTS && !self.received.contains_key(&from) {
            return;
        }
        let before = self.received.get(&from);
        self.is_changed |= before.is_none_or(|(_, before)| *before != report);
        self.received.insert(from, (now, report));
    }

    /// The index of this node in the sorted live nodes of its domain. The root has 0.
    #[must_use]
    pub fn position(&self, domain_nodes: &[NodeId]) -> usize {
        domain_nodes.partition_point(|node| *node < self.node)
    }

    /// The time from which [`Self::tick`] returns an action.
    #[must_use]
    pub fn next_wake(&self) -> MonoTime {
        let Some((sent_at, _)) = &self.sent else {
            return MonoTime::ZERO;
        };
        let interval = if self.is_changed {
            MIN_REPORT_INTERVAL
        } else {
            MAX_REPORT_INTERVAL
        };
        *sent_at + interval
    }

    /// Returns the report to send or write when one is due. `domain_nodes` are the sorted live
    /// nodes of this node's domain, including itself.
    pub fn tick(&mut self, now: MonoTime, domain_nodes: &[NodeId]) -> Option<ReportAction> {
        if now < self.next_wake() {
            return None;
        }
        let position = self.position(domain_nodes);
        let children = (position * FAN_IN + 1)..=(position * FAN_IN + FAN_IN);
        let is_child = |node: &NodeId| {
            let at = domain_nodes.binary_search(node);
            at.is_ok_and(|at| children.contains(&at))
        };
        self.received.retain(|node, (received_at, _)| {
            now.since(*received_at) < MAX_REPORT_AGE && is_child(node)
        });
        let reports = self.received.values().map(|(_, report)| report);
        let aggregate = reports.fold(self.local.clone(), DomainReport::merged);
        let action = if position == 0 {
            let live = domain_nodes.len() as u32;
            ReportAction::Write(DomainReport {
                unheard: live.saturating_sub(aggregate.nodes),
                ..aggregate.trimmed()
            })
        } else {
            ReportAction::Send {
                to: domain_nodes[(position - 1) / FAN_IN],
                report: aggregate,
            }
        };
        self.sent = Some((now, action.clone()));
        self.is_changed = false;
        Some(action)
    }
}
