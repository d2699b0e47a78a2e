//! The failure domains that operators evacuate, as of a revision of the store.

use std::collections::BTreeSet;

use fescueway_core::DomainName;
use serde::{Deserialize, Serialize};

/// The failure domains that operators evacuate, as of a revision of the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuationSet {
    /// The era and the revision of the store. The pair never decreases; both are zero for a set that may be
    /// outdated, which any other one replaces.
    pub revision: (u64, i64),
    /// Their names.
    pub domains: BTreeSet<DomainName>,
}

impl EvacuationSet {
    /// Replaces the set by a later one. Returns whether the domains changed.
    pub fn replace(&mut self, later: Self) -> bool {
        if later.revision <= self.revision {
            return false;
        }
        let is_changed = later.domains != self.domains;
        *self = later;
        is_changed
    }

    /// Records that the evacuation of a domain began or ended at a revision of the set's era. Returns
    /// whether the domains changed.
    ///
    /// All changes of one answer have to be recorded before [`EvacuationSet::advance`].
    pub fn change(&mut self, revision: (u64, i64), domain: DomainName, is_begin: bool) -> bool {
        if revision <= self.revision || revision.0 != self.revision.0 {
            return false;
        }
        if is_begin {
            self.domains.insert(domain)
        } else {
            self.domains.remove(&domain)
        }
    }

    /// Records that all changes up to this revision of the set's era were recorded.
    pub fn advance(&mut self, revision: (u64, i64)) {
        if revision.0 == self.revision.0 {
            self.revision = self.revision.max(revision);
        }
    }
}
