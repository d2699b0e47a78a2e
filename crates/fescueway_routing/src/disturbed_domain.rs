//! Targets that a hedge avoids because they share a failure domain with a disturbed one.

use std::collections::BTreeMap;

use fescueway_core::{MonoTime, NodeId, TargetRecord};

use crate::{pool_view::PoolView, target_view::TargetView};

/// The targets of the subset in the failure domain of `late`, if that target is disturbed: what slows it
/// down likely affects its neighbours too. None otherwise.
pub(crate) fn disturbed_domain(
    views: &[TargetView],
    targets: &BTreeMap<NodeId, TargetRecord>,
    pool: &PoolView,
    now: MonoTime,
    late: &TargetRecord,
) -> Vec<NodeId> {
    let view = views.iter().find(|view| view.node == late.node);
    if !view.is_some_and(|view| view.is_disturbed(now, pool)) {
        return Vec::new();
    }
    let nodes = views.iter().map(|view| view.node);
    let is_neighbour = |node: &NodeId| {
        let record = targets.get(node);
        record.is_some_and(|record| record.domain == late.domain)
    };
    nodes.filter(is_neighbour).collect()
}
