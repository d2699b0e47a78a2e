//! What backend servers beside a node announce, and what becomes of it.

use std::{net::IpAddr, sync::Arc, time::Duration};

use fescueway_admission::GatePlan;
use fescueway_core::{NodeId, ServiceName, TargetRecord, TargetState};
use tokio::{sync::watch, time::sleep};

use super::ProxyState;
use crate::{
    backend_announcement::BackendAnnouncement,
    host::HostTarget,
    local_targets::{queue_per_slot, slot_share},
};

/// The backend servers beside this node.
impl ProxyState {
    /// What the backend servers of this node announced, as it changes.
    #[must_use]
    pub fn announced(&self) -> watch::Receiver<Vec<TargetRecord>> {
        self.0.targets.announced()
    }

    /// Notes an offer of `entry` to a target of this node.
    pub(crate) fn record_entry(&self, entry: NodeId) {
        self.0.recent_entries.record(self.now(), entry);
    }

    /// The entries that sent this node requests in the last 30 to 60 s, sorted.
    #[must_use]
    pub fn recent_entries(&self) -> Vec<NodeId> {
        self.0.recent_entries.get(self.now())
    }

    /// A backend server takes work. Announced again unchanged it goes on as it was.
    pub fn announce(&self, announcement: &BackendAnnouncement) {
        let record = self.local_record(announcement);
        let known = self.0.targets.record(&announcement.service);
        if known.is_some_and(|known| has_same_capacity(&known, &record))
            && self.is_same_backend(announcement)
        {
            return;
        }
        let service = announcement.service.clone();
        let targets = &self.0.targets;
        if let Some(replaced) = targets.get(&service) {
            replaced.drain();
        }
        let target = targets.insert(service.clone(), || self.new_target(announcement));
        let ramp_time = ramp_time(announcement);
        let finishing = self.clone().finish_warmup(service, target, ramp_time);
        self.0.tasks.spawn(finishing);
        self.publish(record);
    }

    /// A backend server left: its target is gone.
    pub fn withdraw(&self, service: &ServiceName) {
        if let Some(target) = self.0.targets.remove(service) {
            target.drain();
        }
        self.remove_target(self.node(), service);
    }

    /// A backend server takes nothing new from now on. Nothing happens when there is none.
    pub fn drain(&self, service: &ServiceName) {
        let Some(target) = self.host_target(service) else {
            return;
        };
        target.drain();
        self.set_state(service, TargetState::Draining);
    }

    /// A backend server takes work again. Nothing happens when there is none.
    pub fn undrain(&self, service: &ServiceName) {
        let Some(target) = self.host_target(service) else {
            return;
        };
        target.undrain();
        self.set_state(service, TargetState::Serving);
    }

    /// Services whose backend server is beside this node.
    #[must_use]
    pub fn local_services(&self) -> Vec<ServiceName> {
        self.0.targets.services()
    }

    /// Slots that the target of `service` beside this node announced; zero without one.
    #[must_use]
    pub fn announced_slots(&self, service: &ServiceName) -> u32 {
        self.0
            .targets
            .record(service)
            .map_or(0, |record| record.slots)
    }

    /// The target of this node that serves `service`.
    #[must_use]
    pub fn host_target(&self, service: &ServiceName) -> Option<Arc<HostTarget>> {
        self.0.targets.get(service)
    }

    /// Whether a backend server of this node has this address.
    pub(crate) fn is_local_backend(&self, address: IpAddr) -> bool {
        self.0.targets.has_address(address)
    }

    /// Announces a target as serving once it has warmed up, unless it left or drains by then.
    async fn finish_warmup(
        self,
        service: ServiceName,
        target: Arc<HostTarget>,
        ramp_time: Duration,
    ) {
        sleep(ramp_time).await;
        let current = self.host_target(&service);
        let is_current = current.is_some_and(|current| Arc::ptr_eq(&current, &target));
        let record = self.0.targets.record(&service);
        let is_starting = record.is_some_and(|record| record.state == TargetState::Starting);
        if is_current && is_starting {
            self.set_state(&service, TargetState::Serving);
        }
    }

    /// The record of an announcement.
    fn local_record(&self, announcement: &BackendAnnouncement) -> TargetRecord {
        TargetRecord {
            node: self.node(),
            service: announcement.service.clone(),
            peer_address: self.0.options.peer_address,
            domain: self.0.options.domain.clone(),
            slots: announcement.slots,
            connections: announcement.connections,
            state: TargetState::Starting,
        }
    }

    /// The target of an announcement, by the configuration in force.
    fn new_target(&self, announcement: &BackendAnnouncement) -> HostTarget {
        let plan = GatePlan {
            slots: announcement.slots,
            slot_share: slot_share(&self.plan(), &announcement.service),
            queue_per_slot: queue_per_slot(&self.plan(), &announcement.service),
            ramp_time: ramp_time(announcement),
        };
        HostTarget::new(
            announcement,
            plan,
            Arc::clone(&self.0.limits),
            self.0.tasks.clone(),
            self.0.clock,
        )
    }

    /// Whether an announcement is of the backend server that is known.
    fn is_same_backend(&self, announcement: &BackendAnnouncement) -> bool {
        let known = self.host_target(&announcement.service);
        known.is_some_and(|known| {
            known.pool().address() == announcement.address
                && known.identity() == announcement.identity.as_ref()
        })
    }

    /// Changes the state in the record of `service`.
    fn set_state(&self, service: &ServiceName, state: TargetState) {
        if let Some(mut record) = self.0.targets.record(service) {
            record.state = state;
            self.publish(record);
        }
    }

    /// Tells a record to the entry and to those who watch.
    fn publish(&self, record: TargetRecord) {
        self.set_target(&record);
        self.0.targets.publish(record);
    }
}

/// How long a backend server takes until all its slots are used.
fn ramp_time(announcement: &BackendAnnouncement) -> Duration {
    let warmup_left = announcement.warmup_left;
    warmup_left.unwrap_or(GatePlan::default().ramp_time)
}

/// Whether two records differ in nothing but their state.
fn has_same_capacity(known: &TargetRecord, record: &TargetRecord) -> bool {
    known.slots == record.slots && known.connections == record.connections
}
