//! Decisions of an entry by its fixed share, and refusals.

use std::time::Duration;

use fescueway_config::AllotmentPlan;
use fescueway_core::{AccountName, MonoTime};

use super::AllotmentEntry;
use crate::{EntryDecision, FallbackShare, FleetView, WaitEnd};

/// Longest time after which a request refused for lack of an owner is told to come again. There is
/// mostly another owner by then.
const MAX_SHARE_WAIT: Duration = Duration::from_secs(3);

/// Shortest part of the time after which requests come again that is spread at random.
const MIN_SPREAD: Duration = Duration::from_millis(100);

impl AllotmentEntry {
    /// Decides on all waiting requests of an account by the fixed share, the most urgent first.
    pub(super) fn end_waits_by_share(
        &mut self,
        now: MonoTime,
        view: &FleetView,
        (name, plan): (&AccountName, &AllotmentPlan),
        ends: &mut Vec<WaitEnd>,
    ) {
        let account = self.accounts.get_mut(name);
        let mut waits = account.map_or_else(Vec::new, |account| std::mem::take(&mut account.waits));
        waits.sort_by_key(|wait| (wait.class, wait.id));
        for wait in waits {
            let decision = self.decide_by_share(now, view, (name, plan));
            let result = match decision {
                EntryDecision::Refused(retry_after) => Err(retry_after),
                EntryDecision::Admitted | EntryDecision::Wait(..) => Ok(()),
            };
            let id = wait.id;
            ends.push(WaitEnd { id, result });
        }
    }

    /// Decides on a request by the fixed share.
    pub(super) fn decide_by_share(
        &mut self,
        now: MonoTime,
        view: &FleetView,
        (name, plan): (&AccountName, &AllotmentPlan),
    ) -> EntryDecision {
        let phase = self.fraction();
        let spread = self.fraction();
        let account = self.accounts.entry(name.clone()).or_default();
        let rate_per_s = plan.rate_per_s * view.share(now);
        let share = account
            .share
            .get_or_insert_with(|| FallbackShare::new(now, plan.rate_per_s, rate_per_s, phase));
        share.set_rate(now, rate_per_s);
        match share.try_take(now) {
            Ok(()) => {
                self.totals.admitted_by_share += 1;
                EntryDecision::Admitted
            }
            Err(wait) => {
                self.totals.refused_by_share += 1;
                EntryDecision::Refused(spread_wait(wait.min(MAX_SHARE_WAIT), spread))
            }
        }
    }

    /// Refuses a request since the account has used its allotment.
    pub(super) fn refuse(
        &mut self,
        now: MonoTime,
        name: &AccountName,
        plan: &AllotmentPlan,
    ) -> EntryDecision {
        let spread = self.fraction();
        self.totals.refused += 1;
        let Some(account) = self.accounts.get_mut(name) else {
            return EntryDecision::Refused(MIN_SPREAD);
        };
        let wait = account.room_at.since(now);
        // The next request waits behind this one.
        let queued = Duration::try_from_secs_f64(1.0 / plan.rate_per_s).unwrap_or_default();
        account.room_at = account.room_at.max(now) + queued;
        EntryDecision::Refused(spread_wait(wait, spread))
    }
}

/// Adds a random part to the time after which a request comes again.
fn spread_wait(wait: Duration, spread: f64) -> Duration {
    wait + (MIN_SPREAD + wait / 2).mul_f64(spread)
}
