//! Decides when a node asks a peer, or the store, for a proof that its configuration is the latest one.

use std::time::Duration;

use fescueway_core::BootTime;

use crate::proof_times::ProofTimes;

/// Nodes that ask the same node in normal operation, at most. Bounds the messages of a node; with two
/// hops it is enough for 600 nodes in a failure domain.
const MAX_FOLLOWERS: usize = 24;

/// Young proofs from another peer after which the usual one is asked again.
const MAX_DETOURS: u32 = 3;

/// The next step towards a proof.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProofStep {
    /// Ask a peer. The number rises with each question that yields no young proof, and selects the peer by
    /// [`asked_rank`].
    Ask(u32),
    /// Read the store.
    Read,
    /// Wait at most this long.
    Wait(Duration),
}

/// How a question to a peer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProofAnswer {
    /// The peer has a proof of this age.
    Age(Duration),
    /// The peer has no proof.
    None,
    /// The peer did not answer, or there is no peer.
    Silence,
}

/// The node's position in its failure domain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProofRole {
    /// Number of live nodes of the domain with a lower id; `None` while the node searches for the fleet.
    pub rank: Option<usize>,
    /// Number of nodes of the domain that watch the store.
    pub watchers: usize,
}

/// Decides when a node asks a peer, or the store, for a proof that its configuration is the latest one.
///
/// The first watcher of a failure domain reads the store. The others ask it, and one another if it
/// doesn't answer or has no young proof. Only watchers read the store while it seems to be the cause.
#[derive(Clone, Debug)]
pub struct ProofSchedule {
    /// The times.
    times: ProofTimes,
    /// This node's share of jitter, from 0 to 1.
    jitter: f64,
    /// When the node began to need a proof.
    started_at: BootTime,
    /// Questions in turn that yielded no young proof.
    misses: u32,
    /// Number of the next question. Stays after a young proof, so that a node whose usual peer is lost
    /// doesn't ask it in vain each time.
    number: u32,
    /// Young proofs in turn from a peer that isn't the usual one.
    detours: u32,
    /// When a peer last answered that it has no young proof.
    old_answer_at: Option<BootTime>,
    /// No question before this time.
    next_ask: BootTime,
    /// No read before this time.
    next_read: BootTime,
}

impl ProofSchedule {
    /// A schedule that begins now. `jitter` is from 0 to 1 and differs among nodes.
    #[must_use]
    pub fn new(now: BootTime, times: ProofTimes, jitter: f64) -> Self {
        Self {
            times,
            jitter,
            started_at: now,
            misses: 0,
            number: 0,
            detours: 0,
            old_answer_at: None,
            next_ask: now,
            next_read: now,
        }
    }

    /// The next step, with the time of the latest proof. A question or a read counts as begun now.
    pub fn next(
        &mut self,
        now: BootTime,
        proven_at: Option<BootTime>,
        role: ProofRole,
    ) -> ProofStep {
        let read_due = self.read_due(now, proven_at, role);
        let ask_due = self.ask_due(proven_at, role);
        // The one that has been due for longer goes first, so that neither keeps the other from its turn.
        if read_due.is_some_and(|due| due <= now && due <= ask_due) {
            let is_first = role.rank == Some(0);
            let pause = match role.rank {
                Some(rank) if rank < role.watchers && !is_first => self.times.retry_period * 4,
                _ if is_first => self.times.retry_period,
                _ => {
                    let period = self.times.silent_read_period;
                    period + period.mul_f64(self.jitter / 2.0)
                }
            };
            self.next_read = now + pause;
            return ProofStep::Read;
        }
        if ask_due <= now {
            self.next_ask = now + self.times.retry_period;
            return ProofStep::Ask(self.number);
        }
        let due = read_due.map_or(ask_due, |read_due| read_due.min(ask_due));
        ProofStep::Wait(due.since(now).min(self.times.retry_period))
    }

    /// Records how a question that was asked at `asked_at` ended.
    pub fn on_answer(&mut self, asked_at: BootTime, answer: ProofAnswer) {
        match answer {
            ProofAnswer::Age(age) if age < self.times.young_age => {
                self.misses = 0;
                self.old_answer_at = None;
                self.next_ask = asked_at + self.times.ask_period;
                self.detours += u32::from(self.number > 0);
                if self.detours >= MAX_DETOURS {
                    (self.number, self.detours) = (0, 0);
                }
                return;
            }
            ProofAnswer::Age(_) | ProofAnswer::None => self.old_answer_at = Some(asked_at),
            ProofAnswer::Silence => {}
        }
        self.misses = self.misses.saturating_add(1);
        self.number = self.number.wrapping_add(1);
        self.detours = 0;
    }

    /// When the node should ask a peer.
    fn ask_due(&self, proven_at: Option<BootTime>, role: ProofRole) -> BootTime {
        match proven_at {
            // The first watcher asks only when its reads fail.
            Some(proven_at) if role.rank == Some(0) => {
                self.next_ask.max(proven_at + self.times.read_age * 2)
            }
            _ => self.next_ask,
        }
    }

    /// When the node should read the store; `None` if it should not.
    fn read_due(
        &self,
        now: BootTime,
        proven_at: Option<BootTime>,
        role: ProofRole,
    ) -> Option<BootTime> {
        let times = &self.times;
        let rank = role.rank?;
        let start = proven_at.unwrap_or(self.started_at).max(self.started_at);
        let due = if rank == 0 {
            proven_at.map_or(now, |proven_at| proven_at + times.read_age)
        } else if self.misses == 0 {
            return None;
        } else if rank < role.watchers {
            start + times.watcher_read_age + times.watcher_step * (rank as u32 - 1)
        } else if self.is_store_the_cause(now) {
            return None;
        } else {
            let age = times.silent_read_age;
            start + age + (age / 5).mul_f64(self.jitter)
        };
        Some(due.max(self.next_read))
    }

    /// Whether a peer has lately answered that it has no young proof: then the store is the cause, and
    /// the watchers are already trying.
    fn is_store_the_cause(&self, now: BootTime) -> bool {
        let memory = self.times.retry_period * 5;
        self.old_answer_at
            .is_some_and(|answered_at| now.since(answered_at) < memory)
    }
}

/// The rank of the peer to ask, in a failure domain of `count` nodes, by the number of the question that
/// [`ProofStep::Ask`] gives; `None` for a random node of the fleet.
///
/// The usual peer, another watcher of the domain and a random node of the fleet take turns.
#[must_use]
pub fn asked_rank(number: u32, own_rank: usize, count: usize, watchers: usize) -> Option<usize> {
    let others = count.checked_sub(1)?.min(watchers);
    let turn = (number / 3) as usize;
    let index = match number % 3 {
        // The first watcher asks the second one.
        0 if own_rank == 0 => 0,
        0 => (own_rank - 1) / MAX_FOLLOWERS,
        // Begins at another watcher at each rank, so that those share the load.
        1 if others > 0 => (own_rank + turn) % others,
        _ => return None,
    };
    // The nodes are counted without this one.
    let rank = index + usize::from(index >= own_rank);
    (rank < count).then_some(rank)
}
