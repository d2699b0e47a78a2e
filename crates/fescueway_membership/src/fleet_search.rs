//! Whether a starting node knows the fleet that it belongs to.

use std::time::Duration;

use fescueway_core::MonoTime;
use serde::{Deserialize, Serialize};

/// Time from meeting nodes that tell nothing against it until the fleet counts as known. By then gossip
/// has brought the others.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time for which the store has to answer, and to list no address but those of known nodes, before it
/// proves that there are no others. Nodes whose addresses lapsed during an outage write them again within
/// 2 s of its end; a failed attempt takes 1 s and is repeated 2 s later.
const CONFIRM_TIME: Duration = Duration::from_secs(5);

/// What a node knows of its fleet.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum FleetKnowledge {
    /// It searches, and nothing has failed so far.
    #[default]
    Searching,
    /// It could not ask, so that there may be others of which it doesn't know.
    Unknown,
    /// It knows the fleet. Never changes again: later losses are noticed by failure detection.
    Known,
}

/// Decides when a starting node knows the fleet.
///
/// An empty list of addresses proves only that nobody has an address in the store: right after an outage
/// the addresses of running nodes may be missing. Nor do nodes prove it that could not ask either.
///
/// ```
/// # use std::time::Duration;
/// # use fescueway_core::MonoTime;
/// # use fescueway_membership::{FleetKnowledge, FleetSearch};
/// let at = |seconds| MonoTime::ZERO + Duration::from_secs(seconds);
/// let mut search = FleetSearch::default();
/// search.record_failure();
/// search.record_list(at(4), true);
/// assert_eq!(search.knowledge(), FleetKnowledge::Unknown);
/// search.record_list(at(9), true);
/// assert_eq!(search.knowledge(), FleetKnowledge::Known);
/// ```
#[derive(Clone, Debug, Default)]
pub struct FleetSearch {
    /// What is known.
    knowledge: FleetKnowledge,
    /// When the store first listed known nodes only, without a failure since.
    confirmed_since: Option<MonoTime>,
    /// When this node first met another one that tells nothing against the end of the search.
    met_at: Option<MonoTime>,
    /// When this node first met one that knows the fleet.
    met_known_at: Option<MonoTime>,
}

impl FleetSearch {
    /// What the node knows of its fleet.
    #[must_use]
    pub fn knowledge(&self) -> FleetKnowledge {
        self.knowledge
    }

    /// Records that the store did not answer.
    pub fn record_failure(&mut self) {
        self.confirmed_since = None;
        self.doubt();
    }

    /// Records a list of addresses that the store held when it was asked. `is_complete` tells whether all
    /// others in it belong to nodes that this one knows.
    pub fn record_list(&mut self, now: MonoTime, is_complete: bool) {
        if !is_complete {
            self.confirmed_since = None;
            return;
        }
        let since = *self.confirmed_since.get_or_insert(now);
        if now.since(since) >= CONFIRM_TIME {
            self.knowledge = FleetKnowledge::Known;
        }
    }

    /// Records what the nodes know that this one asked; empty if none of them answered.
    pub fn record_peers(&mut self, now: MonoTime, peers: &[FleetKnowledge]) {
        if peers.contains(&FleetKnowledge::Known) {
            self.met_known_at.get_or_insert(now);
        } else if peers.contains(&FleetKnowledge::Unknown) {
            self.doubt();
        }
        // The first nodes of a fleet, which all search.
        if self.knowledge == FleetKnowledge::Searching {
            self.met_at.get_or_insert(now);
        }
        let met_at = self.met_known_at.or(self.met_at);
        if met_at.is_some_and(|met_at| now.since(met_at) >= SETTLE_TIME) {
            self.knowledge = FleetKnowledge::Known;
        }
    }

    /// Records a reason to assume that there are others.
    fn doubt(&mut self) {
        if self.knowledge == FleetKnowledge::Searching {
            self.knowledge = FleetKnowledge::Unknown;
        }
        self.met_at = None;
    }
}
