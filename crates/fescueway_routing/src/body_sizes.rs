//! Mean request and response body sizes, per kind of request.

use std::collections::BTreeMap;

/// Maximum number of work kinds tracked; further ones are ignored.
const MAX_WORK_KINDS: usize = 64;

/// Weight of one sample in the exponential moving average.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;

/// Exponential moving average of the body bytes of each kind of request, keyed by work kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct BodySizes(BTreeMap<u64, f64>);

impl BodySizes {
    /// Records the body bytes of one request and its answer. Kind zero means unknown and is
    /// ignored.
    pub(crate) fn observe(&mut self, kind: u64, bytes: u64) {
        let bytes = bytes as f64;
        if let Some(mean) = self.0.get_mut(&kind) {
            *mean += (bytes - *mean) * SAMPLE_WEIGHT;
        } else if kind != 0 && self.0.len() < MAX_WORK_KINDS {
            self.0.insert(kind, bytes);
        }
    }

    /// Mean body bytes of a request of this kind and its answer, or zero if none were observed.
    pub(crate) fn mean(&self, kind: u64) -> f64 {
        self.0.get(&kind).copied().unwrap_or_default()
    }
}
