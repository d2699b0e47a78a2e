//! Faults, and how membership tells of them.

use std::time::Duration;

use fescueway_admission::{GateAction, TicketId};
use fescueway_core::{NodeId, TargetRecord, TargetState};

use super::{
    RigRun, domain_name,
    rig_state::{ReplyKind, RequestEnd},
};
use crate::rig::{fake_target::FakeTarget, scenario::RigFault};

/// Speed of a cold target.
const COLD_SPEED: f64 = 0.4;

/// How long a cold target's gate ramps up.
const RAMP_TIME: Duration = Duration::from_secs(2);

impl RigRun<'_> {
    /// A fault strikes.
    pub(super) fn strike(&mut self, fault: RigFault) {
        match fault {
            RigFault::Slow { target, speed } => self.change(target, |fake| fake.speed = speed),
            RigFault::Noisy { target, share } => {
                self.change(target, |fake| fake.cores = fake.slots as f64 * share);
            }
            RigFault::FailFast { target } => self.change(target, |fake| fake.is_failing = true),
            RigFault::Warm { target } => self.change(target, |fake| fake.speed = 1.0),
            RigFault::ColdStart { target } => {
                self.change(target, |fake| fake.speed = COLD_SPEED);
                self.gates[target] = Self::gate(self.shape, self.now_us, RAMP_TIME);
                self.announce(target, TargetState::Starting);
            }
            RigFault::Drain { target } => {
                self.is_draining[target] = true;
                if self.policy.is_told_of_drains {
                    self.is_known[target] = false;
                }
                let now = self.now();
                let actions = self.gates[target].drain(now);
                self.apply(target, &actions);
            }
            RigFault::DomainLost { domain } => self.lose_domain(domain),
        }
    }

    /// Changes a backend server and what it has scheduled.
    pub(super) fn change(&mut self, target: usize, set: impl FnOnce(&mut FakeTarget)) {
        self.targets[target].advance(self.now_us);
        set(&mut self.targets[target]);
        self.schedule(target);
    }

    /// A failure domain is lost: what is at its targets is lost, and so are its entries.
    pub(super) fn lose_domain(&mut self, domain: usize) {
        self.is_domain_up[domain] = false;
        for request in 0..self.requests.len() {
            let is_own = self.requests[request].entry % self.shape.domains == domain;
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

    /// Membership tells the entries of a fault.
    pub(super) fn spread(&mut self, fault: RigFault) {
        match fault {
            RigFault::Drain { target } => self.announce(target, TargetState::Draining),
            RigFault::DomainLost { domain } => {
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

    /// Tells every router of a target.
    pub(super) fn announce(&mut self, target: usize, state: TargetState) {
        self.is_known[target] = state != TargetState::Draining;
        let record = TargetRecord {
            node: NodeId(target as u64),
            service: "reads".into(),
            peer_address: ([127, 0, 0, 1], 1).into(),
            domain: domain_name(self.targets[target].domain),
            slots: self.shape.slots as u32,
            connections: 250,
            state,
        };
        let now = self.now();
        for router in &mut self.routers {
            router.set_target(now, &record);
        }
    }
}
