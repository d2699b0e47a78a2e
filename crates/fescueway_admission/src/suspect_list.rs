//! Requests suspected of crashing backend servers, because they were in flight at a crash.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fescueway_core::{MonoTime, NodeId};

use crate::{
    CrashId, SuspectDecision, SuspectEnd, SuspectMessage, SuspectReply,
    answered_requests::AnsweredRequests,
};

/// Number of strikes from which a request is refused for a while. A request gets a strike for each
/// crash of a backend server while it is in flight there.
const STRIKE_LIMIT: usize = 2;

/// How long a request that reached [`STRIKE_LIMIT`] is refused before its next trial. Doubles with
/// each further strike.
const FIRST_REFUSAL_TIME: Duration = Duration::from_mins(1);

/// Longest time between two trials of a refused request.
const MAX_REFUSAL_TIME: Duration = Duration::from_mins(10);

/// How long a suspect is kept after its last strike. Longer than [`MAX_REFUSAL_TIME`], so that a
/// request that keeps crashing backend servers stays refused between its trials.
const SUSPECT_EXPIRY: Duration = Duration::from_mins(30);

/// Time after which a trial is considered ended although its host hasn't reported it.
const TRIAL_EXPIRY: Duration = Duration::from_mins(1);

/// Largest number of suspects kept. Those with the oldest last strike are evicted first.
const MAX_SUSPECTS: usize = 4_096;

/// State of one suspect fingerprint.
#[derive(Clone, Debug)]
struct SuspectEntry {
    /// Crashes at which it was in flight; each is a strike.
    crashes: BTreeSet<CrashId>,
    /// When the last strike was recorded, or the entry was created without one.
    last_strike_at: MonoTime,
    /// On the coordinator: the host with the current trial, and when the trial was granted.
    trial: Option<(NodeId, MonoTime)>,
}

/// How a fingerprint may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RunRestriction {
    /// Without restriction.
    Free,
    /// As a trial.
    Trial,
    /// Not now.
    Refused,
}

/// Requests that were in flight when backend servers of one service crashed, by fingerprint.
///
/// A fingerprint without strikes runs without restriction. With one strike, or after a lost answer,
/// it runs only as a trial, once at a time in the whole service: its coordinator, one of the hosts,
/// grants the trials. A host runs one trial at a time, so that a harmless request gets no second
/// strike beside one that causes crashes. With two strikes it is refused everywhere, except for a
/// trial from time to time. An answer of a backend server clears it.
///
/// A request that many callers send is in flight at every crash, so being there says little. If the
/// backend server has answered it before, all its strikes count as one until it crashes a backend
/// server in a trial.
#[derive(Clone, Debug)]
pub struct SuspectList {
    /// Id of this node.
    node: NodeId,
    /// Suspects by fingerprint.
    entries: BTreeMap<u64, SuspectEntry>,
    /// Number of requests allowed to run but not handed over yet, by fingerprint. Never zero.
    prepared: BTreeMap<u64, u32>,
    /// Number of requests in flight at the local backend server, by fingerprint. Never zero.
    in_flight: BTreeMap<u64, u32>,
    /// Fingerprints of requests whose connection was lost, until [`SuspectList::settle_loss`] is
    /// told whether a crash was the cause.
    unresolved_losses: BTreeSet<u64>,
    /// Fingerprint of the suspect that runs its trial, or waits for permission, on this host.
    local_trial: Option<u64>,
    /// Requests that the local backend server answered lately.
    answered: AnsweredRequests,
    /// Number of crashes of the local backend server so far.
    crashes: u64,
}

impl SuspectList {
    /// Creates an empty list.
    #[must_use]
    pub fn new(node: NodeId) -> Self {
        Self {
            node,
            entries: BTreeMap::new(),
            prepared: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            unresolved_losses: BTreeSet::new(),
            local_trial: None,
            answered: AnsweredRequests::default(),
            crashes: 0,
        }
    }

    /// Coordinator of a fingerprint: the one of `hosts` that grants its trials. The same on every
    /// node with the same set of hosts.
    #[must_use]
    pub fn coordinator(
        fingerprint: u64,
        hosts: impl IntoIterator<Item = NodeId>,
    ) -> Option<NodeId> {
        let rank = |host: &NodeId| (fingerprint ^ host.0).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 7;
        hosts.into_iter().max_by_key(|host| (rank(host), *host))
    }

    /// Number of suspects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no suspects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Decides on a request for the local backend server. `lost_runs` is the number of its earlier
    /// runs whose answer was lost: they count like strikes, because the message about a crash may
    /// not have arrived yet.
    pub fn begin(&mut self, now: MonoTime, fingerprint: u64, lost_runs: u8) -> SuspectDecision {
        let is_known_harmless = self.answered.contains(fingerprint);
        let lost_runs = if is_known_harmless { 0 } else { lost_runs };
        let restriction = match (self.restriction(now, fingerprint), usize::from(lost_runs)) {
            (RunRestriction::Refused, _) | (_, STRIKE_LIMIT..) => RunRestriction::Refused,
            (RunRestriction::Free, 1..) => RunRestriction::Trial,
            (restriction, _) => restriction,
        };
        match restriction {
            RunRestriction::Free => {
                increment(&mut self.prepared, fingerprint);
                SuspectDecision::Run
            }
            RunRestriction::Refused => SuspectDecision::Refuse,
            RunRestriction::Trial if self.local_trial.is_some() || self.is_suspect_in_flight() => {
                SuspectDecision::Wait
            }
            RunRestriction::Trial => {
                self.local_trial = Some(fingerprint);
                let entry = self.entries.get(&fingerprint);
                let crashes = entry.into_iter().flat_map(|entry| &entry.crashes);
                SuspectDecision::RequestTrial(SuspectMessage::Trial {
                    fingerprint,
                    host: self.node,
                    crashes: crashes.copied().collect(),
                })
            }
        }
    }

    /// Records the coordinator's reply to a trial request, `None` when none arrived. Returns
    /// whether the request may run.
    pub fn trial_reply(
        &mut self,
        now: MonoTime,
        fingerprint: u64,
        reply: Option<&SuspectReply>,
    ) -> bool {
        // A second strike may have arrived while waiting for the coordinator's reply.
        let is_refused = self.restriction(now, fingerprint) == RunRestriction::Refused;
        let is_allowed = !is_refused && reply == Some(&SuspectReply::Granted);
        if is_allowed {
            increment(&mut self.prepared, fingerprint);
        } else {
            self.end_local_trial(fingerprint);
        }
        is_allowed
    }

    /// Whether a request that was allowed to run may still be handed over: a crash elsewhere may
    /// have given it a strike while it waited. If not, finish it with [`SuspectEnd::Unused`].
    pub fn may_run(&mut self, now: MonoTime, fingerprint: u64) -> bool {
        match self.restriction(now, fingerprint) {
            RunRestriction::Free => true,
            RunRestriction::Trial => self.local_trial == Some(fingerprint),
            RunRestriction::Refused => false,
        }
    }

    /// Marks a request as in flight, so that a crash is a strike against it. Call this before its
    /// first byte is sent.
    pub fn hand_over(&mut self, fingerprint: u64) {
        decrement(&mut self.prepared, fingerprint);
        increment(&mut self.in_flight, fingerprint);
    }

    /// Records the end of a request that was allowed to run. Returns the message to send, if any:
    /// [`SuspectMessage::Cleared`] goes to all hosts, others go to the coordinator.
    pub fn finish(&mut self, fingerprint: u64, end: SuspectEnd) -> Option<SuspectMessage> {
        if !self.remove_request(fingerprint, end) {
            // It was in flight at a crash, which has already been recorded.
            return None;
        }
        if end == SuspectEnd::Lost {
            self.unresolved_losses.insert(fingerprint);
            return None;
        }
        if end == SuspectEnd::Answered {
            self.answered.insert(fingerprint);
        }
        let was_trial = self.end_local_trial(fingerprint);
        let is_suspect = was_trial || self.entries.contains_key(&fingerprint);
        if is_suspect && end == SuspectEnd::Answered {
            self.entries.remove(&fingerprint);
            return Some(SuspectMessage::Cleared { fingerprint });
        }
        // If it was already running here when the strike arrived, the coordinator counts it as a
        // trial.
        let is_still_local = self.local_trial == Some(fingerprint) || self.is_local(fingerprint);
        let is_counted = was_trial || (is_suspect && !is_still_local);
        is_counted.then(|| self.trial_ended_message(fingerprint))
    }

    /// Resolves lost connections: `is_crash` is false if a new connection could be opened, true if
    /// the backend server crashed. Returns the messages to send. A [`SuspectMessage::Strike`] goes to
    /// all hosts; for each host that replies that it runs one of the fingerprints, send
    /// [`SuspectMessage::Running`] to the coordinator of that fingerprint. Other messages go to the
    /// coordinator.
    pub fn settle_loss(&mut self, now: MonoTime, is_crash: bool) -> Vec<SuspectMessage> {
        let mut suspects = std::mem::take(&mut self.unresolved_losses);
        if !is_crash {
            let trial = self.local_trial.filter(|local| suspects.contains(local));
            return trial
                .map(|trial| {
                    self.local_trial = None;
                    self.trial_ended_message(trial)
                })
                .into_iter()
                .collect();
        }
        suspects.extend(std::mem::take(&mut self.in_flight).into_keys());
        // A trial that was not handed over yet was not affected and ends through `finish`.
        let trial = self.local_trial.take_if(|local| suspects.contains(local));
        if suspects.is_empty() {
            return Vec::new();
        }
        self.crashes += 1;
        let crash = CrashId {
            host: self.node,
            serial: self.crashes,
        };
        let is_shared = |suspect: &u64| trial != Some(*suspect) && self.answered.contains(*suspect);
        let (answered, others): (Vec<_>, Vec<_>) = suspects.into_iter().partition(is_shared);
        let strikes = [(crash, others), (CrashId::SHARED, answered)];
        let strikes = strikes.into_iter().filter(|(_, struck)| !struck.is_empty());
        strikes
            .map(|(crash, fingerprints)| {
                self.record_strike(now, crash, &fingerprints);
                SuspectMessage::Strike {
                    crash,
                    fingerprints,
                }
            })
            .collect()
    }

    /// Message to the coordinator that the local trial ended without a result.
    fn trial_ended_message(&self, fingerprint: u64) -> SuspectMessage {
        SuspectMessage::TrialEnded {
            fingerprint,
            host: self.node,
        }
    }

    /// Handles a message of another host, or of this one, and returns the reply.
    pub fn handle(&mut self, now: MonoTime, message: &SuspectMessage) -> SuspectReply {
        match message {
            SuspectMessage::Strike {
                crash,
                fingerprints,
            } => {
                self.record_strike(now, *crash, fingerprints);
                let is_running = |fingerprint: &&u64| self.is_local(**fingerprint);
                SuspectReply::Noted(fingerprints.iter().filter(is_running).copied().collect())
            }
            SuspectMessage::Trial {
                fingerprint,
                host,
                crashes,
            } => {
                for crash in crashes {
                    self.record_strike(now, *crash, &[*fingerprint]);
                }
                self.grant_trial(now, *fingerprint, *host)
            }
            SuspectMessage::Running { fingerprint, host } => {
                // A fingerprint that was cleared meanwhile is no longer a suspect.
                if let Some(entry) = self.entries.get_mut(fingerprint) {
                    entry.trial.get_or_insert((*host, now));
                }
                SuspectReply::Noted(Vec::new())
            }
            SuspectMessage::TrialEnded { fingerprint, host } => {
                self.end_granted_trial(*fingerprint, *host);
                SuspectReply::Noted(Vec::new())
            }
            SuspectMessage::Cleared { fingerprint } => {
                self.entries.remove(fingerprint);
                SuspectReply::Noted(Vec::new())
            }
            SuspectMessage::Recall => SuspectReply::Struck(self.active_suspects(now)),
        }
    }

    /// Records the suspects that another host knew before this host joined. Their expiry starts
    /// now.
    pub fn learn(&mut self, now: MonoTime, suspects: &[(u64, Vec<CrashId>)]) {
        for (fingerprint, crashes) in suspects {
            for crash in crashes {
                self.record_strike(now, *crash, &[*fingerprint]);
            }
        }
    }

    /// Suspects with strikes that have not expired.
    fn active_suspects(&self, now: MonoTime) -> Vec<(u64, Vec<CrashId>)> {
        let entries = self.entries.iter();
        let known = entries.filter(|(_, entry)| now.since(entry.last_strike_at) < SUSPECT_EXPIRY);
        known
            .filter(|(_, entry)| !entry.crashes.is_empty())
            .map(|(fingerprint, entry)| (*fingerprint, entry.crashes.iter().copied().collect()))
            .collect()
    }

    /// As coordinator: grants a trial unless another host has one or the request is refused.
    fn grant_trial(&mut self, now: MonoTime, fingerprint: u64, host: NodeId) -> SuspectReply {
        let is_refused = self.restriction(now, fingerprint) == RunRestriction::Refused;
        let entry = self.entry(now, fingerprint);
        let active_trial = entry
            .trial
            .filter(|(_, since)| now.since(*since) < TRIAL_EXPIRY);
        if is_refused || active_trial.is_some_and(|(other, _)| other != host) {
            return SuspectReply::Denied;
        }
        entry.trial = Some((host, now));
        SuspectReply::Granted
    }

    /// How a fingerprint may run, by its strikes. Removes the suspect if they have expired.
    fn restriction(&mut self, now: MonoTime, fingerprint: u64) -> RunRestriction {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return RunRestriction::Free;
        };
        let age = now.since(entry.last_strike_at);
        if age >= SUSPECT_EXPIRY {
            self.entries.remove(&fingerprint);
            return RunRestriction::Free;
        }
        match entry.crashes.len() {
            0 => RunRestriction::Free,
            strikes if strikes < STRIKE_LIMIT => RunRestriction::Trial,
            strikes if age >= refusal_time(strikes) => RunRestriction::Trial,
            _ => RunRestriction::Refused,
        }
    }

    /// Records a strike for each of `fingerprints`, and evicts suspects above [`MAX_SUSPECTS`].
    fn record_strike(&mut self, now: MonoTime, crash: CrashId, fingerprints: &[u64]) {
        for fingerprint in fingerprints {
            let entry = self.entry(now, *fingerprint);
            if !entry.crashes.insert(crash) {
                continue;
            }
            entry.last_strike_at = now;
            if is_trial_at(entry, crash.host) {
                entry.trial = None;
            }
        }
        while self.entries.len() > MAX_SUSPECTS {
            let oldest = self
                .entries
                .iter()
                .min_by_key(|(_, entry)| entry.last_strike_at);
            let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.entries.remove(&fingerprint);
        }
    }

    /// The suspect with this fingerprint, created without strikes if needed.
    fn entry(&mut self, now: MonoTime, fingerprint: u64) -> &mut SuspectEntry {
        let entry = self.entries.entry(fingerprint);
        entry.or_insert_with(|| SuspectEntry {
            crashes: BTreeSet::new(),
            last_strike_at: now,
            trial: None,
        })
    }

    /// As coordinator: ends a trial without a result. Removes the suspect if it has no strikes.
    fn end_granted_trial(&mut self, fingerprint: u64, host: NodeId) {
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return;
        };
        if is_trial_at(entry, host) {
            entry.trial = None;
        }
        if entry.trial.is_none() && entry.crashes.is_empty() {
            self.entries.remove(&fingerprint);
        }
    }

    /// Whether a request with a strike from elsewhere still runs here, for example a hedge. A crash
    /// during a trial beside it would give it another strike.
    fn is_suspect_in_flight(&self) -> bool {
        let has_strike = |entry: &SuspectEntry| !entry.crashes.is_empty();
        let mut running = self.in_flight.keys().chain(self.prepared.keys());
        running.any(|fingerprint| self.entries.get(fingerprint).is_some_and(has_strike))
    }

    /// Whether a request with this fingerprint is in flight here or waits to be handed over.
    fn is_local(&self, fingerprint: u64) -> bool {
        self.in_flight.contains_key(&fingerprint) || self.prepared.contains_key(&fingerprint)
    }

    /// Removes a request from those in flight or waiting to be handed over. Returns whether it was
    /// there.
    fn remove_request(&mut self, fingerprint: u64, end: SuspectEnd) -> bool {
        let was_prepared = end == SuspectEnd::Unused && decrement(&mut self.prepared, fingerprint);
        was_prepared || decrement(&mut self.in_flight, fingerprint)
    }

    /// Ends the local trial if it is of this fingerprint. Returns whether it was.
    fn end_local_trial(&mut self, fingerprint: u64) -> bool {
        let was_trial = self.local_trial == Some(fingerprint);
        if was_trial {
            self.local_trial = None;
        }
        was_trial
    }
}

/// How long a request with this many strikes is refused before its next trial.
fn refusal_time(strikes: usize) -> Duration {
    let doublings = strikes.saturating_sub(STRIKE_LIMIT).min(8) as u32;
    (FIRST_REFUSAL_TIME * 2_u32.pow(doublings)).min(MAX_REFUSAL_TIME)
}

/// Whether the trial of a suspect runs at `host`.
fn is_trial_at(entry: &SuspectEntry, host: NodeId) -> bool {
    entry.trial.is_some_and(|(holder, _)| holder == host)
}

/// Increments the count of `fingerprint`.
fn increment(counts: &mut BTreeMap<u64, u32>, fingerprint: u64) {
    *counts.entry(fingerprint).or_default() += 1;
}

/// Decrements the count of `fingerprint`. Returns whether there was one.
fn decrement(counts: &mut BTreeMap<u64, u32>, fingerprint: u64) -> bool {
    let Some(count) = counts.get_mut(&fingerprint) else {
        return false;
    };
    *count -= 1;
    if *count == 0 {
        counts.remove(&fingerprint);
    }
    true
}
