//! Repeats and requests of one service over time.

/// Length of one bin, in microseconds.
const BIN_US: u64 = 100_000;

/// Number of bins in the window in which repeats are limited.
const WINDOW_BINS: usize = 100;

/// Repeats that a window allows, as a share of its requests.
const REPEAT_RATIO: f64 = 0.2;

/// Requests for one service and repeats at it, in bins.
#[derive(Clone, Debug, Default)]
pub(super) struct RepeatLedger {
    /// Requests and repeats of each bin.
    bins: Vec<(f64, f64)>,
}

impl RepeatLedger {
    /// Counts a request.
    pub(super) fn count_request(&mut self, now_us: u64) {
        self.bin_mut(now_us).0 += 1.0;
    }

    /// Counts a repeat: an arrival at a backend server beyond the first of its request, or a call
    /// that a repeated run makes.
    pub(super) fn count_repeat(&mut self, now_us: u64) {
        self.bin_mut(now_us).1 += 1.0;
    }

    /// Largest number of repeats above what is allowed, over all windows. A window allows a share of
    /// its requests, of those of the window before or of the one half a window before, whichever has
    /// most, and `slack` repeats.
    pub(super) fn excess(&self, slack: f64) -> f64 {
        let requests_from = |start: usize| -> f64 {
            let bins = self.bins.iter().skip(start).take(WINDOW_BINS);
            bins.map(|bin| bin.0).sum()
        };
        let starts = 0..self.bins.len();
        let excesses = starts.map(|start| {
            let repeats: f64 = self.bins[start..]
                .iter()
                .take(WINDOW_BINS)
                .map(|bin| bin.1)
                .sum();
            let earlier = [0, WINDOW_BINS / 2, WINDOW_BINS];
            let candidates = earlier.map(|bins| requests_from(start.saturating_sub(bins)));
            let requests = candidates.into_iter().fold(0.0, f64::max);
            repeats - REPEAT_RATIO * requests - slack
        });
        excesses.fold(f64::NEG_INFINITY, f64::max)
    }

    /// The bin of a time.
    fn bin_mut(&mut self, now_us: u64) -> &mut (f64, f64) {
        let index = (now_us / BIN_US) as usize;
        if self.bins.len() <= index {
            self.bins.resize(index + 1, (0.0, 0.0));
        }
        &mut self.bins[index]
    }
}
