//! An entry's state of one account.

use std::time::Duration;

use fescueway_core::{AccountName, MonoTime, NodeId};

use crate::{
    AccountQuestion, CLASSES, DemandMeter, FallbackShare, PrefetchedTokens, ReleasedBucket, WaitId,
};

/// Time for whose expected requests tokens are fetched in advance.
const PREFETCH_TIME_S: f32 = 0.2;

/// Requests per second at this entry from which on tokens are fetched in advance. Below, they would
/// mostly expire unused while another entry needs them.
const MIN_PREFETCH_PER_S: f32 = 10.0;

// An entry may see thousands of accounts in use.
const _: () = assert!(size_of::<EntryAccount>() <= 320);

/// An entry's state of one account.
#[derive(Clone, Debug, Default)]
pub struct EntryAccount {
    /// The owner by the view of the fleet, and the view's generation.
    pub owner: Option<(u32, Option<NodeId>)>,
    /// The owner that another node has named, and until when it is preferred.
    pub moved: Option<(NodeId, MonoTime)>,
    /// How often waiting requests were sent on to another owner.
    pub redirects: u8,
    /// What a former owner has released, to be passed to its successor.
    pub released: Option<ReleasedBucket>,
    /// Requests that arrived.
    pub demand: DemandMeter,
    /// Tokens for requests that have not arrived yet.
    pub tokens: PrefetchedTokens,
    /// Unused tokens to give back with the next message.
    pub returned: u16,
    /// Requests that wait for an answer, in the order of arrival.
    pub waits: Vec<WaitingRequest>,
    /// Number of priorities whose requests are not refused here until `blocked_until`.
    pub open_classes: u8,
    /// Until when requests of the other priorities are refused here.
    pub blocked_until: MonoTime,
    /// When the account is likely to have room for another request.
    pub room_at: MonoTime,
    /// Requests refused here since the last question, by priority.
    pub refused: [u16; CLASSES],
    /// The fixed share, while no owner answers.
    pub share: Option<FallbackShare>,
    /// Until when an owner that may not grant is not asked again.
    pub denied_until: MonoTime,
    /// Last request.
    pub used_at: MonoTime,
}

/// A request that waits for an owner's answer.
#[derive(Clone, Copy, Debug)]
pub struct WaitingRequest {
    /// The request.
    pub id: WaitId,
    /// The index of its priority.
    pub class: u8,
    /// Whether a message that includes it was sent.
    pub is_asked: bool,
}

impl EntryAccount {
    /// Whether requests of a priority are refused here without a question.
    pub fn is_blocked(&self, now: MonoTime, class: usize) -> bool {
        now < self.blocked_until && class >= usize::from(self.open_classes)
    }

    /// Moves expired tokens to those to be given back.
    pub fn expire_tokens(&mut self, now: MonoTime) {
        let expired = self.tokens.remove_expired(now);
        self.returned = self.returned.saturating_add(expired);
    }

    /// Number of tokens that should be held in advance.
    pub fn wanted(&self, now: MonoTime) -> u16 {
        let per_s = self.demand.per_s(now);
        if per_s < MIN_PREFETCH_PER_S {
            return 0;
        }
        (per_s * PREFETCH_TIME_S).ceil() as u16
    }

    /// What to ask the owner. Marks the waiting requests as asked.
    pub fn question(
        &mut self,
        now: MonoTime,
        account: &AccountName,
        is_remote: bool,
    ) -> AccountQuestion {
        self.expire_tokens(now);
        let mut waiting = [0_u16; CLASSES];
        for wait in &mut self.waits {
            wait.is_asked = true;
            let count = &mut waiting[usize::from(wait.class)];
            *count = count.saturating_add(1);
        }
        let wanted = if is_remote { self.wanted(now) } else { 0 };
        AccountQuestion {
            account: account.clone(),
            waiting,
            prefetch: wanted.saturating_sub(self.tokens.count()),
            returned: std::mem::take(&mut self.returned),
            refused: std::mem::take(&mut self.refused),
            released: self.released.take(),
        }
    }

    /// Ends the use of the fixed share, since the owner answers.
    pub fn end_share(&mut self) {
        self.share = None;
        self.redirects = 0;
    }

    /// Whether nothing would be lost if the state were dropped.
    pub fn is_idle(&self, now: MonoTime, idle: Duration) -> bool {
        now.since(self.used_at) >= idle
            && self.waits.is_empty()
            && self.tokens.count() == 0
            && self.returned == 0
    }
}
