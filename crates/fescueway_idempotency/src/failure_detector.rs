//! Detects unresponsive replicas earlier than membership does.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fescueway_core::{MonoTime, NodeId};

use crate::replica_choice::LiveHosts;

/// Interval between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// How long a node stays suspected. By then membership knows whether it is down.
const SUSPICION_EXPIRY: Duration = Duration::from_mins(1);

/// Tracks which nodes are suspected of having failed, and which ones reply.
///
/// Membership takes several seconds to detect that a node is down. A host that got no reply to its
/// claim knows sooner. It reports this to the other replica, which then probes the node itself.
#[derive(Debug, Default)]
pub(crate) struct FailureDetector {
    /// Nodes that failed to reply to some node and have not replied since, and since when.
    suspected: BTreeMap<NodeId, MonoTime>,
    /// When each node last replied.
    last_replies: BTreeMap<NodeId, MonoTime>,
    /// Nodes probed since probing was last restarted.
    probed: BTreeSet<NodeId>,
    /// Earliest time of the next round of probes.
    next_round_at: MonoTime,
}

impl FailureDetector {
    /// Marks `node` as suspected, after it failed to reply.
    pub(crate) fn suspect(&mut self, now: MonoTime, node: NodeId) {
        if self.suspected.contains_key(&node) {
            return;
        }
        self.suspected.insert(node, now);
        self.restart_probing();
    }

    /// Records a reply of `node`, which clears the suspicion.
    pub(crate) fn record_reply(&mut self, now: MonoTime, node: NodeId) {
        self.suspected.remove(&node);
        self.last_replies.insert(node, now);
    }

    /// Starts a new series of probes at once.
    pub(crate) fn restart_probing(&mut self) {
        self.next_round_at = MonoTime::ZERO;
        self.probed.clear();
    }

    /// Records a probe of `node`. Returns whether to send it: not when the node was probed before
    /// and has not replied recently.
    pub(crate) fn record_probe(&mut self, node: NodeId) -> bool {
        self.probed.insert(node) || self.last_replies.contains_key(&node)
    }

    /// Returns whether a round of probes is due, and if so counts it as begun.
    pub(crate) fn begin_round(&mut self, now: MonoTime) -> bool {
        let is_due = now >= self.next_round_at;
        if is_due {
            self.next_round_at = now + PROBE_INTERVAL;
        }
        is_due
    }

    /// Since when `node` has been suspected.
    pub(crate) fn suspected_since(&self, node: NodeId) -> Option<MonoTime> {
        self.suspected.get(&node).copied()
    }

    /// Removes suspicions older than [`SUSPICION_EXPIRY`] and replies older than `timeout`.
    pub(crate) fn expire(&mut self, now: MonoTime, timeout: Duration) {
        let is_new = |at: &MonoTime, span| now.since(*at) < span;
        self.suspected
            .retain(|_, since| is_new(since, SUSPICION_EXPIRY));
        self.last_replies.retain(|_, at| is_new(at, timeout));
    }

    /// `live` without the nodes that have been suspected for at least `timeout`.
    pub(crate) fn without_unresponsive(
        &self,
        now: MonoTime,
        timeout: Duration,
        live: &LiveHosts,
    ) -> LiveHosts {
        let is_unresponsive = |node: &NodeId| {
            let since = self.suspected.get(node);
            since.is_some_and(|since| now.since(*since) >= timeout)
        };
        let rest = live.iter().filter(|(node, _)| !is_unresponsive(node));
        rest.map(|(node, host)| (*node, host.clone())).collect()
    }

    /// The nodes of `live` that replied recently, and `own`. `None` when no other node did.
    pub(crate) fn responsive_hosts(&self, own: NodeId, live: &LiveHosts) -> Option<LiveHosts> {
        let is_responsive = |node: &NodeId| *node == own || self.last_replies.contains_key(node);
        let responsive = live.iter().filter(|(node, _)| is_responsive(node));
        let responsive: LiveHosts = responsive
            .map(|(node, host)| (*node, host.clone()))
            .collect();
        responsive
            .keys()
            .any(|node| *node != own)
            .then_some(responsive)
    }
}
