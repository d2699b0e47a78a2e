//! Registration and draining of a node's local backend servers.

use std::{net::IpAddr, sync::Arc, time::Duration};

use fescueway_admission::GatePlan;
use fescueway_core::{NodeId, ServiceName, TargetRecord, TargetState};
use tokio::{sync::watch, time::sleep};

use super::ProxyState;
use crate::{
    backend_announcement::BackendAnnouncement,
    host::HostTarget,
    local_targets::{queue_per_slot, slot_share, warmup},
};

/// The local backend servers.
impl ProxyState {
    /// Watches the announced targets of this node.
    #[must_use]
    pub fn announced(&self) -> watch::Receiver<Vec<TargetRecord>> {
        self.0.targets.announced()
    }

    /// Records that `entry` sent an offer to a target of this node.
    pub(crate) fn record_entry(&self, entry: NodeId) {
        self.0.recent_entries.record(self.now(), entry);
    }

    /// The entries that sent this node requests in the last 30 to 60 s, sorted.
    #[must_use]
    pub fn recent_entries(&self) -> Vec<NodeId> {
        self.0.recent_entries.get(self.now())
    }

    /// Adds the target of a backend server, or replaces it when the announcement differs. An
    /// unchanged announcement has no effect.
    pub fn announce(&self, announcement: &BackendAnnouncement) {
        let record = self.local_record(announcement);
        let known = self.0.targets.record(&announcement.service);
        let replaced = self.host_target(&announcement.service);
        if known.is_some_and(|known| has_same_capacity(&known, &record))
            && let Some(known) = &replaced
            && is_same_backend(known, announcement)
        {
            let server = announcement.server_start();
            if server.is_named() {
                known.set_server(server);
            }
            if let Some(left) = announcement.cold_left {
                let change = known.learn_cold_report(left);
                self.apply_notice_change(&announcement.service, known, &change);
            }
            return;
        }
        let service = announcement.service.clone();
        let targets = &self.0.targets;
        let target = targets.insert(service.clone(), || self.new_target(announcement));
        if let Some(replaced) = replaced {
            target.inherit(&replaced);
            replaced.drain();
        }
        let state = if target.is_draining() {
            TargetState::Draining
        } else {
            record.state
        };
        let ramp_time = ramp_time(announcement);
        let finishing = self.clone().finish_warmup(service, target, ramp_time);
        self.0.tasks.spawn(finishing);
        self.publish(TargetRecord { state, ..record });
    }

    /// Drains and removes the target of a backend server that left.
    pub fn withdraw(&self, service: &ServiceName) {
        if let Some(target) = self.0.targets.remove(service) {
            target.drain();
        }
        self.remove_target(self.node(), service);
    }

    /// Stops admitting new requests to the local target. No effect without a target.
    pub fn drain(&self, service: &ServiceName) {
        let Some(target) = self.host_target(service) else {
            return;
        };
        target.drain();
        self.set_state(service, TargetState::Draining);
    }

    /// Admits requests to the local target again. No effect without a target, or while its backend
    /// server is leaving.
    pub fn undrain(&self, service: &ServiceName) {
        let Some(target) = self.host_target(service) else {
            return;
        };
        target.undrain();
        if !target.is_draining() {
            self.set_state(service, TargetState::Serving);
        }
    }

    /// Services that have a local backend server.
    #[must_use]
    pub fn local_services(&self) -> Vec<ServiceName> {
        self.0.targets.services()
    }

    /// Slots that the local target of `service` announced; zero without a target.
    #[must_use]
    pub fn announced_slots(&self, service: &ServiceName) -> u32 {
        self.0
            .targets
            .record(service)
            .map_or(0, |record| record.slots)
    }

    /// The local target that serves `service`.
    #[must_use]
    pub fn host_target(&self, service: &ServiceName) -> Option<Arc<HostTarget>> {
        self.0.targets.get(service)
    }

    /// Whether a backend server of this node has this address.
    pub(crate) fn is_local_backend(&self, address: IpAddr) -> bool {
        self.0.targets.has_address(address)
    }

    /// Announces a target as serving after its warm-up, unless it has left or drains by then.
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

    /// The target record for an announcement.
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

    /// Creates the target for an announcement, with the configuration in force.
    fn new_target(&self, announcement: &BackendAnnouncement) -> HostTarget {
        let plan = GatePlan {
            slots: announcement.slots,
            slot_share: slot_share(&self.plan(), &announcement.service),
            queue_per_slot: queue_per_slot(&self.plan(), &announcement.service),
            ramp_time: ramp_time(announcement),
            warmup: warmup(&self.plan(), &announcement.service),
        };
        let target = HostTarget::new(
            announcement,
            plan,
            Arc::clone(&self.0.limits),
            self.0.tasks.clone(),
            self.0.clock,
        );
        target.set_evacuated(self.is_evacuated(&self.0.options.domain));
        target
    }

    /// Changes the state in the record of `service`.
    pub(super) fn set_state(&self, service: &ServiceName, state: TargetState) {
        if let Some(mut record) = self.0.targets.record(service) {
            record.state = state;
            self.publish(record);
        }
    }

    /// Passes a record to the route table and to the watchers.
    fn publish(&self, record: TargetRecord) {
        self.set_target(&record);
        self.0.targets.publish(record);
    }
}

/// Whether an announcement is of the known backend server and of the same start of it.
fn is_same_backend(known: &HostTarget, announcement: &BackendAnnouncement) -> bool {
    let server = announcement.server_start();
    known.pool().address() == announcement.address
        && known.identity() == announcement.identity.as_ref()
        && (!server.is_named() || known.server().is_same(server))
}

/// Duration of the target's slow-start ramp: the announced one, or the default.
fn ramp_time(announcement: &BackendAnnouncement) -> Duration {
    let warmup_left = announcement.warmup_left;
    warmup_left.unwrap_or(GatePlan::default().ramp_time)
}

/// Whether two records of one service have the same slots and connections.
fn has_same_capacity(known: &TargetRecord, record: &TargetRecord) -> bool {
    known.slots == record.slots && known.connections == record.connections
}
