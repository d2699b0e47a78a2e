//! Requests that were in flight when backend servers crashed.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fescueway_core::{MonoTime, NodeId};

use crate::{CrashId, SuspectDecision, SuspectEnd, SuspectMessage, SuspectReply};

/// Crashes after which a request is refused.
const MAX_CRASHES: usize = 2;

/// How long a suspect is remembered after its last strike.
const SUSPECT_EXPIRY: Duration = Duration::from_mins(10);

/// A trial whose host doesn't tell its end is given up after this.
const TRIAL_EXPIRY: Duration = Duration::from_mins(1);

/// Suspects held at once. The oldest go first.
const MAX_SUSPECTS: usize = 4_096;

/// One fingerprint that was in flight at a crash.
#[derive(Clone, Debug)]
struct SuspectEntry {
    /// The crashes.
    crashes: BTreeSet<CrashId>,
    /// The last of them.
    struck_at: MonoTime,
    /// Where it runs alone, as its coordinator knows.
    trial: Option<(NodeId, MonoTime)>,
}

/// Requests that were in flight when backend servers of one service crashed, by fingerprint.
///
/// A fingerprint without strikes runs freely. With one strike, or after a lost answer, it runs once at a time in the whole
/// service: its coordinator, one of the hosts, grants the trials, and a host runs one trial at a
/// time, so that an innocent isn't struck again beside a guilty one. With two strikes it is
/// refused everywhere. An answer of a backend server clears it.
#[derive(Clone, Debug)]
pub struct SuspectList {
    /// This node.
    node: NodeId,
    /// Suspects.
    entries: BTreeMap<u64, SuspectEntry>,
    /// Requests that will be handed over when they have a connection, by fingerprint. Never zero.
    prepared: BTreeMap<u64, u32>,
    /// Requests in flight at the own backend server, by fingerprint. Never zero.
    in_flight: BTreeMap<u64, u32>,
    /// Requests whose connection was lost, by what is not settled yet.
    lost: BTreeSet<u64>,
    /// The suspect that runs or asks for its trial here.
    own_trial: Option<u64>,
    /// Crashes of the own backend server so far.
    crashes: u64,
}

impl SuspectList {
    /// A list without suspects.
    #[must_use]
    pub fn new(node: NodeId) -> Self {
        Self {
            node,
            entries: BTreeMap::new(),
            prepared: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            lost: BTreeSet::new(),
            own_trial: None,
            crashes: 0,
        }
    }

    /// The host of `hosts` that grants the trials of a fingerprint. The same on every node that
    /// sees the same hosts.
    #[must_use]
    pub fn coordinator(
        fingerprint: u64,
        hosts: impl IntoIterator<Item = NodeId>,
    ) -> Option<NodeId> {
        let rank = |host: &NodeId| (fingerprint ^ host.0).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 7;
        hosts.into_iter().max_by_key(|host| (rank(host), *host))
    }

    /// Suspects held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no suspects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    // --- The own backend server ---

    /// A request is about to be handed to the own backend server. `lost_runs` are its earlier
    /// hand-overs whose answer was lost: word of a crash may still be on its way.
    pub fn begin(&mut self, now: MonoTime, fingerprint: u64, lost_runs: u8) -> SuspectDecision {
        let strikes = self.strikes(now, fingerprint);
        match strikes.max(usize::from(lost_runs)) {
            0 => {
                count_up(&mut self.prepared, fingerprint);
                SuspectDecision::Run
            }
            strikes if strikes >= MAX_CRASHES => SuspectDecision::Refuse,
            _ if self.own_trial.is_some() || self.is_suspect_in_flight() => SuspectDecision::Wait,
            _ => {
                self.own_trial = Some(fingerprint);
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

    /// The coordinator's reply, `None` when none came. Returns whether the request runs.
    pub fn trial_reply(
        &mut self,
        now: MonoTime,
        fingerprint: u64,
        reply: Option<&SuspectReply>,
    ) -> bool {
        // A second strike may have come while the coordinator was asked.
        let is_below = self.strikes(now, fingerprint) < MAX_CRASHES;
        let is_run = is_below && reply == Some(&SuspectReply::Granted);
        if is_run {
            count_up(&mut self.prepared, fingerprint);
        } else {
            self.end_trial(fingerprint);
        }
        is_run
    }

    /// Whether a request that was to run, and waited since, may still be handed over: a crash
    /// elsewhere may have struck it meanwhile. If not, it ends as [`SuspectEnd::Unused`].
    pub fn may_run(&mut self, now: MonoTime, fingerprint: u64) -> bool {
        match self.strikes(now, fingerprint) {
            0 => true,
            strikes => strikes < MAX_CRASHES && self.own_trial == Some(fingerprint),
        }
    }

    /// From now on a byte of the request may have been sent, so that a crash strikes it.
    pub fn hand_over(&mut self, fingerprint: u64) {
        count_down(&mut self.prepared, fingerprint);
        count_up(&mut self.in_flight, fingerprint);
    }

    /// A request that was to run ended. Returns what to tell: [`SuspectMessage::Cleared`] goes to all
    /// hosts, the rest to the coordinator.
    pub fn finish(&mut self, fingerprint: u64, end: SuspectEnd) -> Option<SuspectMessage> {
        if !self.leave(fingerprint, end) {
            // It was in flight at a crash, which settled it.
            return None;
        }
        if end == SuspectEnd::Lost {
            self.lost.insert(fingerprint);
            return None;
        }
        let was_trial = self.end_trial(fingerprint);
        let is_suspect = was_trial || self.entries.contains_key(&fingerprint);
        if is_suspect && end == SuspectEnd::Answered {
            self.entries.remove(&fingerprint);
            return Some(SuspectMessage::Cleared { fingerprint });
        }
        // One that was to run when word of the crash came counts as a trial elsewhere.
        let is_left = self.own_trial == Some(fingerprint) || self.is_here(fingerprint);
        let is_counted = was_trial || (is_suspect && !is_left);
        is_counted.then(|| self.trial_ended(fingerprint))
    }

    /// After a lost connection another one could be opened, or not because the backend server
    /// crashed. Returns what to tell: [`SuspectMessage::Strike`] goes to all hosts, and those that
    /// reply that they run one of the fingerprints are told to its coordinator as
    /// [`SuspectMessage::Running`]; the rest goes to the coordinator.
    pub fn settle_loss(&mut self, now: MonoTime, is_crash: bool) -> Option<SuspectMessage> {
        let mut struck = std::mem::take(&mut self.lost);
        if !is_crash {
            let trial = self.own_trial.filter(|own| struck.contains(own))?;
            self.own_trial = None;
            return Some(self.trial_ended(trial));
        }
        struck.extend(std::mem::take(&mut self.in_flight).into_keys());
        // A trial that was not handed over yet ends by itself.
        self.own_trial = self.own_trial.filter(|own| !struck.contains(own));
        if struck.is_empty() {
            return None;
        }
        self.crashes += 1;
        let crash = CrashId {
            host: self.node,
            serial: self.crashes,
        };
        let fingerprints: Vec<_> = struck.into_iter().collect();
        self.strike(now, crash, &fingerprints);
        Some(SuspectMessage::Strike {
            crash,
            fingerprints,
        })
    }

    /// Tells the coordinator that the own trial ended without showing anything.
    fn trial_ended(&self, fingerprint: u64) -> SuspectMessage {
        SuspectMessage::TrialEnded {
            fingerprint,
            host: self.node,
        }
    }

    // --- Other hosts ---

    /// Answers another host, or this one.
    pub fn handle(&mut self, now: MonoTime, message: &SuspectMessage) -> SuspectReply {
        match message {
            SuspectMessage::Strike {
                crash,
                fingerprints,
            } => {
                self.strike(now, *crash, fingerprints);
                let is_running = |print: &&u64| self.is_here(**print);
                SuspectReply::Noted(fingerprints.iter().filter(is_running).copied().collect())
            }
            SuspectMessage::Trial {
                fingerprint,
                host,
                crashes,
            } => {
                for crash in crashes {
                    self.strike(now, *crash, &[*fingerprint]);
                }
                self.grant(now, *fingerprint, *host)
            }
            SuspectMessage::Running { fingerprint, host } => {
                // One that was cleared meanwhile is no suspect any more.
                if let Some(entry) = self.entries.get_mut(fingerprint) {
                    entry.trial.get_or_insert((*host, now));
                }
                SuspectReply::Noted(Vec::new())
            }
            SuspectMessage::TrialEnded { fingerprint, host } => {
                self.close_trial(*fingerprint, *host);
                SuspectReply::Noted(Vec::new())
            }
            SuspectMessage::Cleared { fingerprint } => {
                self.entries.remove(fingerprint);
                SuspectReply::Noted(Vec::new())
            }
            SuspectMessage::Recall => SuspectReply::Struck(self.struck(now)),
        }
    }

    /// Takes in what another host knew before this one was there. It is remembered as if it had
    /// struck now.
    pub fn learn(&mut self, now: MonoTime, struck: &[(u64, Vec<CrashId>)]) {
        for (fingerprint, crashes) in struck {
            for crash in crashes {
                self.strike(now, *crash, &[*fingerprint]);
            }
        }
    }

    /// What has struck and is not forgotten.
    fn struck(&self, now: MonoTime) -> Vec<(u64, Vec<CrashId>)> {
        let entries = self.entries.iter();
        let known = entries.filter(|(_, entry)| now.since(entry.struck_at) < SUSPECT_EXPIRY);
        known
            .filter(|(_, entry)| !entry.crashes.is_empty())
            .map(|(fingerprint, entry)| (*fingerprint, entry.crashes.iter().copied().collect()))
            .collect()
    }

    /// As coordinator: lets a suspect run once at a time.
    fn grant(&mut self, now: MonoTime, fingerprint: u64, host: NodeId) -> SuspectReply {
        let strikes = self.strikes(now, fingerprint);
        let entry = self.entry(now, fingerprint);
        let open = entry
            .trial
            .filter(|(_, since)| now.since(*since) < TRIAL_EXPIRY);
        if strikes >= MAX_CRASHES || open.is_some_and(|(other, _)| other != host) {
            return SuspectReply::Denied;
        }
        entry.trial = Some((host, now));
        SuspectReply::Granted
    }

    // --- Parts ---

    /// Strikes of a fingerprint that are not forgotten.
    fn strikes(&mut self, now: MonoTime, fingerprint: u64) -> usize {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return 0;
        };
        if now.since(entry.struck_at) < SUSPECT_EXPIRY {
            return entry.crashes.len();
        }
        self.entries.remove(&fingerprint);
        0
    }

    /// Notes a crash for each of `fingerprints`.
    fn strike(&mut self, now: MonoTime, crash: CrashId, fingerprints: &[u64]) {
        for fingerprint in fingerprints {
            let entry = self.entry(now, *fingerprint);
            if !entry.crashes.insert(crash) {
                continue;
            }
            entry.struck_at = now;
            if is_trial_at(entry, crash.host) {
                entry.trial = None;
            }
        }
        while self.entries.len() > MAX_SUSPECTS {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.struck_at);
            let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.entries.remove(&fingerprint);
        }
    }

    /// The suspect with this fingerprint, without strikes at first.
    fn entry(&mut self, now: MonoTime, fingerprint: u64) -> &mut SuspectEntry {
        let entry = self.entries.entry(fingerprint);
        entry.or_insert_with(|| SuspectEntry {
            crashes: BTreeSet::new(),
            struck_at: now,
            trial: None,
        })
    }

    /// As coordinator: a trial showed nothing. What never struck is no suspect any more.
    fn close_trial(&mut self, fingerprint: u64, host: NodeId) {
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

    /// Whether a request that was struck elsewhere still runs here, a hedge for example. A trial
    /// beside it could strike it once more.
    fn is_suspect_in_flight(&self) -> bool {
        let is_struck = |entry: &SuspectEntry| !entry.crashes.is_empty();
        let mut running = self.in_flight.keys().chain(self.prepared.keys());
        running.any(|fingerprint| self.entries.get(fingerprint).is_some_and(is_struck))
    }

    /// Whether a request with this fingerprint is in flight here, or waits to be handed over.
    fn is_here(&self, fingerprint: u64) -> bool {
        self.in_flight.contains_key(&fingerprint) || self.prepared.contains_key(&fingerprint)
    }

    /// Takes a request out of flight, or out of those that wait for a connection. Says whether it
    /// was there.
    fn leave(&mut self, fingerprint: u64, end: SuspectEnd) -> bool {
        let was_prepared = end == SuspectEnd::Unused && count_down(&mut self.prepared, fingerprint);
        was_prepared || count_down(&mut self.in_flight, fingerprint)
    }

    /// Ends the own trial, if it is of this fingerprint.
    fn end_trial(&mut self, fingerprint: u64) -> bool {
        let was_trial = self.own_trial == Some(fingerprint);
        if was_trial {
            self.own_trial = None;
        }
        was_trial
    }
}

/// Whether the trial of a suspect runs at `host`.
fn is_trial_at(entry: &SuspectEntry, host: NodeId) -> bool {
    entry.trial.is_some_and(|(holder, _)| holder == host)
}

/// Counts one more of `fingerprint`.
fn count_up(counts: &mut BTreeMap<u64, u32>, fingerprint: u64) {
    *counts.entry(fingerprint).or_default() += 1;
}

/// Counts one less of `fingerprint`. Says whether there was one.
fn count_down(counts: &mut BTreeMap<u64, u32>, fingerprint: u64) -> bool {
    let Some(count) = counts.get_mut(&fingerprint) else {
        return false;
    };
    *count -= 1;
    if *count == 0 {
        counts.remove(&fingerprint);
    }
    true
}
