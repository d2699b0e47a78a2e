//! Spaces the starts of requests at a backend server that states a rate limit.

use std::time::Duration;

use fescueway_core::{MonoTime, RateLimit, TokenBucket};

/// Starts that may follow at once after an idle time, as the time in which the limit allows them.
const BURST_TIME: Duration = Duration::from_millis(250);

/// How long a lower limit remains in force after the backend server states a higher one: the span in
/// which it counts requests. A limit that swings is thus obeyed at its lowest.
const RAISE_DELAY: Duration = Duration::from_secs(4);

/// After the end of a limit, starts are spaced until this time has passed, so that the requests it
/// held back don't arrive at once and an answer that lacks the limit by mistake does little harm.
const RECOVERY_TIME: Duration = Duration::from_secs(2);

/// Time in which the allowed rate doubles during the recovery.
const RECOVERY_DOUBLING: Duration = Duration::from_millis(250);

/// Rate from which the recovery begins at least, in starts per second.
const MIN_RECOVERY_RATE: f64 = 1.0;

/// Lowest rate, in starts per second, while only an answer to a request can tell that the limit has
/// ended.
const TRIAL_RATE: f64 = 0.1;

/// Lowest rate that is distinguished from zero, in starts per second.
const MIN_RATE: f64 = 1e-3;

/// Rate of a bucket that should get no tokens, per second. A bucket's rate is above zero.
const NO_REFILL_RATE: f64 = 1e-9;

/// Initial pause of an entry between two offers, in mean times between two starts.
const INITIAL_PAUSE: f64 = 4.0;

/// Shortest pause of an entry between two offers, in mean times between two starts.
const MIN_PAUSE: f64 = 0.25;

/// Longest pause of an entry between two offers. Only an answer to an offer ends it early.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Factor on the pause for each offer that the limit refuses.
const PAUSE_RISE: f64 = 1.05;

/// Factor on the pause for each start after which the limit had allowed another one.
const PAUSE_FALL: f64 = 0.97;

/// Longest expected wait that is computed.
const MAX_WAIT: Duration = Duration::from_hours(1);

/// Spaces the starts of requests at a backend server that states a rate limit.
///
/// Invariant: in any span, the number of starts is at most the limit times the span, plus those of
/// [`BURST_TIME`], or plus one.
#[derive(Clone, Debug, Default)]
pub(crate) struct StartPacer {
    /// The limit in force; `None` when starts are not spaced.
    pace: Option<StartPace>,
}

/// A limit in force.
#[derive(Clone, Debug)]
struct StartPace {
    /// The limit in force, in starts per second: the lowest that was stated within [`RAISE_DELAY`].
    limit_per_s: f64,
    /// The lowest limit stated since `limit_per_s` was last stated, and since when; `None` while that
    /// is the latest statement.
    raise: Option<(f64, MonoTime)>,
    /// One token for each start that is allowed now.
    tokens: TokenBucket,
    /// How long an entry should pause between two offers, in seconds.
    ///
    /// It rises while entries offer more than the limit allows and falls while they offer less, so
    /// the host needs to know neither their number nor how the load is spread over them.
    pause_s: f64,
    /// When the limit ended, `None` while the backend server states it.
    ended_at: Option<MonoTime>,
}

impl StartPacer {
    /// Sets the limit that the backend server states. `is_trial_needed` is whether only an answer to
    /// a request tells the end of the limit.
    pub(crate) fn set_limit(
        &mut self,
        now: MonoTime,
        limit: Option<RateLimit>,
        is_trial_needed: bool,
    ) {
        match (limit, &mut self.pace) {
            (Some(limit), pace) => {
                let min_rate = if is_trial_needed { TRIAL_RATE } else { 0.0 };
                let limit_per_s = limit.per_s().max(min_rate);
                match pace {
                    Some(pace) => pace.set_limit(now, limit_per_s),
                    None => *pace = Some(StartPace::new(now, limit_per_s)),
                }
            }
            (None, Some(pace)) => {
                pace.ended_at.get_or_insert(now);
                self.recover(now);
            }
            (None, None) => {}
        }
    }

    /// Whether the starts are spaced.
    pub(crate) fn is_limited(&self) -> bool {
        self.pace.is_some()
    }

    /// Whether a request may start now.
    pub(crate) fn has_token(&self, now: MonoTime) -> bool {
        let pace = self.pace.as_ref();
        pace.is_none_or(|pace| pace.tokens.peek(now) >= 1.0)
    }

    /// How long an entry should pause between two offers, zero when the starts are not spaced.
    pub(crate) fn offer_pause(&self) -> Duration {
        let pace = self.pace.as_ref().filter(|pace| pace.ended_at.is_none());
        pace.map_or(Duration::ZERO, |pace| Duration::from_secs_f64(pace.pause_s))
    }

    /// Records that the limit refused an offer.
    pub(crate) fn record_refusal(&mut self) {
        if let Some(pace) = &mut self.pace {
            pace.scale_pause(PAUSE_RISE);
        }
    }

    /// Records a start.
    pub(crate) fn record_start(&mut self, now: MonoTime) {
        self.recover(now);
        if let Some(pace) = &mut self.pace {
            let unused_s = now.since(pace.tokens.time_of(1.0)).as_secs_f64();
            if unused_s * pace.limit_per_s >= 1.0 {
                pace.scale_pause(PAUSE_FALL);
            }
            pace.tokens.available(now);
            pace.tokens.charge(1.0);
        }
    }

    /// Expected wait of a request behind `ahead` others, zero when the starts are not spaced.
    pub(crate) fn wait(&self, now: MonoTime, ahead: usize) -> Duration {
        let Some(pace) = &self.pace else {
            return Duration::ZERO;
        };
        let start_at = pace.tokens.time_of(ahead as f64 + 1.0);
        start_at.since(now).min(MAX_WAIT)
    }

    /// When the next request may start, `None` when the starts are not spaced.
    pub(crate) fn next_start(&self) -> Option<MonoTime> {
        let pace = self.pace.as_ref()?;
        Some(pace.tokens.time_of(1.0))
    }

    /// Raises the rate after the end of a limit, and ends the spacing in the end.
    fn recover(&mut self, now: MonoTime) {
        let ended_at = self.pace.as_ref().and_then(|pace| pace.ended_at);
        let Some(ended_at) = ended_at else {
            return;
        };
        let elapsed = now.since(ended_at);
        if elapsed >= RECOVERY_TIME {
            self.pace = None;
            return;
        }
        if let Some(pace) = &mut self.pace {
            let doublings = elapsed.as_secs_f64() / RECOVERY_DOUBLING.as_secs_f64();
            let per_s = pace.limit_per_s.max(MIN_RECOVERY_RATE) * doublings.exp2();
            pace.set_rate(now, per_s);
        }
    }
}

impl StartPace {
    /// A pace without tokens: the answer that states the limit is of a request that just ran.
    fn new(now: MonoTime, limit_per_s: f64) -> Self {
        let mut tokens = bucket(now, limit_per_s);
        tokens.cap(0.0);
        Self {
            limit_per_s,
            raise: None,
            tokens,
            pause_s: (INITIAL_PAUSE / limit_per_s.max(MIN_RATE)).min(MAX_PAUSE.as_secs_f64()),
            ended_at: None,
        }
    }

    /// Changes the pause of the entries by a factor.
    fn scale_pause(&mut self, factor: f64) {
        let max_s = MAX_PAUSE.as_secs_f64();
        let min_s = (MIN_PAUSE / self.limit_per_s.max(MIN_RATE)).min(max_s);
        self.pause_s = (self.pause_s * factor).clamp(min_s, max_s);
    }

    /// Records the stated limit, and ends a recovery. A lower one is in force at once.
    fn set_limit(&mut self, now: MonoTime, stated_per_s: f64) {
        let limit_per_s = if self.ended_at.is_some() {
            stated_per_s
        } else if stated_per_s > self.limit_per_s {
            let (lowest_per_s, since) = self.raise.unwrap_or((stated_per_s, now));
            let lowest_per_s = lowest_per_s.min(stated_per_s);
            if now.since(since) < RAISE_DELAY {
                self.raise = Some((lowest_per_s, since));
                return;
            }
            lowest_per_s
        } else {
            stated_per_s
        };
        self.raise = None;
        let is_same = (self.limit_per_s - limit_per_s).abs() < f64::EPSILON;
        if is_same && self.ended_at.is_none() {
            return;
        }
        if limit_per_s > 0.0 {
            self.scale_pause(self.limit_per_s / limit_per_s);
        }
        self.limit_per_s = limit_per_s;
        self.ended_at = None;
        self.set_rate(now, limit_per_s);
    }

    /// Changes the rate at which tokens arrive from now on.
    fn set_rate(&mut self, now: MonoTime, per_s: f64) {
        self.tokens.available(now);
        let bucket = bucket(now, per_s);
        self.tokens.set_rate(&bucket);
        self.tokens.cap(burst(per_s));
    }
}

/// A full bucket for this rate, in starts per second.
fn bucket(now: MonoTime, per_s: f64) -> TokenBucket {
    TokenBucket::full(now, burst(per_s), per_s.max(NO_REFILL_RATE))
}

/// Starts that may follow at once after an idle time.
fn burst(per_s: f64) -> f64 {
    if per_s < MIN_RATE {
        return 0.0;
    }
    (per_s * BURST_TIME.as_secs_f64()).max(1.0)
}
