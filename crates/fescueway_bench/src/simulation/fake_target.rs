//! Simulated backend server with slots and a processor of variable speed.

/// Remaining work below which a request counts as finished; tolerates rounding errors.
const FINISHED_US: f64 = 0.01;

/// Running request.
#[derive(Clone, Copy, Debug)]
struct RunningWork {
    /// Index of the offer.
    offer: usize,
    /// Remaining work, in microseconds at full speed.
    remaining_us: f64,
    /// Whether the request ends as a failure.
    is_failure: bool,
}

/// Simulated backend server with slots and a processor of variable speed.
///
/// Up to `cores` requests run at `speed` each; above that they share the processor equally.
#[derive(Clone, Debug)]
pub struct FakeTarget {
    /// Number of requests that may run at once.
    pub slots: usize,
    /// Index of its failure domain.
    pub domain: usize,
    /// Number of requests that can run at full speed at once.
    pub cores: f64,
    /// Speed of one request, 1 for full.
    pub speed: f64,
    /// Whether it is running.
    pub is_up: bool,
    /// Whether it answers every request with an immediate failure.
    pub is_failing: bool,
    /// Counter of updates, which invalidates scheduled finish events.
    pub version: u64,
    /// Time of the last update of `running`, in microseconds.
    updated_us: u64,
    /// Running requests.
    running: Vec<RunningWork>,
}

impl FakeTarget {
    /// Creates an idle backend server at full speed.
    #[must_use]
    pub fn new(slots: usize, domain: usize) -> Self {
        Self {
            slots,
            domain,
            cores: slots as f64,
            speed: 1.0,
            is_up: true,
            is_failing: false,
            version: 0,
            updated_us: 0,
            running: Vec::new(),
        }
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Starts a request that takes `work_us` microseconds at full speed.
    pub fn start(&mut self, now_us: u64, offer: usize, work_us: f64, is_failure: bool) {
        self.advance(now_us);
        self.running.push(RunningWork {
            offer,
            remaining_us: work_us,
            is_failure,
        });
    }

    /// Stops a request before its end. Returns whether it was running.
    pub fn stop(&mut self, now_us: u64, offer: usize) -> bool {
        self.advance(now_us);
        let before = self.running.len();
        self.running.retain(|work| work.offer != offer);
        before != self.running.len()
    }

    /// Stops the server and returns the offers that were running.
    pub fn crash(&mut self, now_us: u64) -> Vec<usize> {
        self.advance(now_us);
        self.is_up = false;
        self.running.drain(..).map(|work| work.offer).collect()
    }

    /// Removes the finished requests and returns their offers, each with whether it failed.
    pub fn take_finished(&mut self, now_us: u64) -> Vec<(usize, bool)> {
        self.advance(now_us);
        self.running
            .extract_if(.., |work| work.remaining_us <= FINISHED_US)
            .map(|work| (work.offer, work.is_failure))
            .collect()
    }

    /// Returns the time at which the next request finishes, in microseconds.
    #[must_use]
    pub fn next_finish_us(&self) -> Option<u64> {
        let remaining = self.running.iter().map(|work| work.remaining_us);
        let smallest = remaining.min_by(f64::total_cmp)?;
        let wait_us = (smallest.max(0.0) / self.rate()).ceil() as u64;
        Some(self.updated_us + wait_us)
    }

    /// Updates the remaining work to `now_us`. Must be called before any change of speed.
    pub fn advance(&mut self, now_us: u64) {
        let done_us = (now_us - self.updated_us) as f64 * self.rate();
        for work in &mut self.running {
            work.remaining_us -= done_us;
        }
        self.updated_us = now_us;
        self.version += 1;
    }

    /// Returns the work done on each running request per microsecond.
    fn rate(&self) -> f64 {
        let share = self.cores / (self.running.len().max(1) as f64);
        self.speed * share.min(1.0)
    }
}
