//! Whether other nodes answer, while there is doubt.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fescueway_core::{MonoTime, NodeId};

use crate::replica_choice::LiveHosts;

/// Pause between two rounds of asking.
const ASK_PAUSE: Duration = Duration::from_millis(500);

/// A silent node is passed over for this long. By then membership knows what became of it.
const SILENCE_EXPIRY: Duration = Duration::from_mins(1);

/// Whether other nodes answer, while there is doubt.
///
/// Membership takes several seconds to tell that a node is down. A host that got no reply to its
/// claim knows sooner, and a replica that hears of it asks for itself.
#[derive(Debug, Default)]
pub(crate) struct PeerWatch {
    /// Nodes that left someone without a reply and have not answered since, and since when.
    doubted: BTreeMap<NodeId, MonoTime>,
    /// When nodes answered last.
    heard: BTreeMap<NodeId, MonoTime>,
    /// Nodes that were asked in the rounds since it was last begun anew.
    asked: BTreeSet<NodeId>,
    /// Earliest time of the next round.
    ask_at: MonoTime,
}

impl PeerWatch {
    /// Someone got no reply from `node`.
    pub(crate) fn doubt(&mut self, now: MonoTime, node: NodeId) {
        if self.doubted.contains_key(&node) {
            return;
        }
        self.doubted.insert(node, now);
        self.ask_soon();
    }

    /// `node` answered.
    pub(crate) fn hear(&mut self, now: MonoTime, node: NodeId) {
        self.doubted.remove(&node);
        self.heard.insert(node, now);
    }

    /// The asking begins anew, at once.
    pub(crate) fn ask_soon(&mut self) {
        self.ask_at = MonoTime::ZERO;
        self.asked.clear();
    }

    /// Notes that `node` is asked. Says whether there is a point: not when it was asked before and
    /// gave no answer.
    pub(crate) fn ask(&mut self, node: NodeId) -> bool {
        self.asked.insert(node) || self.heard.contains_key(&node)
    }

    /// Whether a round of asking is due. It counts as begun then.
    pub(crate) fn begin_round(&mut self, now: MonoTime) -> bool {
        let is_due = now >= self.ask_at;
        if is_due {
            self.ask_at = now + ASK_PAUSE;
        }
        is_due
    }

    /// Since when `node` has been doubted.
    pub(crate) fn doubted_since(&self, node: NodeId) -> Option<MonoTime> {
        self.doubted.get(&node).copied()
    }

    /// Forgets what is out of date.
    pub(crate) fn expire(&mut self, now: MonoTime, patience: Duration) {
        let is_new = |at: &MonoTime, span| now.since(*at) < span;
        self.doubted
            .retain(|_, since| is_new(since, SILENCE_EXPIRY));
        self.heard.retain(|_, at| is_new(at, patience));
    }

    /// `live` without the nodes that have been doubted for `patience`.
    pub(crate) fn without_silent(
        &self,
        now: MonoTime,
        patience: Duration,
        live: &LiveHosts,
    ) -> LiveHosts {
        let is_silent = |node: &NodeId| {
            let since = self.doubted.get(node);
            since.is_some_and(|since| now.since(*since) >= patience)
        };
        let rest = live.iter().filter(|(node, _)| !is_silent(node));
        rest.map(|(node, host)| (*node, host.clone())).collect()
    }

    /// The nodes of `live` that answered lately, and `own`. `None` when no other did.
    pub(crate) fn heard_of(&self, own: NodeId, live: &LiveHosts) -> Option<LiveHosts> {
        let is_heard = |node: &NodeId| *node == own || self.heard.contains_key(node);
        let heard = live.iter().filter(|(node, _)| is_heard(node));
        let heard: LiveHosts = heard.map(|(node, host)| (*node, host.clone())).collect();
        heard.keys().any(|node| *node != own).then_some(heard)
    }
}
