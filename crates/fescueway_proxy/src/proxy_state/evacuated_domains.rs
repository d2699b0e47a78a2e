//! Failure domains whose targets should get no requests.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
};

use fescueway_core::DomainName;

use super::{ProxyState, lock};

/// Failure domains whose targets should get no requests.
#[derive(Debug, Default)]
pub struct EvacuatedDomains {
    /// Whether there are any, so that requests take no lock otherwise.
    is_any: AtomicBool,
    /// Their names.
    domains: Mutex<Arc<BTreeSet<DomainName>>>,
}

impl ProxyState {
    /// Replaces the set of evacuated failure domains.
    pub fn set_evacuated(&self, domains: BTreeSet<DomainName>) {
        let evacuated = &self.0.evacuated;
        let is_any = !domains.is_empty();
        *lock(&evacuated.domains) = Arc::new(domains);
        evacuated.is_any.store(is_any, Ordering::Release);
    }

    /// The evacuated failure domains.
    #[must_use]
    pub fn evacuated(&self) -> Arc<BTreeSet<DomainName>> {
        Arc::clone(&lock(&self.0.evacuated.domains))
    }

    /// Whether the failure domain is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, domain: &DomainName) -> bool {
        let evacuated = &self.0.evacuated;
        evacuated.is_any.load(Ordering::Acquire) && lock(&evacuated.domains).contains(domain)
    }
}
