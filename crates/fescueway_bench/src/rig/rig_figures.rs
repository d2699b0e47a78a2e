//! What a run measured.

/// What one or more runs of one policy measured.
#[derive(Clone, Debug, Default)]
pub struct RigFigures {
    /// Latency of each answered read, in microseconds.
    pub latencies_us: Vec<u64>,
    /// Latency of each answered read less its own service time at full speed, in microseconds.
    pub extras_us: Vec<u64>,
    /// Requests, bookings included.
    pub requests: u64,
    /// Requests answered well and in time.
    pub in_time: u64,
    /// Requests that were refused in the end.
    pub refused: u64,
    /// Requests that failed or whose outcome is unknown.
    pub failed: u64,
    /// Offers to hosts.
    pub offers: u64,
    /// Bookings that ran twice.
    pub doubled: u64,
    /// Requests refused as not run that ran.
    pub refused_but_run: u64,
    /// Requests that began to run at a target after it was told to drain.
    pub run_after_drain: u64,
}

/// The value at `share` of the sorted `values`, zero when there are none.
fn quantile(values: &[u64], share: f64) -> u64 {
    let rank = (values.len() as f64 * share).ceil() as usize;
    values.get(rank.saturating_sub(1)).copied().unwrap_or(0)
}

impl RigFigures {
    /// Adds another run's figures.
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

    /// Sorts the samples, so that quantiles can be read.
    pub fn sort(&mut self) {
        self.latencies_us.sort_unstable();
        self.extras_us.sort_unstable();
    }

    /// A quantile of the latency, in milliseconds. The samples have to be sorted.
    #[must_use]
    pub fn latency_ms(&self, share: f64) -> f64 {
        quantile(&self.latencies_us, share) as f64 / 1_000.0
    }

    /// A quantile of the extra time, in milliseconds. The samples have to be sorted.
    #[must_use]
    pub fn extra_ms(&self, share: f64) -> f64 {
        quantile(&self.extras_us, share) as f64 / 1_000.0
    }

    /// Share of the requests that were answered well and in time.
    #[must_use]
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.requests.max(1) as f64
    }

    /// Share of the requests that were refused in the end.
    #[must_use]
    pub fn refused_share(&self) -> f64 {
        self.refused as f64 / self.requests.max(1) as f64
    }

    /// Offers to hosts for each request.
    #[must_use]
    pub fn offers_per_request(&self) -> f64 {
        self.offers as f64 / self.requests.max(1) as f64
    }
}
