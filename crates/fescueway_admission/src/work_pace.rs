//! The pace of work at a backend server whose VM has neighbours.

use std::time::Duration;

use fescueway_core::MonoTime;

/// How long a report of the pace of work holds. Neighbours come and go within some hundred
/// milliseconds.
pub(crate) const PACE_LIFE: Duration = Duration::from_millis(300);

/// Age from which a report of the pace of work is too old to begin work by: a new one is asked for first.
const FRESH_AGE: Duration = Duration::from_millis(15);

/// Longest wait for a new report.
const QUESTION_PATIENCE: Duration = Duration::from_millis(20);

/// Time between questions while work waits for the end of a disturbance.
const DISTURBED_INTERVAL: Duration = Duration::from_millis(25);

/// Pace from which the backend server is disturbed, as a multiple of its lasting pace.
const DISTURBED_FACTOR: f64 = 1.25;

/// Half of the time over which the lasting pace is the best one that was told.
const LASTING_SPAN: Duration = Duration::from_millis(500);

/// Length of a disturbance that is assumed before one ended.
const FIRST_LENGTH: Duration = Duration::from_millis(200);

/// Weight of one disturbance in the mean length.
const LENGTH_WEIGHT: f64 = 0.1;

/// Part of its mean length that a disturbance goes on for as a rule, whenever it is looked at: short
/// ones end unseen.
const REMAINING_SHARE: f64 = 0.75;

/// The pace of work at a backend server, as it was told: how long work takes as a multiple of the usual
/// time.
///
/// Neighbours on the VM raise it for parts of a second, a cold start or a fault for longer. What begins
/// during a disturbance takes longer to its end, so that it may be done sooner when it begins later.
#[derive(Debug)]
pub(crate) struct WorkPace {
    /// The pace that was told last, and when.
    told: Option<(f64, MonoTime)>,
    /// Since when work waits for a new report.
    asked: Option<MonoTime>,
    /// The best pace since `span_start`, and that of the span before. At least one is told.
    best: [f64; 2],
    /// When the newer span of `best` began.
    span_start: MonoTime,
    /// Since when a disturbance is known.
    disturbed_since: Option<MonoTime>,
    /// Mean length of a disturbance, in microseconds.
    mean_length_us: f64,
}

/// What the neighbours of a backend server cost one request that would begin now.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Disturbance {
    /// By how much it ends later, in microseconds, if it begins when that is best.
    pub(crate) cost_us: f64,
    /// Whether it ends sooner when it begins after the disturbance.
    pub(crate) is_held: bool,
}

impl WorkPace {
    /// A pace that was never told.
    pub(crate) fn new() -> Self {
        Self {
            told: None,
            asked: None,
            best: [f64::INFINITY; 2],
            span_start: MonoTime::ZERO,
            disturbed_since: None,
            mean_length_us: FIRST_LENGTH.as_micros() as f64,
        }
    }

    /// Takes in the pace that the backend server tells.
    pub(crate) fn learn(&mut self, now: MonoTime, pace: f64) {
        self.told = Some((pace, now));
        self.asked = None;
        if now.since(self.span_start) >= LASTING_SPAN {
            self.best = [pace, self.best[0]];
            self.span_start = now;
        }
        self.best[0] = self.best[0].min(pace);
        let is_disturbed = pace > DISTURBED_FACTOR * self.lasting();
        match self.disturbed_since {
            None if is_disturbed => self.disturbed_since = Some(now),
            Some(since) if !is_disturbed => {
                let length_us = now.since(since).as_micros() as f64;
                self.mean_length_us += (length_us - self.mean_length_us) * LENGTH_WEIGHT;
                self.disturbed_since = None;
            }
            _ => {}
        }
    }

    /// Asks for a new report before work begins, if the last one is too old. Whether work should wait
    /// for it.
    pub(crate) fn ask_if_old(&mut self, now: MonoTime) -> bool {
        let is_old = self
            .told
            .is_some_and(|(_, since)| now.since(since) >= FRESH_AGE);
        if is_old && self.asked.is_none() {
            self.asked = Some(now);
        }
        self.is_awaited(now)
    }

    /// Whether work should wait for a new report.
    pub(crate) fn is_awaited(&self, now: MonoTime) -> bool {
        let asked = self.asked;
        asked.is_some_and(|asked| now.since(asked) < QUESTION_PATIENCE)
    }

    /// When the backend server should be asked next, while work waits for a slot that is free.
    pub(crate) fn next_load_query(&self) -> Option<MonoTime> {
        let (_, told) = self.told?;
        let again = told + DISTURBED_INTERVAL;
        Some(self.asked.map_or(again, |asked| asked.min(again)))
    }

    /// When work begins without a new report.
    pub(crate) fn patience_end(&self) -> Option<MonoTime> {
        self.asked.map(|asked| asked + QUESTION_PATIENCE)
    }

    /// The pace that was told last, and when.
    pub(crate) fn told(&self) -> Option<(f64, MonoTime)> {
        self.told
    }

    /// The pace now, `None` when no report of it holds.
    pub(crate) fn now(&self, now: MonoTime) -> Option<f64> {
        let (pace, since) = self.told?;
        (now.since(since) < PACE_LIFE).then_some(pace)
    }

    /// What neighbours cost work that usually takes `usual_us` and would begin now.
    ///
    /// A disturbance that has lasted for longer than usual is expected to go on for as long again.
    pub(crate) fn disturbance(&self, now: MonoTime, usual_us: f64) -> Disturbance {
        let Some((pace, since)) = self.now(now).zip(self.disturbed_since) else {
            return Disturbance::default();
        };
        let lasted_us = now.since(since).as_micros() as f64;
        let beyond_us = lasted_us - self.mean_length_us;
        let remaining_us = (REMAINING_SHARE * self.mean_length_us).max(beyond_us);
        let slower_us = usual_us * (pace - self.lasting());
        Disturbance {
            cost_us: slower_us.min(remaining_us),
            is_held: remaining_us < slower_us,
        }
    }

    /// Expected time of work that usually takes `usual_us`, in microseconds, when it begins as soon as that
    /// is best.
    pub(crate) fn run_us(&self, now: MonoTime, usual_us: f64) -> f64 {
        let pace = if self.disturbance(now, usual_us).is_held {
            self.lasting()
        } else {
            self.now(now).unwrap_or(1.0)
        };
        usual_us * pace
    }

    /// The pace that lasts, whatever neighbours do.
    fn lasting(&self) -> f64 {
        self.best[0].min(self.best[1])
    }
}
