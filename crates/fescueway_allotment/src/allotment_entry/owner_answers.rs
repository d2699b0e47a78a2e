//! How an entry handles the answers of owners.

use std::time::Duration;

use fescueway_config::AllotmentPlan;
use fescueway_core::{AccountName, MonoTime, NodeId};

use super::{AllotmentEntry, DENIED_TIME, MAX_REDIRECTS, MOVED_TIME};
use crate::{
    AccountAnswer, CLASSES, EntryDecision, FleetView, OwnerQuestion, ReleasedBucket, WaitEnd,
};

impl AllotmentEntry {
    /// Handles an owner's decision.
    pub(super) fn decided(
        &mut self,
        now: MonoTime,
        (name, plan): (&AccountName, &AllotmentPlan),
        owner: NodeId,
        question: &OwnerQuestion,
        answer: &AccountAnswer,
        ends: &mut Vec<WaitEnd>,
    ) {
        let AccountAnswer::Decided {
            granted,
            prefetched,
            open_classes,
            pause_ms,
            room_after_ms,
        } = answer
        else {
            return;
        };
        // Not present if all its requests have left and it was idle for long.
        let account = self.accounts.entry(name.clone()).or_default();
        account.end_share();
        account.tokens.add(question.sent_at, *prefetched);
        if usize::from(*open_classes) < CLASSES {
            account.open_classes = *open_classes;
            account.blocked_until = now + Duration::from_millis((*pause_ms).into());
            account.room_at = now + Duration::from_millis((*room_after_ms).into());
        }
        let mut left: u32 = granted.iter().map(|count| u32::from(*count)).sum();
        let mut waits = std::mem::take(&mut account.waits);
        waits.sort_by_key(|wait| (wait.class, wait.id));
        let mut refused = Vec::new();
        let mut remaining = Vec::new();
        let mut admitted = 0;
        for wait in waits {
            let is_admitted = if wait.is_asked {
                let has_token = left > 0;
                left = left.saturating_sub(1);
                has_token
            } else {
                let class = usize::from(wait.class);
                let is_blocked = account.is_blocked(now, class);
                if is_blocked {
                    account.refused[class] = account.refused[class].saturating_add(1);
                }
                let has_token = !is_blocked && account.tokens.try_take();
                if !is_blocked && !has_token {
                    remaining.push(wait);
                    continue;
                }
                has_token
            };
            if is_admitted {
                admitted += 1;
                ends.push(WaitEnd {
                    id: wait.id,
                    result: Ok(()),
                });
            } else {
                refused.push(wait.id);
            }
        }
        let has_remaining = !remaining.is_empty();
        account.waits = remaining;
        // Tokens of requests whose callers have left.
        let unused = u16::try_from(left).unwrap_or(u16::MAX);
        account.tokens.add(question.sent_at, unused);
        self.totals.admitted += admitted;
        if has_remaining {
            self.set_due(owner, name);
        }
        for id in refused {
            if let EntryDecision::Refused(retry_after) = self.refuse(now, name, plan) {
                ends.push(WaitEnd {
                    id,
                    result: Err(retry_after),
                });
            }
        }
    }

    /// Handles that another node owns the account.
    pub(super) fn moved(
        &mut self,
        now: MonoTime,
        view: &FleetView,
        (name, plan): (&AccountName, &AllotmentPlan),
        (owner, to, released): (NodeId, NodeId, Option<ReleasedBucket>),
        ends: &mut Vec<WaitEnd>,
    ) {
        let Some(account) = self.accounts.get_mut(name) else {
            return;
        };
        if account.redirects >= MAX_REDIRECTS || to == owner {
            account.moved = None;
            self.denied(now, view, (name, plan), ends);
            return;
        }
        account.redirects += 1;
        account.moved = Some((to, now + MOVED_TIME));
        account.released = released;
        for wait in &mut account.waits {
            wait.is_asked = false;
        }
        if !account.waits.is_empty() || released.is_some() {
            self.set_due(to, name);
        }
    }

    /// Handles that the owner may not grant.
    pub(super) fn denied(
        &mut self,
        now: MonoTime,
        view: &FleetView,
        (name, plan): (&AccountName, &AllotmentPlan),
        ends: &mut Vec<WaitEnd>,
    ) {
        if let Some(account) = self.accounts.get_mut(name) {
            account.redirects = 0;
            account.denied_until = now + DENIED_TIME;
        }
        self.end_waits_by_share(now, view, (name, plan), ends);
    }
}
