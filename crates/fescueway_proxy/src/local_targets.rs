//! The targets beside a node, and what their backend servers announced.

use std::{
    collections::BTreeMap,
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use fescueway_admission::GatePlan;
use fescueway_config::SitePlan;
use fescueway_core::{ServiceName, TargetRecord};
use tokio::sync::watch;

use crate::host::HostTarget;

/// The targets beside a node, and what their backend servers announced.
#[derive(Debug, Default)]
pub struct LocalTargets {
    /// The targets.
    targets: Mutex<BTreeMap<ServiceName, Arc<HostTarget>>>,
    /// The announcements, one for each service, told to those who watch.
    announced: watch::Sender<Vec<TargetRecord>>,
}

impl LocalTargets {
    /// The announcements, as they change.
    #[must_use]
    pub fn announced(&self) -> watch::Receiver<Vec<TargetRecord>> {
        self.announced.subscribe()
    }

    /// What was announced for `service`.
    #[must_use]
    pub fn record(&self, service: &ServiceName) -> Option<TargetRecord> {
        let records = self.announced.borrow();
        let mut records = records.iter();
        records.find(|record| record.service == *service).cloned()
    }

    /// Tells an announcement to those who watch, in place of the service's last.
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

    /// Adds the target that `create` makes, in place of the service's last. No configuration comes
    /// into force between the two.
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

    /// Forgets a target and its announcement.
    pub fn remove(&self, service: &ServiceName) -> Option<Arc<HostTarget>> {
        self.announced.send_modify(|records| {
            records.retain(|record| record.service != *service);
        });
        self.targets().remove(service)
    }

    /// Puts a configuration in force for the targets that are there.
    pub fn apply_plan(&self, plan: &SitePlan) {
        for (service, target) in &*self.targets() {
            target.set_queue_per_slot(queue_per_slot(plan, service));
            target.set_slot_share(slot_share(plan, service));
        }
    }

    /// The targets, locked. A panic elsewhere leaves them whole: every change is one call.
    fn targets(&self) -> MutexGuard<'_, BTreeMap<ServiceName, Arc<HostTarget>>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Requests of a service that may wait for each slot of its target.
pub fn queue_per_slot(plan: &SitePlan, service: &ServiceName) -> f64 {
    let service = plan.services.get(service);
    let configured = service.map(|plan| plan.limit.queue_per_slot);
    configured.unwrap_or(GatePlan::default().queue_per_slot)
}

/// Share of the slots of a service's target that are used at most.
pub fn slot_share(plan: &SitePlan, service: &ServiceName) -> f64 {
    let service = plan.services.get(service);
    let configured = service.map(|plan| plan.limit.slot_share);
    configured.unwrap_or(GatePlan::default().slot_share)
}
