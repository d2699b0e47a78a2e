//! How many bytes requests of each kind and their answers have.

use std::collections::BTreeMap;

/// Kinds of requests that are told apart at most.
const MAX_KINDS: usize = 64;

/// Weight of one request in the mean of its kind.
const KIND_WEIGHT: f64 = 1.0 / 16.0;

/// Mean bytes of the bodies of each kind of request, as answers tell them.
#[derive(Clone, Debug, Default)]
pub(crate) struct BodySizes(BTreeMap<u64, f64>);

impl BodySizes {
    /// Takes in the bytes of one request and its answer. Kind zero says nothing.
    pub(crate) fn learn(&mut self, kind: u64, bytes: u64) {
        let bytes = bytes as f64;
        if let Some(mean) = self.0.get_mut(&kind) {
            *mean += (bytes - *mean) * KIND_WEIGHT;
        } else if kind != 0 && self.0.len() < MAX_KINDS {
            self.0.insert(kind, bytes);
        }
    }

    /// Mean bytes of a request of this kind and its answer, zero while they aren't known.
    pub(crate) fn mean(&self, kind: u64) -> f64 {
        self.0.get(&kind).copied().unwrap_or_default()
    }
}
