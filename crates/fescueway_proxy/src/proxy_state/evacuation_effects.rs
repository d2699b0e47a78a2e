//! What the evacuation of failure domains changes at this node.

use std::collections::BTreeSet;

use fescueway_core::{DomainName, ServiceName};
use fescueway_telemetry::{emit, events::path};

use super::ProxyState;

impl ProxyState {
    /// Applies the evacuated failure domains: the gates of this node's targets refuse offers if its own
    /// domain is one of them, and the routers exclude the targets of all of them.
    pub(super) fn apply_evacuations(&self, domains: &BTreeSet<DomainName>) {
        let is_evacuated = domains.contains(&self.0.options.domain);
        self.0.targets.set_evacuated(is_evacuated);
        self.0.routes.set_evacuated(self.now(), domains);
        let names: Vec<_> = domains.iter().map(ToString::to_string).collect();
        emit(&path::EVACUATION_CHANGED, &[&self.node(), &names.join(",")]);
        for capacity in self.0.routes.evacuated_capacities() {
            emit(
                &path::EVACUATION_CAPACITY,
                &[
                    &capacity.service,
                    &capacity.targets_left,
                    &capacity.slots_left,
                    &capacity.slots_evacuated,
                ],
            );
            if capacity.targets_left == 0 {
                self.log_evacuated_service(&capacity.service);
            }
        }
    }

    /// Logs that all targets of a service are in evacuated failure domains.
    pub(crate) fn log_evacuated_service(&self, service: &ServiceName) {
        let log_limit = &self.0.evacuated_services;
        log_limit.emit(self.now(), service.clone(), &[&self.node(), service]);
    }
}
