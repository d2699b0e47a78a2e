//! Results of a run.

/// Results of one or more runs of one policy.
#[derive(Clone, Debug, Default)]
pub struct SimResults {
    /// Latency of each answered idempotent request, in microseconds.
    pub latencies_us: Vec<u64>,
    /// Latency of each answered idempotent request minus its service time at full speed, in
    /// microseconds.
    pub extras_us: Vec<u64>,
    /// Number of requests, non-idempotent ones included.
    pub requests: u64,
    /// Number of requests answered successfully within the caller's timeout.
    pub in_time: u64,
    /// Number of requests finally refused.
    pub refused: u64,
    /// Number of requests that failed or whose outcome is unknown.
    pub failed: u64,
    /// Number of offers to hosts.
    pub offers: u64,
    /// Number of non-idempotent requests that ran more than once.
    pub doubled: u64,
    /// Number of requests refused as not run that had run.
    pub refused_but_run: u64,
    /// Number of requests started at a target after its drain began.
    pub run_after_drain: u64,
}

/// Returns the quantile `share` of the sorted `values`, zero when there are none.
fn quantile(values: &[u64], share: f64) -> u64 {
    let rank = (values.len() as f64 * share).ceil() as usize;
    values.get(rank.saturating_sub(1)).copied().unwrap_or(0)
}

impl SimResults {
    /// Adds the results of another run.
    pub fn merge(&mut self, other: Self) {
        self.latencies_us.extend(other.latencies_us);
        self.extras_us.extend(other.extras_us);
        self.requests += other.requests;
        self.in_time += other.in_time;
        self.refused += other.refused;
        self.failed += other.failed;
        self.offers += other.offers;
        self.doubled += other.doubled;
        self.refused_but_run += other.refused_but_run;
        self.run_after_drain += other.run_after_drain;
    }

    /// Sorts the samples, as the quantiles require.
    pub fn sort(&mut self) {
        self.latencies_us.sort_unstable();
        self.extras_us.sort_unstable();
    }

    /// Returns a quantile of the latency, in milliseconds. The samples must be sorted.
    #[must_use]
    pub fn latency_ms(&self, share: f64) -> f64 {
        quantile(&self.latencies_us, share) as f64 / 1_000.0
    }

    /// Returns a quantile of the latency beyond the service time, in milliseconds. The samples must
    /// be sorted.
    #[must_use]
    pub fn extra_ms(&self, share: f64) -> f64 {
        quantile(&self.extras_us, share) as f64 / 1_000.0
    }

    /// Returns the share of the requests answered successfully within the caller's timeout.
    #[must_use]
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.requests.max(1) as f64
    }

    /// Returns the share of the requests finally refused.
    #[must_use]
    pub fn refused_share(&self) -> f64 {
        self.refused as f64 / self.requests.max(1) as f64
    }

    /// Returns the mean number of offers per request.
    #[must_use]
    pub fn offers_per_request(&self) -> f64 {
        self.offers as f64 / self.requests.max(1) as f64
    }
}
