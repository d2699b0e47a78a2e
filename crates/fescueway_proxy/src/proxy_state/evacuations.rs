//! The evacuated failure domains, to whose targets nothing is sent.

use std::{
    collections::BTreeSet,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use fescueway_core::DomainName;

use super::ProxyState;

/// The evacuated failure domains.
#[derive(Debug, Default)]
pub(super) struct Evacuations {
    /// Whether any domain is evacuated.
    is_any: AtomicBool,
    /// The domains.
    domains: Mutex<BTreeSet<DomainName>>,
    /// Locked while a change is applied, so that changes are applied in their order. `domains` is not
    /// locked meanwhile, since targets that are created look at it.
    change: Mutex<()>,
}

impl ProxyState {
    /// Sets the evacuated failure domains. Nothing is sent to targets of these domains from the moment
    /// at which the call returns.
    pub fn set_evacuated(&self, domains: BTreeSet<DomainName>) {
        let evacuations = &self.0.evacuations;
        let change = evacuations.change.lock();
        let _change = change.unwrap_or_else(PoisonError::into_inner);
        if self.evacuated() == domains {
            return;
        }
        let is_any = !domains.is_empty();
        evacuations.set(domains);
        evacuations.is_any.store(is_any, Ordering::Relaxed);
        self.apply_evacuations(&self.evacuated());
    }

    /// Whether a failure domain is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, domain: &DomainName) -> bool {
        self.0.evacuations.is_any.load(Ordering::Relaxed) && self.evacuated().contains(domain)
    }

    /// The evacuated failure domains.
    #[must_use]
    pub fn evacuated(&self) -> BTreeSet<DomainName> {
        let domains = self.0.evacuations.domains.lock();
        domains.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Evacuations {
    /// Replaces the domains.
    fn set(&self, domains: BTreeSet<DomainName>) {
        *self.domains.lock().unwrap_or_else(PoisonError::into_inner) = domains;
    }
}
