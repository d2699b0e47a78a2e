//! What a node can prove about its configuration document, and the evacuations that it knows.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use fescueway_core::{BootTime, DomainName};
use fescueway_platform::{RangeReply, StoreRevision, WatchBatch, WatchEvent};
use fescueway_proxy::{BootClock, ProxyState};
use fescueway_rollout::{EvacuationSet, FreshnessProof, ProofReply, ProofTimes};
use fescueway_telemetry::{emit, events::control};

use crate::{DaemonSettings, StatusBoard, member_link::MemberLink, node_adapter::DocumentSource};

/// A node is not ready for this long after it began to need a proof, unless it gets one earlier. Bounded,
/// so that requests without keys are served while the store is down.
const START_TIMEOUT: Duration = Duration::from_secs(5);

/// What a node can prove about its configuration document, and the evacuations that it knows. Cheap to
/// clone.
#[derive(Clone, Debug)]
pub struct DocumentProof {
    /// The proxy.
    proxy: ProxyState,
    /// The membership.
    members: MemberLink,
    /// The status shown to operators.
    board: StatusBoard,
    /// Prefix of the keys of evacuations; `None` if the node ignores them.
    evacuation_prefix: Option<Arc<str>>,
    /// Bound on the age of proofs; `None` without one.
    key_proof: Option<Duration>,
    /// State shared by the clones.
    state: Arc<Mutex<ProofState>>,
}

/// State shared by the clones of a [`DocumentProof`].
#[derive(Debug, Default)]
struct ProofState {
    /// The latest proof.
    proof: FreshnessProof,
    /// The evacuations; `None` until they were read once.
    evacuations: Option<EvacuationSet>,
    /// When the node began to need a proof.
    needed_since: Option<BootTime>,
    /// Since when it has been without a valid proof, if that was logged.
    lost_since: Option<BootTime>,
}

impl DocumentProof {
    /// No proof yet.
    pub fn new(
        proxy: &ProxyState,
        members: &MemberLink,
        board: &StatusBoard,
        settings: &DaemonSettings,
        source: &DocumentSource,
    ) -> Self {
        let is_interface_used = settings.interfaces.contains(&*source.evacuation_interface);
        let has_evacuations = settings.evacuations || is_interface_used;
        let is_enabled = has_evacuations || settings.key_proof.is_some();
        board.change(|facts| facts.is_awaiting_proof = is_enabled);
        Self {
            proxy: proxy.clone(),
            members: members.clone(),
            board: board.clone(),
            evacuation_prefix: has_evacuations.then(|| Arc::clone(&source.evacuation_prefix)),
            key_proof: settings.key_proof,
            state: Arc::default(),
        }
    }

    /// Whether the settings ask for proofs or for evacuations.
    pub fn is_enabled(&self) -> bool {
        self.key_proof.is_some() || self.has_evacuations()
    }

    /// Whether the settings ask for evacuations.
    pub fn has_evacuations(&self) -> bool {
        self.evacuation_prefix.is_some()
    }

    /// Whether keys of client accounts need a proof.
    pub fn has_keys(&self) -> bool {
        self.key_proof.is_some() && self.proxy.plan().accounts.is_some()
    }

    /// The times at which proofs are renewed; `None` while none are needed.
    pub fn times(&self) -> Option<ProofTimes> {
        match self.key_proof.filter(|_| self.has_keys()) {
            Some(bound) => Some(ProofTimes::for_bound(bound)),
            None => self.has_evacuations().then(ProofTimes::for_evacuations),
        }
    }

    /// The time of the latest proof.
    pub fn proven_at(&self) -> Option<BootTime> {
        self.state().proof.proven_at()
    }

    /// The reply to a peer that asks now.
    pub fn reply(&self) -> ProofReply {
        let state = self.state();
        state
            .proof
            .reply(BootClock::now(), state.evacuations.clone())
    }

    /// Records that the store was asked at `sent_at` and held no readable version above `found`, with
    /// `held` in force.
    pub fn prove(&self, sent_at: BootTime, found: u64, held: u64) {
        self.record(held, |proof| proof.prove(sent_at, found));
    }

    /// Records the reply of a peer that was asked at `asked_at`, with `held` in force. Returns whether it
    /// proves the configuration in force.
    pub fn prove_by_peer(&self, asked_at: BootTime, reply: &ProofReply, held: u64) -> bool {
        self.record(held, |proof| proof.prove_by_peer(asked_at, reply))
    }

    /// Records a proof, and hands it to the proxy.
    fn record(&self, held: u64, prove: impl FnOnce(&mut FreshnessProof) -> bool) -> bool {
        let newest = self.members.newest_mark().borrow().revision;
        let mut state = self.state();
        state.proof.set_held(held);
        state.proof.set_newest(newest);
        let is_proof = prove(&mut state.proof);
        if let Some(proven_at) = state.proof.proven_at()
            && self.key_proof.is_some()
        {
            self.proxy.set_key_proof(proven_at);
        }
        is_proof
    }

    /// Logs when the node comes to be without a valid proof, and when it has one again, and updates whether
    /// it waits for its first one.
    pub fn check(&self, times: &ProofTimes) {
        let now = BootClock::now();
        let has_keys = self.has_keys();
        let mut state = self.state();
        let start = *state.needed_since.get_or_insert(now);
        let since = state.proof.proven_at().unwrap_or(start);
        let is_lost = has_keys && now.since(since) >= times.limit;
        match state.lost_since {
            None if is_lost => {
                state.lost_since = Some(since);
                emit(&control::KEY_PROOF_LOST, &[&now.since(since).as_millis()]);
                self.board.change(|facts| facts.key_proof_losses += 1);
            }
            Some(lost_since) if !is_lost => {
                state.lost_since = None;
                let gap = now.since(lost_since).as_millis();
                emit(&control::KEY_PROOF_REGAINED, &[&gap]);
            }
            None | Some(_) => {}
        }
        let lacks_proof = has_keys && state.proof.proven_at().is_none();
        let lacks_set = self.has_evacuations() && state.evacuations.is_none();
        let is_awaiting = (lacks_proof || lacks_set) && now.since(start) < START_TIMEOUT;
        drop(state);
        self.board
            .change(|facts| facts.is_awaiting_proof = is_awaiting);
    }

    /// Records that the node needs no proof at present.
    pub fn clear(&self) {
        let mut state = self.state();
        state.needed_since = None;
        if let Some(lost_since) = state.lost_since.take() {
            let gap = BootClock::now().since(lost_since).as_millis();
            emit(&control::KEY_PROOF_REGAINED, &[&gap]);
        }
        drop(state);
        // Whether proofs are needed is known once a configuration is in force.
        if self.proxy.is_configured() {
            self.board.change(|facts| facts.is_awaiting_proof = false);
        }
    }

    /// Records the evacuations among the values of a read. Those of a stale read count only until any
    /// others are known.
    pub fn read_evacuations(&self, reply: &RangeReply, is_current: bool) {
        let Some(prefix) = &self.evacuation_prefix else {
            return;
        };
        let values = reply.values.iter();
        let domains = values.filter_map(|value| domain_of(prefix, &value.key));
        self.replace_evacuations(EvacuationSet {
            revision: if is_current {
                pair_of(reply.revision)
            } else {
                (0, 0)
            },
            domains: domains.collect(),
        });
    }

    /// Replaces the evacuations if `later` is later.
    pub fn replace_evacuations(&self, later: EvacuationSet) {
        if !self.has_evacuations() {
            return;
        }
        self.change_evacuations(|known| match known {
            Some(known) => {
                known.replace(later);
            }
            None => *known = Some(later),
        });
    }

    /// Records the evacuations among the changes that a watch reported.
    pub fn watch_evacuations(&self, batch: &WatchBatch) {
        let Some(prefix) = &self.evacuation_prefix else {
            return;
        };
        self.change_evacuations(|known| {
            // A watch begins with a read.
            let Some(known) = known else {
                return;
            };
            for event in &batch.events {
                let Some(domain) = domain_of(prefix, event.key()) else {
                    continue;
                };
                let (revision, is_begin) = match event {
                    WatchEvent::Put(value) => (value.mod_revision, true),
                    WatchEvent::Delete { mod_revision, .. } => (*mod_revision, false),
                };
                known.change(pair_of(revision), domain, is_begin);
            }
            known.advance(pair_of(batch.revision));
        });
    }

    /// Changes the evacuations and hands them to the proxy, which logs what changed.
    fn change_evacuations(&self, change: impl FnOnce(&mut Option<EvacuationSet>)) {
        // Locked until the proxy has the set, so that a later one isn't overwritten.
        let mut state = self.state();
        change(&mut state.evacuations);
        let after = state.evacuations.as_ref().map(|set| &set.domains);
        let after = after.cloned().unwrap_or_default();
        self.proxy.set_evacuated(after);
    }

    /// Locks the state.
    fn state(&self) -> MutexGuard<'_, ProofState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The failure domain that a key evacuates.
fn domain_of(prefix: &str, key: &str) -> Option<DomainName> {
    let name = key.strip_prefix(prefix)?;
    (!name.is_empty()).then(|| DomainName::new(name))
}

/// The revision as a pair that is ordered by era first.
fn pair_of(revision: StoreRevision) -> (u64, i64) {
    (revision.era.0, revision.number)
}
