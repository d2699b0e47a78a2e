//! Faults and their announcement by membership.

use std::time::Duration;

use fescueway_admission::{GateAction, TicketId};
use fescueway_core::{NodeId, TargetRecord, TargetState};

use super::{
    SimRun, domain_name,
    request_state::{ReplyKind, RequestEnd},
};
use crate::simulation::{fake_target::FakeTarget, scenario::SimFault};

/// Speed of a cold target, 1 for full.
const COLD_SPEED: f64 = 0.4;

/// Duration of the slow-start ramp of a cold target's gate.
const RAMP_TIME: Duration = Duration::from_secs(2);

impl SimRun<'_> {
    /// Applies a fault.
    pub(super) fn apply_fault(&mut self, fault: SimFault) {
        match fault {
            SimFault::Slow { target, speed } => self.modify(target, |fake| fake.speed = speed),
            SimFault::Noisy { target, share } => {
                self.modify(target, |fake| fake.cores = fake.slots as f64 * share);
            }
            SimFault::FailFast { target } => self.modify(target, |fake| fake.is_failing = true),
            SimFault::Warm { target } => self.modify(target, |fake| fake.speed = 1.0),
            SimFault::ColdStart { target } => {
                self.modify(target, |fake| fake.speed = COLD_SPEED);
                self.gates[target] = Self::gate(self.deployment, self.now_us, RAMP_TIME);
                self.announce_target(target, TargetState::Starting);
            }
            SimFault::Drain { target } => {
                self.is_draining[target] = true;
                if self.policy.is_told_of_drains {
                    self.is_known[target] = false;
                }
                let now = self.now();
                let actions = self.gates[target].drain(now);
                self.apply_actions(target, &actions);
            }
            SimFault::DomainLost { domain } => self.fail_domain(domain),
        }
    }

    /// Changes a backend server and reschedules its next finish event.
    pub(super) fn modify(&mut self, target: usize, update: impl FnOnce(&mut FakeTarget)) {
        self.targets[target].advance(self.now_us);
        update(&mut self.targets[target]);
        self.schedule(target);
    }

    /// Fails a domain: the requests at its targets and the requests of its entries are lost.
    pub(super) fn fail_domain(&mut self, domain: usize) {
        self.is_domain_up[domain] = false;
        for request in 0..self.requests.len() {
            let is_own = self.requests[request].entry % self.deployment.domains == domain;
            let is_sent = self.requests[request].sent_us <= self.now_us;
            if is_own && is_sent && self.states[request].end.is_none() {
                self.states[request].end = Some(RequestEnd::EntryLost);
            }
        }
        for target in 0..self.targets.len() {
            if self.targets[target].domain != domain {
                continue;
            }
            let mut lost = self.targets[target].crash(self.now_us);
            lost.extend(self.queues[target].drain(..));
            let now = self.now();
            for action in self.gates[target].drain(now) {
                if let GateAction::Refuse(TicketId(offer), _) = action {
                    lost.push(offer as usize);
                }
            }
            for offer in lost {
                self.reply(offer, ReplyKind::Lost);
            }
        }
    }

    /// Reports a fault to the entries through membership.
    pub(super) fn announce_fault(&mut self, fault: SimFault) {
        match fault {
            SimFault::Drain { target } => self.announce_target(target, TargetState::Draining),
            SimFault::DomainLost { domain } => {
                for target in 0..self.targets.len() {
                    if self.targets[target].domain == domain {
                        self.is_known[target] = false;
                        let node = NodeId(target as u64);
                        for router in &mut self.routers {
                            router.remove_target(node);
                        }
                    }
                }
            }
            _ => {}
        }
    }

    /// Announces the state of a target to every router.
    pub(super) fn announce_target(&mut self, target: usize, state: TargetState) {
        self.is_known[target] = state != TargetState::Draining;
        let record = TargetRecord {
            node: NodeId(target as u64),
            service: "reads".into(),
            peer_address: ([127, 0, 0, 1], 1).into(),
            domain: domain_name(self.targets[target].domain),
            slots: self.deployment.slots as u32,
            connections: 250,
            state,
        };
        let now = self.now();
        for router in &mut self.routers {
            router.set_target(now, &record);
        }
    }
}
