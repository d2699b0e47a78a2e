//! Reports on lagging nodes are aggregated with a bounded number of messages at each node.

use std::{collections::BTreeMap, time::Duration};

use fescueway_core::{MonoTime, NodeId};
use fescueway_rollout::{DomainReport, ReportAction, ReportTree};

const NODES: u64 = 350;

/// Runs the trees of a domain for `length`, with a tick every 100 ms. Returns the last report that
/// the root wrote, and the maximum number of reports that one node received.
fn run(
    trees: &mut BTreeMap<NodeId, ReportTree>,
    nodes: &[NodeId],
    start: MonoTime,
    length: Duration,
) -> (DomainReport, u32) {
    let mut written = DomainReport::default();
    let mut received: BTreeMap<NodeId, u32> = BTreeMap::new();
    let mut now = start;
    while now < start + length {
        let mut reports = Vec::new();
        for (node, tree) in &mut *trees {
            match tree.tick(now, nodes) {
                Some(ReportAction::Send { to, report }) => reports.push((*node, to, report)),
                Some(ReportAction::Write(report)) => written = report,
                None => {}
            }
        }
        for (from, to, report) in reports {
            *received.entry(to).or_default() += 1;
            if let Some(tree) = trees.get_mut(&to) {
                tree.on_report(now, from, report);
            }
        }
        now = now + Duration::from_millis(100);
    }
    let most = received.values().max().copied().unwrap_or_default();
    (written, most)
}

fn trees(nodes: &[NodeId]) -> BTreeMap<NodeId, ReportTree> {
    nodes
        .iter()
        .map(|node| (*node, ReportTree::new(*node)))
        .collect()
}

#[test]
fn laggards_are_listed_and_other_nodes_are_counted() {
    let nodes: Vec<_> = (0..NODES).map(NodeId).collect();
    let mut trees = trees(&nodes);
    for (node, tree) in &mut trees {
        let is_laggard = *node == NodeId(123);
        tree.set_local(
            if is_laggard { 6 } else { 7 },
            if is_laggard { "bad value" } else { "" },
        );
    }
    let (report, most) = run(&mut trees, &nodes, MonoTime::ZERO, Duration::from_secs(5));
    assert_eq!((report.nodes, report.unheard), (NODES as u32, 0));
    assert_eq!((report.lowest, report.highest), (6, 7));
    let laggards: Vec<_> = report.laggards.iter().map(|laggard| laggard.node).collect();
    assert_eq!(laggards, [NodeId(123)]);
    assert_eq!(report.laggards[0].fault, "bad value");
    // Eight children, each with a few reports while its aggregate grows; never the whole domain.
    assert!(most <= 8 * 10, "{most} reports at one node");
}

#[test]
fn silent_node_is_reported_as_unheard() {
    let nodes: Vec<_> = (0..NODES).map(NodeId).collect();
    let mut trees = trees(&nodes);
    for tree in trees.values_mut() {
        tree.set_local(7, "");
    }
    run(&mut trees, &nodes, MonoTime::ZERO, Duration::from_secs(5));
    trees.remove(&NodeId(NODES - 1));
    let start = MonoTime::ZERO + Duration::from_secs(5);
    let (report, _) = run(&mut trees, &nodes, start, Duration::from_mins(3));
    assert_eq!((report.nodes, report.unheard), (NODES as u32 - 1, 1));
}
