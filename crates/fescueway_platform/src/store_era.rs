//! Eras of the store: what was derived from its data in one era means nothing in another.

use tokio::sync::watch;

use crate::StoreFault;

/// The incarnation of the store's data. It rises each time the store comes back from an older copy:
/// writes since then are gone, and revisions and leases are given out again.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StoreEra(pub u64);

/// A revision of the store in one of its eras. Revisions of different eras can't be compared.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreRevision {
    /// The era in which the store gave it out.
    pub era: StoreEra,
    /// Counts the changes to the store.
    pub number: i64,
}

impl StoreRevision {
    /// The revision with this number, in the default era until the client knows that of the answer.
    #[must_use]
    pub fn new(number: i64) -> Self {
        Self {
            era: StoreEra::default(),
            number,
        }
    }

    /// The revision of the next change.
    #[must_use]
    pub const fn next(self) -> Self {
        Self {
            era: self.era,
            number: self.number + 1,
        }
    }
}

/// Follows the era of the store by its answers. Clones share the era.
///
/// Some protocols name the era in each answer. With others, a revision that falls tells that the store
/// came back from an older copy, and the eras are counted here.
#[derive(Clone, Debug, Default)]
pub(crate) struct EraTracker {
    newest: watch::Sender<EraState>,
}

/// What is known of the newest era.
#[derive(Clone, Copy, Debug, Default)]
struct EraState {
    /// The highest revision seen in it.
    revision: StoreRevision,
    /// Whether the store names its eras.
    is_named: bool,
}

impl EraTracker {
    /// The highest revision seen in the newest era.
    pub(crate) fn newest(&self) -> StoreRevision {
        self.newest.borrow().revision
    }

    /// Records the era that an answer names, and returns the era of the answer. `sent_at` is the newest
    /// revision that was known when the call was sent.
    ///
    /// # Errors
    /// If the answer is of a former era.
    pub(crate) fn observe_era(
        &self,
        named: Option<StoreEra>,
        sent_at: StoreRevision,
    ) -> Result<StoreEra, StoreFault> {
        let era = named.unwrap_or(sent_at.era);
        self.newest.send_if_modified(|newest| {
            let is_first = named.is_some() && !newest.is_named;
            newest.is_named |= is_first;
            let current = newest.revision.era;
            let is_other = era > current || (is_first && era != current);
            if is_other {
                newest.revision = StoreRevision { era, number: 0 };
            }
            is_other
        });
        if era == self.newest().era {
            Ok(era)
        } else {
            Err(StoreFault::Restored)
        }
    }

    /// Records the store revision of an answer that must not be older than what was known when the call
    /// was sent. Zero stands for an answer without a revision.
    ///
    /// # Errors
    /// If the revision has fallen although the store names no eras: it came back from an older copy.
    pub(crate) fn observe_revision(
        &self,
        found: StoreRevision,
        sent_at: StoreRevision,
    ) -> Result<(), StoreFault> {
        if found.number == 0 {
            return Ok(());
        }
        let is_lower = found.era == sent_at.era && found.number < sent_at.number;
        let has_ended = self.newest.send_if_modified(|newest| {
            let revision = &mut newest.revision;
            let has_ended = is_lower && !newest.is_named && revision.era == found.era;
            if has_ended {
                revision.era.0 += 1;
                revision.number = found.number;
            } else if revision.era == found.era {
                revision.number = revision.number.max(found.number);
            }
            has_ended
        });
        if has_ended {
            Err(StoreFault::Restored)
        } else {
            Ok(())
        }
    }

    /// Waits until the store is in another era than `era`.
    pub(crate) async fn wait_for_end(&self, era: StoreEra) {
        let mut newest = self.newest.subscribe();
        // Fails only without a sender, and this tracker is one.
        let _ = newest.wait_for(|newest| newest.revision.era != era).await;
    }
}
