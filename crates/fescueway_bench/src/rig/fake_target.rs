//! A backend server with slots and a processor whose speed changes.

/// Work below this many microseconds counts as done.
const DONE_US: f64 = 0.01;

/// One request that runs.
#[derive(Clone, Copy, Debug)]
struct RunningWork {
    /// The offer.
    offer: usize,
    /// Work left, in microseconds at full speed.
    left_us: f64,
    /// Whether it ends as a failure.
    is_failure: bool,
}

/// A backend server with slots and a processor whose speed changes.
///
/// Up to `cores` requests run at `speed` each; more than that share the processor.
#[derive(Clone, Debug)]
pub struct FakeTarget {
    /// Requests that may run at once.
    pub slots: usize,
    /// Index of its failure domain.
    pub domain: usize,
    /// Requests that run at full speed at once.
    pub cores: f64,
    /// Speed of one request, 1 for full.
    pub speed: f64,
    /// Whether it answers at all.
    pub is_up: bool,
    /// Whether it answers everything at once with a failure.
    pub is_failing: bool,
    /// Counts changes of the schedule.
    pub version: u64,
    /// When `running` was last brought up to date, in microseconds.
    updated_us: u64,
    /// What runs.
    running: Vec<RunningWork>,
}

impl FakeTarget {
    /// An idle backend server at full speed.
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

    /// Requests that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Starts a request of `work_us` microseconds at full speed.
    pub fn start(&mut self, now_us: u64, offer: usize, work_us: f64, is_failure: bool) {
        self.advance(now_us);
        self.running.push(RunningWork {
            offer,
            left_us: work_us,
            is_failure,
        });
    }

    /// Stops a request before its end. Whether it was running.
    pub fn stop(&mut self, now_us: u64, offer: usize) -> bool {
        self.advance(now_us);
        let before = self.running.len();
        self.running.retain(|work| work.offer != offer);
        before != self.running.len()
    }

    /// Stops everything and returns the offers.
    pub fn crash(&mut self, now_us: u64) -> Vec<usize> {
        self.advance(now_us);
        self.is_up = false;
        self.running.drain(..).map(|work| work.offer).collect()
    }

    /// Takes out the requests that are done: the offers, and whether each failed.
    pub fn take_done(&mut self, now_us: u64) -> Vec<(usize, bool)> {
        self.advance(now_us);
        self.running
            .extract_if(.., |work| work.left_us <= DONE_US)
            .map(|work| (work.offer, work.is_failure))
            .collect()
    }

    /// When the next request is done, in microseconds.
    #[must_use]
    pub fn next_done(&self) -> Option<u64> {
        let lefts = self.running.iter().map(|work| work.left_us);
        let least = lefts.min_by(f64::total_cmp)?;
        let wait_us = (least.max(0.0) / self.rate()).ceil() as u64;
        Some(self.updated_us + wait_us)
    }

    /// Lets the time until `now_us` pass. To be called before any change of speed.
    pub fn advance(&mut self, now_us: u64) {
        let done_us = (now_us - self.updated_us) as f64 * self.rate();
        for work in &mut self.running {
            work.left_us -= done_us;
        }
        self.updated_us = now_us;
        self.version += 1;
    }

    /// Work done on each running request in a microsecond.
    fn rate(&self) -> f64 {
        let share = self.cores / (self.running.len().max(1) as f64);
        self.speed * share.min(1.0)
    }
}
