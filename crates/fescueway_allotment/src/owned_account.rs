//! The token bucket of an account at its owner.

use std::time::Duration;

use fescueway_config::AllotmentPlan;
use fescueway_core::{MonoTime, NodeId, TokenBucket};

use crate::{AccountAnswer, AccountQuestion, CLASSES, DemandMeter};

/// Tokens that a bucket holds in addition to the account's burst. At 63 % of the rate, Poisson arrivals
/// find a bucket of `n` tokens empty about once in `exp(0.86 n)`, which for the burst of an account with a
/// few requests a second would be often. It is part of the permitted slack of 20.
const EXTRA_TOKENS: f64 = 12.0;

/// Tokens of a new owner's bucket: a constant, and a part of the tokens of a second. Tokens of an earlier
/// owner may still be in use. An account below its rate needs some before the bucket has filled.
const START_TOKENS: f64 = 4.0;
const START_TIME_S: f64 = 0.1;

/// Time whose tokens may be outstanding at entries in advance.
const MAX_OUTSTANDING_S: f64 = 0.3;

/// Slots of the record of prefetched tokens, and the time of each. Together they cover the lifetime of
/// tokens.
const SLOTS: usize = 5;
const SLOT_TIME: Duration = Duration::from_millis(125);

/// Time whose demand of more urgent requests is kept for them.
const RESERVE_TIME_S: f64 = 0.2;

/// Largest part of a bucket that is kept for more urgent requests.
const MAX_RESERVE: f64 = 0.25;

/// Shortest pause of an entry that was refused a token.
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause. With 6,000 entries it is about 2 s.
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// Refused questions per second about one account above which entries pause longer.
const REFUSALS_PER_S: f64 = 100.0;

/// Longest time after which a refused request is told to come again, without its spread.
const MAX_ROOM_TIME: Duration = Duration::from_secs(5);

// A node may own thousands of accounts in use.
const _: () = assert!(size_of::<OwnedAccount>() <= 256);

/// The token bucket of an account at its owner.
#[derive(Clone, Debug)]
pub struct OwnedAccount {
    /// The bucket.
    bucket: TokenBucket,
    /// Since when this node has owned the account.
    owned_since: MonoTime,
    /// The former owner that has released the account to this node, if this node's view may still name
    /// it as the owner.
    pub released_by: Option<NodeId>,
    /// Until when that matters.
    accepted_until: MonoTime,
    /// Requests that asked for a token, by priority.
    demand: [DemandMeter; CLASSES],
    /// Questions of which a request was refused.
    refusals: DemandMeter,
    /// Prefetched tokens of the last slots of time.
    prefetched: [u16; SLOTS],
    /// Number of the newest slot.
    slot: u64,
    /// When the account is likely to have room for another request.
    room_at: MonoTime,
    /// Last question.
    pub used_at: MonoTime,
}

impl OwnedAccount {
    /// The bucket of an account that this node has owned since `owned_since`.
    pub fn new(now: MonoTime, plan: &AllotmentPlan, owned_since: MonoTime) -> Self {
        let mut account = Self {
            bucket: bucket_of(now, plan, 1.0),
            owned_since,
            released_by: None,
            accepted_until: MonoTime::ZERO,
            demand: [DemandMeter::default(); CLASSES],
            refusals: DemandMeter::default(),
            prefetched: [0; SLOTS],
            slot: 0,
            room_at: now,
            used_at: now,
        };
        account.limit_start(now, plan);
        account
    }

    /// This account, after the former owner `by` has released it.
    pub fn accepted(mut self, by: Option<NodeId>, until: MonoTime) -> Self {
        self.released_by = by;
        self.accepted_until = until;
        self
    }

    /// Whether a former owner has released the account to this node recently.
    pub fn is_accepted(&self, now: MonoTime) -> bool {
        now < self.accepted_until
    }

    /// Takes over the limit in force, of which `factor` may be granted, and since when this node has
    /// owned the account.
    pub fn refresh(
        &mut self,
        now: MonoTime,
        plan: &AllotmentPlan,
        factor: f64,
        owned_since: MonoTime,
    ) {
        let limit = bucket_of(now, plan, factor);
        self.bucket.available(now);
        self.bucket.set_rate(&limit);
        self.bucket.cap(plan.burst + EXTRA_TOKENS);
        if owned_since > self.owned_since {
            // Another node owned the account meanwhile.
            self.owned_since = owned_since;
            if !self.is_accepted(now) {
                self.limit_start(now, plan);
            }
        }
    }

    /// Answers a question.
    pub fn answer(
        &mut self,
        now: MonoTime,
        plan: &AllotmentPlan,
        question: &AccountQuestion,
    ) -> AccountAnswer {
        self.used_at = now;
        let released = question.released.map_or(0, |released| released.tokens);
        self.bucket.charge(-f64::from(question.returned));
        self.bucket.charge(-f64::from(released));
        let mut level = self.bucket.available(now);
        let mut granted = [0_u16; CLASSES];
        let mut open_classes = CLASSES;
        let mut refused = 0_u32;
        let mut urgent_per_s = 0.0;
        let max_reserve = (plan.burst + EXTRA_TOKENS) * MAX_RESERVE;
        let mut reserve = 0.0;
        for (class, grant) in granted.iter_mut().enumerate() {
            let waiting = question.waiting[class];
            reserve = f64::min(urgent_per_s * RESERVE_TIME_S, max_reserve);
            let count = waiting.min((level - reserve).max(0.0) as u16);
            *grant = count;
            level -= f64::from(count);
            if count < waiting {
                open_classes = open_classes.min(class);
            }
            refused += u32::from(waiting - count) + u32::from(question.refused[class]);
            let asked = u32::from(waiting) + u32::from(question.refused[class]);
            self.demand[class].record(now, asked);
            urgent_per_s += f64::from(self.demand[class].per_s(now));
        }
        let prefetched = self.prefetch(now, plan, question.prefetch, level - reserve);
        let taken: u32 = granted.iter().map(|count| u32::from(*count)).sum();
        self.bucket.charge(f64::from(taken) + f64::from(prefetched));
        let is_refused = open_classes < CLASSES;
        self.refusals.record(now, is_refused.into());
        self.queue_refused(now, plan, refused);
        AccountAnswer::Decided {
            granted,
            prefetched,
            open_classes: open_classes as u8,
            pause_ms: millis(self.pause(now)),
            room_after_ms: millis(self.room_at.since(now)),
        }
    }

    /// The whole tokens that are left.
    pub fn tokens_left(&self, now: MonoTime) -> u16 {
        self.bucket.peek(now).max(0.0) as u16
    }

    /// Whether the bucket can be made anew without a difference.
    pub fn is_full(&self, now: MonoTime, plan: &AllotmentPlan) -> bool {
        self.bucket.peek(now) >= plan.burst + EXTRA_TOKENS - 1e-6 && self.room_at <= now
    }

    /// Limits the tokens to those of a bucket that was nearly empty when this node became the owner.
    fn limit_start(&mut self, now: MonoTime, plan: &AllotmentPlan) {
        let owned_s = now.since(self.owned_since).as_secs_f64();
        let tokens = START_TOKENS + (START_TIME_S + owned_s) * plan.rate_per_s;
        self.bucket.cap(tokens);
    }

    /// Grants tokens in advance: half of the `spare` ones at most, so that one entry doesn't get all.
    fn prefetch(&mut self, now: MonoTime, plan: &AllotmentPlan, wanted: u16, spare: f64) -> u16 {
        let slot = now.as_micros() / SLOT_TIME.as_micros() as u64;
        let passed = (slot - self.slot).min(SLOTS as u64);
        for step in 0..passed {
            self.prefetched[((slot - step) % SLOTS as u64) as usize] = 0;
        }
        self.slot = slot;
        let outstanding: f64 = self.prefetched.iter().map(|count| f64::from(*count)).sum();
        let room = plan.rate_per_s * MAX_OUTSTANDING_S - outstanding;
        let count = wanted.min(f64::min(room, spare / 2.0).max(0.0) as u16);
        let newest = &mut self.prefetched[(slot % SLOTS as u64) as usize];
        *newest = newest.saturating_add(count);
        count
    }

    /// Accounts for refused requests, which will come again, and moves the time of room behind them.
    fn queue_refused(&mut self, now: MonoTime, plan: &AllotmentPlan, refused: u32) {
        if refused > 0 {
            let one_at = self.bucket.time_of(1.0).max(now);
            let queued = Duration::from_secs_f64(f64::from(refused) / plan.rate_per_s.max(1e-6));
            self.room_at = self.room_at.max(one_at) + queued;
            self.room_at = self.room_at.min(now + MAX_ROOM_TIME.max(one_at.since(now)));
        }
    }

    /// How long an entry refuses requests by itself. It grows with the number of entries that ask, so
    /// that the number of their questions grows with its square root only.
    fn pause(&self, now: MonoTime) -> Duration {
        let refusals = f64::from(self.refusals.per_s(now));
        let pause = MIN_PAUSE.mul_f64((refusals / REFUSALS_PER_S).max(1.0));
        pause.min(MAX_PAUSE)
    }
}

/// A full bucket of which the rate is reduced by `factor`.
fn bucket_of(now: MonoTime, plan: &AllotmentPlan, factor: f64) -> TokenBucket {
    TokenBucket::full(now, plan.burst + EXTRA_TOKENS, plan.rate_per_s * factor)
}

/// Whole milliseconds, rounded up.
fn millis(time: Duration) -> u16 {
    let millis = time.as_micros().div_ceil(1_000);
    u16::try_from(millis).unwrap_or(u16::MAX)
}
