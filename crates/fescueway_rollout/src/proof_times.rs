//! The times at which a node renews its proof, as shares of the bound on its age.

use std::time::Duration;

/// The bound of deployments that only learn of evacuations.
const EVACUATION_BOUND: Duration = Duration::from_secs(5);

/// Smallest margin for the granularity of the clock and of times in messages.
const MIN_MARGIN: Duration = Duration::from_millis(20);

/// The times at which a node renews its proof, as shares of the bound on its age.
///
/// With a bound of 5 s, a proof is at most about 1.2 s old while everything works: 0.5 s at the first
/// watcher, and 0.6 s more at the node that asks it. So a machine is served on through 2.9 s without any
/// path, and has 0.8 s to renew its proof afterwards.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProofTimes {
    /// A proof is valid below this age. The margin covers that clocks may run 1 % apart.
    pub limit: Duration,
    /// Age at which the first watcher of a failure domain reads the store.
    pub read_age: Duration,
    /// Time between two questions of a node whose proof is young.
    pub ask_period: Duration,
    /// Time between two questions, or two reads of the first watcher, while they don't yield a young proof.
    pub retry_period: Duration,
    /// Timeout of a question and of a read.
    pub timeout: Duration,
    /// Answers with a proof below this age are young.
    pub young_age: Duration,
    /// Age at which the second watcher reads the store, if those that it asked have no young proof.
    pub watcher_read_age: Duration,
    /// Each further watcher does so this much later.
    pub watcher_step: Duration,
    /// Age at which any other node reads the store, if none that it asked answered.
    pub silent_read_age: Duration,
    /// Time between two such reads, before jitter.
    pub silent_read_period: Duration,
}

impl ProofTimes {
    /// The times for a bound on the age of proofs.
    #[must_use]
    pub fn for_bound(bound: Duration) -> Self {
        Self {
            limit: bound.saturating_sub((bound / 100).max(MIN_MARGIN)),
            read_age: bound / 10,
            ask_period: bound / 8,
            retry_period: bound / 20,
            timeout: bound / 16,
            young_age: bound * 2 / 5,
            watcher_read_age: bound * 7 / 25,
            watcher_step: bound / 40,
            silent_read_age: bound / 2,
            silent_read_period: bound / 8,
        }
    }

    /// The times of a node that only has to learn of evacuations. The first watcher's polls are proof
    /// enough: it makes no reads while they are answered.
    #[must_use]
    pub fn for_evacuations() -> Self {
        Self {
            read_age: EVACUATION_BOUND * 11 / 20,
            ask_period: EVACUATION_BOUND / 5,
            young_age: EVACUATION_BOUND * 4 / 5,
            watcher_read_age: EVACUATION_BOUND * 4 / 5,
            silent_read_age: EVACUATION_BOUND * 4 / 5,
            ..Self::for_bound(EVACUATION_BOUND)
        }
    }
}
