//! Remembers which requests a backend server answered lately.

use std::collections::BTreeSet;

/// Number of fingerprints after which the older half is forgotten.
const MAX_PER_GENERATION: usize = 1_024;

/// The fingerprints of requests that a backend server answered lately: at least the last
/// [`MAX_PER_GENERATION`] different ones, and at most twice as many.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnsweredRequests {
    /// The latest ones, at most [`MAX_PER_GENERATION`].
    latest: BTreeSet<u64>,
    /// Those before, at most [`MAX_PER_GENERATION`].
    former: BTreeSet<u64>,
}

impl AnsweredRequests {
    /// Records an answer.
    pub(crate) fn insert(&mut self, fingerprint: u64) {
        self.latest.insert(fingerprint);
        if self.latest.len() >= MAX_PER_GENERATION {
            self.former = std::mem::take(&mut self.latest);
        }
    }

    /// Whether the request was answered lately.
    pub(crate) fn contains(&self, fingerprint: u64) -> bool {
        self.latest.contains(&fingerprint) || self.former.contains(&fingerprint)
    }
}
