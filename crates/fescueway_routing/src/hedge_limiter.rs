//! Counts the hedges of a service or route against its limit.

use std::time::Duration;

use fescueway_core::MonoTime;

use crate::{
    FleetShare, HedgeLimit,
    sliding_count::{MAX_WINDOW, SlidingCount},
};

/// Window of the cap per second, and the shorter one of the share.
const SECOND: Duration = Duration::from_secs(1);

/// Counts the hedges of a service or route against its limit.
///
/// There is no reserve that accumulates: when all targets become slow at once, each entry would
/// spend it at the same time.
#[derive(Clone, Debug)]
pub(crate) struct HedgeLimiter {
    /// The limit.
    limit: HedgeLimit,
    /// Decides which entries get one more of a total that isn't a multiple of their number.
    salt: u64,
    /// First offers.
    firsts: SlidingCount,
    /// Hedges.
    hedges: SlidingCount,
    /// When the last hedge was made.
    last_hedge: Option<MonoTime>,
}

impl HedgeLimiter {
    /// Creates a limiter.
    pub(crate) fn new(limit: HedgeLimit, salt: u64) -> Self {
        Self {
            limit,
            salt,
            firsts: SlidingCount::default(),
            hedges: SlidingCount::default(),
            last_hedge: None,
        }
    }

    /// The limit.
    pub(crate) fn limit(&self) -> HedgeLimit {
        self.limit
    }

    /// Replaces the limit and keeps the counts.
    pub(crate) fn set_limit(&mut self, limit: HedgeLimit) {
        self.limit = limit;
    }

    /// Counts a first offer.
    pub(crate) fn record_first(&mut self, now: MonoTime) {
        self.firsts.add(now);
    }

    /// Counts a hedge.
    pub(crate) fn record_hedge(&mut self, now: MonoTime) {
        self.hedges.add(now);
        self.last_hedge = Some(now);
    }

    /// Whether the limit has room for a hedge by an entry with this share of the fleet's limits.
    pub(crate) fn has_room(&mut self, now: MonoTime, fleet: FleetShare) -> bool {
        self.has_room_in_cap(now, fleet) && self.has_room_in_share(now, fleet)
    }

    /// Whether the cap per second has room. A cap below one is that of a single entry, which leaves
    /// the cap's reciprocal in seconds between two hedges.
    fn has_room_in_cap(&mut self, now: MonoTime, fleet: FleetShare) -> bool {
        let Some(per_s) = self.limit.per_s else {
            return true;
        };
        if per_s <= 0.0 {
            return false;
        }
        let part = fleet.part_of(per_s.max(1.0), self.salt);
        if self.hedges.upper_bound(now, SECOND) >= part {
            return false;
        }
        let pause = Duration::try_from_secs_f64(1.0 / per_s).unwrap_or(Duration::MAX);
        let elapsed = self.last_hedge.map(|last| now.since(last));
        per_s >= 1.0 || elapsed.is_none_or(|elapsed| elapsed >= pause)
    }

    /// Whether the share of the first offers has room over [`MAX_WINDOW`]. Within a second one hedge
    /// is allowed in any case: few entries see enough requests in a second for a whole one.
    fn has_room_in_share(&mut self, now: MonoTime, fleet: FleetShare) -> bool {
        let Some(share) = self.limit.share else {
            return true;
        };
        if share <= 0.0 {
            return false;
        }
        let mut allowed = |window| {
            let firsts = self.firsts.lower_bound(now, window);
            fleet.rounded(share * firsts as f64, self.salt)
        };
        let (long, short) = (allowed(MAX_WINDOW), allowed(SECOND));
        self.hedges.upper_bound(now, MAX_WINDOW) < long
            && self.hedges.upper_bound(now, SECOND) < short.max(1)
    }
}
