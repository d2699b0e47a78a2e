//! Spaces the starts of requests at a backend server that is cold.

use std::{collections::VecDeque, time::Duration};

use fescueway_core::{MonoTime, StatementSource};

use crate::{WarmupPace, start_pacer::StartPacer};

/// Interval between queries of a warm backend server while requests start at it.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// As [`CHECK_INTERVAL`], once half of the allowed unconfirmed starts are used.
const URGENT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between queries while it is unknown whether the backend server is cold.
const DOUBT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between queries of a cold backend server, whose cold time may change.
const COLD_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// After this time without an answer to a query, starts are no longer paced only because it is unknown
/// whether the backend server is cold: it may not answer queries at all.
const DOUBT_LIMIT: Duration = Duration::from_secs(3);

/// Time within which a query is expected to be answered. Until then an offer that waits only for that
/// answer is expected to start soon.
const ANSWER_TIME: Duration = Duration::from_millis(500);

/// Starts that are allowed since the time for which an answer last confirmed that the backend server is
/// warm, in addition to those of [`UNCONFIRMED_TIME`].
///
/// A server that becomes cold gets at most these before its host knows. Together with the starts of one
/// second at the pace they stay below 1.5 times the rate plus 8.
const UNCONFIRMED_STARTS: f64 = 5.0;

/// See [`UNCONFIRMED_STARTS`].
const UNCONFIRMED_TIME: Duration = Duration::from_millis(250);

/// Spaces the starts of requests at a backend server that is cold, or may be.
///
/// Invariants: while the backend server is known to be cold, starts are spaced as by a [`StartPacer`] at
/// the rate of the plan. While it is not known to be cold, at most [`UNCONFIRMED_STARTS`] requests and
/// those of [`UNCONFIRMED_TIME`] start without an answer that states that it is warm; further ones are
/// spaced until there is one. A statement doesn't shorten the cold time if its answer was asked for
/// before the cold time was learned.
#[derive(Clone, Debug)]
pub(crate) struct WarmupPacer {
    /// What a cold target takes; `None` when starts are not paced.
    plan: Option<WarmupPace>,
    /// When the backend server's cold time ends, as far as is known.
    cold_until: MonoTime,
    /// When `cold_until` was learned.
    learned_at: MonoTime,
    /// Since when it is unknown whether the backend server is cold; `None` if it is known.
    doubted_at: Option<MonoTime>,
    /// Starts since the time for which it was last known to be warm, oldest first. Empty while starts
    /// are paced.
    unconfirmed: VecDeque<MonoTime>,
    /// When a query was last answered.
    answered_at: Option<MonoTime>,
    /// When the last query began.
    queried_at: Option<MonoTime>,
    /// Whether the current pace is due to a cold time and not only to a lack of knowledge.
    is_cold_pace: bool,
    /// Spaces the starts.
    pacer: StartPacer,
}

impl WarmupPacer {
    /// Creates the pacer of a backend server of which nothing is known. It counts as cold for the
    /// plan's duration until it states something.
    pub(crate) fn new(now: MonoTime, plan: Option<WarmupPace>) -> Self {
        let duration = plan.map_or(Duration::ZERO, |plan| plan.duration);
        let mut pacer = Self {
            plan,
            cold_until: now + duration,
            learned_at: now,
            doubted_at: Some(now),
            unconfirmed: VecDeque::new(),
            answered_at: None,
            queried_at: None,
            is_cold_pace: false,
            pacer: StartPacer::default(),
        };
        pacer.update(now);
        pacer
    }

    /// Changes the plan. A backend server whose starts were not paced before is asked whether it is
    /// cold.
    pub(crate) fn set_plan(&mut self, now: MonoTime, plan: Option<WarmupPace>) {
        let is_new = self.plan.is_none() && plan.is_some();
        self.plan = plan;
        if plan.is_none() {
            self.pacer = StartPacer::default();
            self.unconfirmed.clear();
        }
        if is_new {
            self.doubted_at = Some(now);
        }
        self.update(now);
    }

    /// What a cold target takes; `None` when starts are not paced.
    pub(crate) fn plan(&self) -> Option<WarmupPace> {
        self.plan
    }

    /// Takes over what is known of the same start of the backend server, with the own plan.
    pub(crate) fn inherit(&mut self, now: MonoTime, replaced: &Self) {
        let plan = self.plan;
        *self = replaced.clone();
        self.set_plan(now, plan);
    }

    /// Sets the cold time that the announcement of a new start states.
    pub(crate) fn set_announced(&mut self, now: MonoTime, left: Duration) {
        self.cold_until = now + left;
        self.learned_at = now;
        self.update(now);
    }

    /// Records the cold time that a report of unknown age states. As a newer answer may have stated
    /// another time, it never shortens the cold time.
    pub(crate) fn learn_report(&mut self, now: MonoTime, left: Duration) {
        if now + left > self.cold_until && !left.is_zero() {
            self.cold_until = now + left;
            self.learned_at = now;
        }
        self.update(now);
    }

    /// Records the cold time that an answer states, `None` for an answer that states none. The answer
    /// was asked for at `asked_at`, and sent later.
    pub(crate) fn learn(
        &mut self,
        now: MonoTime,
        asked_at: MonoTime,
        source: StatementSource,
        left: Option<Duration>,
    ) {
        let is_query = source == StatementSource::Query;
        if left.is_none() && !is_query {
            return;
        }
        if let Some(left) = left {
            let until = now + left;
            if until > self.cold_until || asked_at >= self.learned_at {
                self.cold_until = until;
                self.learned_at = now;
            }
        }
        if is_query {
            self.answered_at = Some(now);
        }
        self.unconfirmed.retain(|start| *start >= asked_at);
        self.doubted_at = self.doubted_at.filter(|since| asked_at < *since);
        self.update(now);
    }

    /// Records that the backend server may have become cold without a statement.
    pub(crate) fn doubt(&mut self, now: MonoTime) {
        self.doubted_at = Some(now);
        self.update(now);
    }

    /// Records that a query begins.
    pub(crate) fn begin_query(&mut self, now: MonoTime) {
        self.queried_at = Some(now);
    }

    /// When to query the backend server whether it is cold; `None` while no request starts at it and
    /// it is known to be warm.
    pub(crate) fn next_query(&self, now: MonoTime) -> Option<MonoTime> {
        let plan = self.plan?;
        let interval = if self.is_unknown(now) {
            DOUBT_CHECK_INTERVAL
        } else if self.unconfirmed.len() * 2 >= allowed_unconfirmed(plan) {
            URGENT_CHECK_INTERVAL
        } else if self.is_cold(now) {
            COLD_CHECK_INTERVAL
        } else if self.unconfirmed.is_empty() {
            return None;
        } else {
            CHECK_INTERVAL
        };
        Some(self.queried_at.map_or(now, |queried| queried + interval))
    }

    /// Starts or ends the pace, as what is known demands.
    pub(crate) fn update(&mut self, now: MonoTime) {
        let Some(plan) = self.plan else {
            return;
        };
        if self.is_paced(now) {
            self.is_cold_pace |= self.is_cold(now) && self.doubted_at.is_none();
            self.pacer.set_limit(now, Some(plan.rate), false);
        } else if self.is_cold_pace {
            // The rate rises for a moment, so that what was held back doesn't start at once.
            self.pacer.set_limit(now, None, false);
            self.is_cold_pace = self.pacer.is_limited();
        } else {
            self.pacer = StartPacer::default();
        }
    }

    /// Whether the backend server is cold, as far as is known.
    pub(crate) fn is_cold(&self, now: MonoTime) -> bool {
        self.plan.is_some() && now < self.cold_until
    }

    /// Time until the backend server is warm, as far as is known; zero when starts are not paced.
    pub(crate) fn cold_left(&self, now: MonoTime) -> Duration {
        if self.is_cold(now) {
            self.cold_until.since(now)
        } else {
            Duration::ZERO
        }
    }

    /// Whether a request may start now, as of the last update.
    pub(crate) fn has_token(&self, now: MonoTime) -> bool {
        self.pacer.has_token(now)
    }

    /// How long an entry should pause between two offers, zero unless the backend server is cold.
    pub(crate) fn offer_pause(&self, now: MonoTime) -> Duration {
        if self.is_cold(now) {
            self.pacer.offer_pause()
        } else {
            Duration::ZERO
        }
    }

    /// Records a start.
    pub(crate) fn record_start(&mut self, now: MonoTime) {
        if self.plan.is_none() {
            return;
        }
        if !self.is_paced(now) {
            self.unconfirmed.push_back(now);
        }
        self.pacer.record_start(now);
        self.update(now);
    }

    /// Records that the pace refused an offer.
    pub(crate) fn record_refusal(&mut self) {
        self.pacer.record_refusal();
    }

    /// Expected wait of a request behind `ahead` others, zero when starts are not paced or an answer
    /// that may end the pace is expected soon.
    pub(crate) fn wait(&self, now: MonoTime, ahead: usize) -> Duration {
        let asked_since = self.doubted_at.max(self.answered_at);
        let is_answer_due = asked_since.is_some_and(|since| now.since(since) < ANSWER_TIME);
        let is_cold = self.is_cold(now) && self.doubted_at.is_none();
        if self.is_paced(now) && !is_cold && is_answer_due {
            return Duration::ZERO;
        }
        self.pacer.wait(now, ahead)
    }

    /// When the next request may start, `None` when starts are not paced.
    pub(crate) fn next_start(&self) -> Option<MonoTime> {
        self.pacer.next_start()
    }

    /// When the cold time ends, `None` when starts are not paced.
    pub(crate) fn cold_end(&self) -> Option<MonoTime> {
        self.pacer.is_limited().then_some(self.cold_until)
    }

    /// Whether starts are paced: the backend server is cold or may be.
    fn is_paced(&self, now: MonoTime) -> bool {
        self.is_cold(now) || self.is_doubted(now)
    }

    /// Whether too little is known of the backend server to start requests freely.
    fn is_doubted(&self, now: MonoTime) -> bool {
        let Some(plan) = self.plan else {
            return false;
        };
        // Without a single answer to a query there is nothing to wait for.
        let is_unconfirmed =
            self.answered_at.is_some() && self.unconfirmed.len() >= allowed_unconfirmed(plan);
        is_unconfirmed || self.is_unknown(now)
    }

    /// Whether the backend server may have become cold without a statement.
    fn is_unknown(&self, now: MonoTime) -> bool {
        let since = self.doubted_at;
        since.is_some_and(|since| now.since(since) < DOUBT_LIMIT)
    }
}

/// Starts that are allowed since the backend server was last known to be warm.
fn allowed_unconfirmed(plan: WarmupPace) -> usize {
    let starts = UNCONFIRMED_STARTS + plan.rate.per_s() * UNCONFIRMED_TIME.as_secs_f64();
    starts as usize
}
