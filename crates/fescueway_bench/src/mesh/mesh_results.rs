//! Results of a run.

use std::collections::BTreeMap;

use fescueway_core::RefusalReason;

/// Requests of one kind by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct KindTally {
    /// Requests that callers made, without their later tries.
    pub asked: u64,
    /// Answered within the objective.
    pub in_time: u64,
    /// Answered after the objective.
    pub late: u64,
    /// Refused at the last try.
    pub refused: u64,
    /// Failed at the last try, or not answered before the deadline.
    pub failed: u64,
}

/// Requests of one second by outcome, counted where they were first asked.
pub type SecondTally = BTreeMap<u64, KindTally>;

/// Slot time of a service's targets in the measured part of a run, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotAccount {
    /// Slots that may be used, free at undisturbed targets.
    pub free: f64,
    /// Slots that may be used, free at disturbed targets.
    pub free_disturbed: f64,
    /// Runs that ended within their objective.
    pub in_time: f64,
    /// Runs that ended after their objective.
    pub late: f64,
    /// Runs that failed because of a nested call.
    pub failed: f64,
    /// Runs whose caller left before their end.
    pub cancelled: f64,
}

/// Results of one or more runs.
#[derive(Clone, Debug)]
pub struct MeshResults {
    /// Requests of callers by kind.
    pub kinds: BTreeMap<&'static str, KindTally>,
    /// Requests of callers by second.
    pub seconds: SecondTally,
    /// Offers to hosts.
    pub offers: u64,
    /// Runs that began.
    pub runs: u64,
    /// Refused offers by reason.
    pub refused_offers: BTreeMap<RefusalReason, u64>,
    /// Requests and calls that their entry gave up, by the reason of the last refusal.
    pub given_up: BTreeMap<RefusalReason, u64>,
    /// Nested calls that failed, were refused or expired.
    pub lost_calls: u64,
    /// Nested calls.
    pub calls: u64,
    /// Runs of repeated requests, also those that the backend server refused.
    pub repeats: u64,
    /// Non-idempotent requests that ran more than once in one try.
    pub doubled: u64,
    /// Requests answered as not run that had run.
    pub refused_but_run: u64,
    /// Runs at the busiest target of each service over the mean of its targets.
    pub busiest: Vec<f64>,
    /// Slot time of each service.
    pub slots: Vec<SlotAccount>,
    /// Largest number of repeats at a service above what its requests allow in any window.
    pub repeat_excess: f64,
}

impl KindTally {
    /// Share of the requests answered within the objective.
    #[must_use]
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.asked.max(1) as f64
    }

    /// Adds the counts of another tally.
    pub fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
    }
}

impl SlotAccount {
    /// Adds the slot time of another account.
    pub fn add(&mut self, other: Self) {
        self.free += other.free;
        self.free_disturbed += other.free_disturbed;
        self.in_time += other.in_time;
        self.late += other.late;
        self.failed += other.failed;
        self.cancelled += other.cancelled;
    }

    /// Each use as a share of all, in the order of the fields.
    #[must_use]
    pub fn shares(&self) -> [f64; 6] {
        let parts = [
            self.free,
            self.free_disturbed,
            self.in_time,
            self.late,
            self.failed,
            self.cancelled,
        ];
        let sum: f64 = parts.iter().sum();
        parts.map(|part| part / sum.max(f64::MIN_POSITIVE))
    }
}

impl Default for MeshResults {
    fn default() -> Self {
        Self {
            kinds: BTreeMap::new(),
            seconds: SecondTally::new(),
            offers: 0,
            runs: 0,
            refused_offers: BTreeMap::new(),
            given_up: BTreeMap::new(),
            lost_calls: 0,
            calls: 0,
            repeats: 0,
            doubled: 0,
            refused_but_run: 0,
            busiest: Vec::new(),
            slots: Vec::new(),
            repeat_excess: f64::NEG_INFINITY,
        }
    }
}

impl MeshResults {
    /// All requests together.
    #[must_use]
    pub fn total(&self) -> KindTally {
        let mut total = KindTally::default();
        for tally in self.kinds.values() {
            total.add(*tally);
        }
        total
    }

    /// Refused offers per run.
    #[must_use]
    pub fn refused_per_run(&self) -> f64 {
        let refused: u64 = self.refused_offers.values().sum();
        refused as f64 / self.runs.max(1) as f64
    }

    /// Adds the results of another run.
    pub fn merge(&mut self, other: &Self) {
        for (kind, tally) in &other.kinds {
            self.kinds.entry(kind).or_default().add(*tally);
        }
        for (second, tally) in &other.seconds {
            self.seconds.entry(*second).or_default().add(*tally);
        }
        for (reason, count) in &other.refused_offers {
            *self.refused_offers.entry(*reason).or_default() += count;
        }
        for (reason, count) in &other.given_up {
            *self.given_up.entry(*reason).or_default() += count;
        }
        self.offers += other.offers;
        self.runs += other.runs;
        self.lost_calls += other.lost_calls;
        self.calls += other.calls;
        self.repeats += other.repeats;
        self.repeat_excess = self.repeat_excess.max(other.repeat_excess);
        self.doubled += other.doubled;
        self.refused_but_run += other.refused_but_run;
        self.slots.resize(other.slots.len(), SlotAccount::default());
        for (mine, theirs) in self.slots.iter_mut().zip(&other.slots) {
            mine.add(*theirs);
        }
        self.busiest.resize(other.busiest.len(), 0.0);
        for (mine, theirs) in self.busiest.iter_mut().zip(&other.busiest) {
            *mine = mine.max(*theirs);
        }
    }
}
