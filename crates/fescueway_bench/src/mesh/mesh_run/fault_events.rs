//! Faults.

use std::time::Duration;

use fescueway_core::{TargetRecord, TargetState};

use super::{JOIN_TIME, MeshEvent, MeshRun, mesh_state::RequestEnd};
use crate::mesh::MeshFault;

/// Duration of the slow-start ramp of a target that has just started.
const RAMP_TIME: Duration = Duration::from_secs(3);

/// How long a backend server is cold after its start.
const COLD_TIME: Duration = Duration::from_secs(3);

impl MeshRun<'_> {
    /// Applies a fault.
    pub(super) fn apply_fault(&mut self, fault: MeshFault) {
        match fault {
            MeshFault::Shed { service, share } => self.shed_shares[service] = share,
            MeshFault::LoseAll { downtime } => self.lose_all(downtime),
            MeshFault::Replace { service, every } => self.replace(service, every),
            MeshFault::Silence { service, every } => self.silence(service, every),
        }
    }

    /// Loses all nodes: what is open fails at its caller, at once.
    fn lose_all(&mut self, downtime: Duration) {
        self.is_down = true;
        self.epoch += 1;
        for index in 0..self.requests.len() {
            let request = &mut self.requests[index];
            if request.end.is_some() || request.sent_us > self.now_us {
                continue;
            }
            if request.parent.is_some() {
                request.end = Some(RequestEnd::Failed);
            } else {
                self.end_request(index, RequestEnd::Failed);
            }
        }
        let back_us = self.now_us + (downtime + JOIN_TIME).as_micros() as u64;
        self.events.push(back_us, MeshEvent::Restart);
    }

    /// Starts all nodes and backend servers again.
    pub(super) fn restart(&mut self) {
        self.is_down = false;
        for node in 0..self.nodes.len() {
            self.start_cold(node);
            self.nodes[node].running = 0;
        }
        self.estimators.clear();
        self.join_all();
        for node in 0..self.nodes.len() {
            let at_us = self.now_us + 1;
            self.events.push(at_us, MeshEvent::LoadAnswer { node });
        }
    }

    /// Replaces one in `every` backend servers of a service. What runs ends at the old ones.
    fn replace(&mut self, service: usize, every: usize) {
        let nodes = self.nodes.iter().enumerate();
        let replaced = nodes.filter(|(_, node)| node.service == service);
        let replaced: Vec<_> = replaced.step_by(every).map(|(index, _)| index).collect();
        for node in replaced {
            self.start_cold(node);
            let starting = TargetRecord {
                state: TargetState::Starting,
                ..self.record(node)
            };
            let now = self.now();
            for routers in &mut self.routers {
                routers[service].remove_target(starting.node);
                routers[service].set_target(now, &starting);
            }
        }
    }

    /// Puts a cold backend server beside a node.
    fn start_cold(&mut self, node: usize) {
        let now = self.now();
        let node = &mut self.nodes[node];
        node.gate = Self::gate(self.deployment, now, RAMP_TIME);
        node.cold_until_us = self.now_us + COLD_TIME.as_micros() as u64;
        node.is_query_pending = false;
    }

    /// Silences the backend server of one in `every` targets of a service.
    fn silence(&mut self, service: usize, every: usize) {
        let nodes = self.nodes.iter_mut().filter(|node| node.service == service);
        for node in nodes.step_by(every) {
            node.is_silent = true;
        }
    }
}
