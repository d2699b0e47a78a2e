//! Until when the keys of the configuration in force are known to be valid.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use fescueway_config::SitePlan;
use fescueway_core::BootTime;

use super::ProxyState;
use crate::boot_clock::BootClock;

/// When the configuration in force was last known to be the latest one.
#[derive(Debug, Default)]
pub struct KeyProof {
    /// Time of the latest proof, in microseconds; zero before the first one. Never decreases.
    proven_at: AtomicU64,
}

impl ProxyState {
    /// Records that at `time` no later configuration existed than the one in force now.
    pub fn set_key_proof(&self, time: BootTime) {
        if time == BootTime::UNKNOWN {
            return;
        }
        // The configuration was put in force before this call.
        let proven_at = &self.0.key_proof.proven_at;
        proven_at.fetch_max(time.as_micros(), Ordering::Release);
    }

    /// Age of the latest proof; `None` before the first one.
    #[must_use]
    pub fn key_proof_age(&self) -> Option<Duration> {
        let proven_at = self.0.key_proof.proven_at.load(Ordering::Acquire);
        (proven_at > 0).then(|| BootClock::now().since(BootTime::from_micros(proven_at)))
    }

    /// Whether a key that `plan` has may be used, or one that it lacks may be rejected.
    pub(crate) fn is_key_proven(&self, plan: &SitePlan) -> bool {
        let Some(limit) = self.0.options.key_proof else {
            return true;
        };
        // The proof is read first: it also holds for any configuration that comes in force later, but
        // not for one that was replaced before the proof.
        let is_fresh = self.key_proof_age().is_some_and(|age| age < limit);
        is_fresh && std::ptr::eq(plan, Arc::as_ptr(&self.plan()))
    }
}
