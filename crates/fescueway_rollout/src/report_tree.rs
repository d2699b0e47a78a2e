//! Summing up what is in force over the nodes of a failure domain.

use std::{collections::BTreeMap, time::Duration};

use fescueway_core::{MonoTime, NodeId};

use crate::DomainReport;

/// Nodes that report to one node.
const FAN_IN: usize = 8;

/// Least time between two reports of one node.
const REPORT_PAUSE: Duration = Duration::from_millis(500);

/// Time after which a report is sent though nothing changed.
const REPORT_PERIOD: Duration = Duration::from_secs(30);

/// Time after which a report that was not renewed no longer counts.
const REPORT_AGE: Duration = Duration::from_secs(75);

/// Reports of others that are kept; more come only while views differ.
const MAX_HEARD: usize = 4 * FAN_IN;

/// What to do with a report.
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

/// One node's part in summing up its failure domain.
///
/// The domain's live nodes, sorted, form a heap: the node at place `i` reports to the one at place
/// `(i - 1) / 8`, and the first writes the sum to the store. Nobody agrees on the tree: each node
/// works it out from its own view, and reports are renewed, so that views may differ for a while.
#[derive(Clone, Debug)]
pub struct ReportTree {
    node: NodeId,
    own: DomainReport,
    heard: BTreeMap<NodeId, (MonoTime, DomainReport)>,
    sent: Option<(MonoTime, ReportAction)>,
    is_changed: bool,
}

impl ReportTree {
    /// The part of `node`, with nothing in force.
    #[must_use]
    pub fn new(node: NodeId) -> Self {
        Self {
            node,
            own: DomainReport::of_node(node, 0, ""),
            heard: BTreeMap::new(),
            sent: None,
            is_changed: true,
        }
    }

    /// Notes what this node has in force, and why not more.
    pub fn set_local(&mut self, revision: u64, fault: &str) {
        let own = DomainReport::of_node(self.node, revision, fault);
        self.is_changed |= own != self.own;
        self.own = own;
    }

    /// Takes in the report of another node.
    pub fn on_report(&mut self, now: MonoTime, from: NodeId, report: DomainReport) {
        if self.heard.len() >= MAX_HEARD && !self.heard.contains_key(&from) {
            return;
        }
        let before = self.heard.get(&from);
        self.is_changed |= before.is_none_or(|(_, before)| *before != report);
        self.heard.insert(from, (now, report));
    }

    /// The place of this node among the live nodes of its domain, sorted; zero is the root.
    #[must_use]
    pub fn position(&self, domain_nodes: &[NodeId]) -> usize {
        domain_nodes.partition_point(|node| *node < self.node)
    }

    /// When [`Self::tick`] is due, at the latest.
    #[must_use]
    pub fn next_wake(&self) -> MonoTime {
        let Some((sent_at, _)) = &self.sent else {
            return MonoTime::ZERO;
        };
        let pause = if self.is_changed {
            REPORT_PAUSE
        } else {
            REPORT_PERIOD
        };
        *sent_at + pause
    }

    /// What is due, given the live nodes of this node's domain, sorted, itself included.
    pub fn tick(&mut self, now: MonoTime, domain_nodes: &[NodeId]) -> Option<ReportAction> {
        if now < self.next_wake() {
            return None;
        }
        let place = self.position(domain_nodes);
        let children = (place * FAN_IN + 1)..=(place * FAN_IN + FAN_IN);
        let is_child = |node: &NodeId| {
            let at = domain_nodes.binary_search(node);
            at.is_ok_and(|at| children.contains(&at))
        };
        self.heard
            .retain(|node, (heard_at, _)| now.since(*heard_at) < REPORT_AGE && is_child(node));
        let reports = self.heard.values().map(|(_, report)| report);
        let sum = reports.fold(self.own.clone(), DomainReport::merged);
        let action = if place == 0 {
            let live = domain_nodes.len() as u32;
            ReportAction::Write(DomainReport {
                unheard: live.saturating_sub(sum.nodes),
                ..sum.trimmed()
            })
        } else {
            ReportAction::Send {
                to: domain_nodes[(place - 1) / FAN_IN],
                report: sum,
            }
        };
        self.sent = Some((now, action.clone()));
        self.is_changed = false;
        Some(action)
    }
}
