//! A node's local targets and their announcements.

use std::{
    collections::BTreeMap,
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use fescueway_admission::{GatePlan, WarmupPace};
use fescueway_config::SitePlan;
use fescueway_core::{RateLimit, ServiceName, TargetRecord};
use tokio::sync::watch;

use crate::host::HostTarget;

/// A node's local targets and their announcements.
#[derive(Debug, Default)]
pub struct LocalTargets {
    /// The targets by service.
    targets: Mutex<BTreeMap<ServiceName, Arc<HostTarget>>>,
    /// The announced record of each service, with its watchers.
    announced: watch::Sender<Vec<TargetRecord>>,
}

impl LocalTargets {
    /// Watches the announced records.
    #[must_use]
    pub fn announced(&self) -> watch::Receiver<Vec<TargetRecord>> {
        self.announced.subscribe()
    }

    /// The record that was announced for `service`.
    #[must_use]
    pub fn record(&self, service: &ServiceName) -> Option<TargetRecord> {
        let records = self.announced.borrow();
        let mut records = records.iter();
        records.find(|record| record.service == *service).cloned()
    }

    /// Publishes a record to the watchers, replacing the service's previous one.
    pub fn publish(&self, record: TargetRecord) {
        self.announced.send_modify(|records| {
            records.retain(|known| known.service != record.service);
            records.push(record);
        });
    }

    /// The services that have a target.
    #[must_use]
    pub fn services(&self) -> Vec<ServiceName> {
        self.targets().keys().cloned().collect()
    }

    /// The target of `service`.
    #[must_use]
    pub fn get(&self, service: &ServiceName) -> Option<Arc<HostTarget>> {
        self.targets().get(service).cloned()
    }

    /// Whether a backend server has this address.
    #[must_use]
    pub fn has_address(&self, address: IpAddr) -> bool {
        let targets = self.targets();
        let mut addresses = targets.values().map(|target| target.pool().address().ip());
        addresses.any(|known_address| known_address == address)
    }

    /// Adds the target that `create` returns, replacing the service's previous one. `create` runs
    /// under the lock, so that no new configuration is applied between creation and insertion.
    pub fn insert(
        &self,
        service: ServiceName,
        create: impl FnOnce() -> HostTarget,
    ) -> Arc<HostTarget> {
        let mut targets = self.targets();
        let target = Arc::new(create());
        targets.insert(service, Arc::clone(&target));
        target
    }

    /// Removes a target and its announcement.
    pub fn remove(&self, service: &ServiceName) -> Option<Arc<HostTarget>> {
        self.announced.send_modify(|records| {
            records.retain(|record| record.service != *service);
        });
        self.targets().remove(service)
    }

    /// Begins or ends the evacuation of the failure domain for all targets.
    pub fn set_evacuated(&self, is_evacuated: bool) {
        for target in self.targets().values() {
            target.set_evacuated(is_evacuated);
        }
    }

    /// Applies a configuration to the existing targets.
    pub fn apply_plan(&self, plan: &SitePlan) {
        for (service, target) in &*self.targets() {
            target.set_queue_per_slot(queue_per_slot(plan, service));
            target.set_slot_share(slot_share(plan, service));
            target.set_warmup(warmup(plan, service));
        }
    }

    /// The targets, locked. A poisoned lock is still consistent, since every change is one call.
    fn targets(&self) -> MutexGuard<'_, BTreeMap<ServiceName, Arc<HostTarget>>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Length of the wait queue per slot of a service's target.
pub fn queue_per_slot(plan: &SitePlan, service: &ServiceName) -> f64 {
    let service = plan.services.get(service);
    let configured = service.map(|plan| plan.limit.queue_per_slot);
    configured.unwrap_or(GatePlan::default().queue_per_slot)
}

/// Maximum share of the slots of a service's target that is used.
pub fn slot_share(plan: &SitePlan, service: &ServiceName) -> f64 {
    let service = plan.services.get(service);
    let configured = service.map(|plan| plan.limit.slot_share);
    configured.unwrap_or(GatePlan::default().slot_share)
}

/// What a service's target takes while it is cold; `None` when its starts are not paced then.
pub fn warmup(plan: &SitePlan, service: &ServiceName) -> Option<WarmupPace> {
    let warmup = plan.services.get(service)?.warmup?;
    let rate = RateLimit::try_from(warmup.rate_per_s).ok();
    rate.filter(|rate| rate.per_s() > 0.0)
        .map(|rate| WarmupPace {
            rate,
            duration: warmup.duration,
        })
}
