//! An entry's messages to one owner.

use std::{collections::BTreeSet, time::Duration};

use fescueway_core::{AccountName, MonoTime};

use crate::AccountQuestion;

/// Time between two questions to an owner that doesn't answer.
const RETRY_PERIOD: Duration = Duration::from_millis(250);

/// A message to an owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerQuestion {
    /// When it is sent, which is when the lifetime of the tokens begins.
    pub sent_at: MonoTime,
    /// What it asks, an element for each account.
    pub accounts: Vec<AccountQuestion>,
}

/// An entry's messages to one owner.
#[derive(Clone, Debug, Default)]
pub struct OwnerLink {
    /// Accounts that the next message is about.
    pub due: BTreeSet<AccountName>,
    /// Whether a message awaits its answer. There is one at a time.
    pub is_asked: bool,
    /// When the last message was sent.
    pub sent_at: Option<MonoTime>,
    /// Since when the owner has not answered.
    pub failed_since: Option<MonoTime>,
}

impl OwnerLink {
    /// Whether a message may be sent now. An owner that doesn't answer is asked from time to time.
    pub fn may_ask(&self, now: MonoTime) -> bool {
        let is_early = |sent_at: MonoTime| now.since(sent_at) < RETRY_PERIOD;
        let is_retry_early = self.failed_since.is_some() && self.sent_at.is_some_and(is_early);
        !self.is_asked && !is_retry_early
    }

    /// Whether nothing would be lost if the link were dropped.
    pub fn is_idle(&self) -> bool {
        !self.is_asked && self.due.is_empty()
    }
}
