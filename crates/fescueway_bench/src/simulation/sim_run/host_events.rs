//! Events at the hosts and their backend servers.

use fescueway_admission::{GateAction, GateResult, RunEnd, TicketId};
use fescueway_core::{LoadReport, NodeId};
use fescueway_routing::{OfferEnd, RouteEvent};

use super::{
    SimRun,
    request_state::{ReplyKind, SimOffer, SimReply},
};
use crate::simulation::sim_event::SimEvent;

/// Time that a failing target takes to answer, in microseconds.
const FAILURE_US: f64 = 500.0;

impl SimRun<'_> {
    /// Handles an offer that arrives at its host.
    pub(super) fn receive_offer(&mut self, offer: usize) {
        let target = self.offers[offer].target;
        self.on_wire[target] -= 1;
        if !self.targets[target].is_up {
            self.reply(offer, ReplyKind::Lost);
            return;
        }
        let now = self.now();
        let Some(permit) = &self.offers[offer].permit else {
            self.queues[target].push_back(offer);
            self.run_queue(target);
            return;
        };
        let ticket = TicketId(offer as u64);
        match self.gates[target].offer(now, ticket, permit.terms()) {
            GateResult::Run => self.start(offer),
            GateResult::Wait => self.schedule_wake(target),
            GateResult::Refuse(refusal) => self.reply(offer, ReplyKind::Refused(refusal)),
        }
        self.schedule(target);
    }

    /// Starts the requests waiting at a target while it has free slots, under a simple policy.
    pub(super) fn run_queue(&mut self, target: usize) {
        while self.targets[target].running() < self.deployment.slots
            && let Some(offer) = self.queues[target].pop_front()
        {
            self.start(offer);
        }
        self.schedule(target);
    }

    /// Starts the request of an offer at its backend server.
    pub(super) fn start(&mut self, offer: usize) {
        let SimOffer {
            request, target, ..
        } = self.offers[offer];
        self.states[request].runs += 1;
        if self.is_draining[target] {
            self.results.run_after_drain += 1;
        }
        let is_failure = self.targets[target].is_failing;
        let work_us = if is_failure {
            FAILURE_US
        } else {
            self.requests[request].work_us
        };
        self.targets[target].start(self.now_us, offer, work_us, is_failure);
    }

    /// Schedules the next finish event of a target.
    pub(super) fn schedule(&mut self, target: usize) {
        if let Some(at_us) = self.targets[target].next_finish_us() {
            let version = self.targets[target].version;
            let event = SimEvent::Finish { target, version };
            self.events.push(at_us.max(self.now_us), event);
        }
    }

    /// Schedules the next tick of a gate.
    pub(super) fn schedule_wake(&mut self, target: usize) {
        if let Some(at) = self.gates[target].next_wake() {
            let at_us = at.as_micros().max(self.now_us);
            self.events.push(at_us, SimEvent::Wake { target });
        }
    }

    /// Replies to the finished requests of a target and releases their slots.
    pub(super) fn finish_requests(&mut self, target: usize) {
        for (offer, is_failure) in self.targets[target].take_finished(self.now_us) {
            let (kind, end) = if is_failure {
                (ReplyKind::Failed, RunEnd::Failed)
            } else {
                (ReplyKind::Answered, RunEnd::Answered)
            };
            self.release(target, offer, end);
            self.reply(offer, kind);
        }
        self.schedule(target);
    }

    /// Releases a slot.
    pub(super) fn release(&mut self, target: usize, offer: usize, end: RunEnd) {
        if self.policy.pick.is_some() {
            self.run_queue(target);
            return;
        }
        let ticket = TicketId(offer as u64);
        let now = self.now();
        let actions = self.gates[target].finish(now, ticket, end);
        self.apply_actions(target, &actions);
    }

    /// Applies the actions of a gate.
    pub(super) fn apply_actions(&mut self, target: usize, actions: &[GateAction]) {
        for action in actions {
            match *action {
                GateAction::Run(TicketId(offer)) => self.start(offer as usize),
                GateAction::Refuse(TicketId(offer), refusal) => {
                    self.reply(offer as usize, ReplyKind::Refused(refusal));
                }
            }
        }
        self.schedule(target);
    }

    /// Sends a host's reply to an offer.
    pub(super) fn reply(&mut self, offer: usize, kind: ReplyKind) {
        let target = self.offers[offer].target;
        let report = self.targets[target].is_up.then(|| self.report(target));
        let reply = self.replies.len();
        self.replies.push(SimReply {
            offer,
            kind,
            report,
        });
        let at_us = self.now_us + self.trip_us(offer);
        self.events.push(at_us, SimEvent::Reply { reply });
    }

    /// Returns the load report of a target.
    pub(super) fn report(&self, target: usize) -> LoadReport {
        if self.policy.pick.is_none() {
            return self.gates[target].report(self.now());
        }
        LoadReport {
            in_flight: self.targets[target].running() as u32,
            queued: self.queues[target].len() as u32,
            ..LoadReport::default()
        }
    }

    /// Handles a cancellation that arrives at the host. The router learns of it without the delay
    /// of a reply.
    pub(super) fn cancel(&mut self, offer: usize) {
        let target = self.offers[offer].target;
        let Some(_) = self.offers[offer].permit.take() else {
            return;
        };
        let entry = self.entry_of(self.offers[offer].request);
        let now = self.now();
        let event = RouteEvent::OfferEnded {
            node: NodeId(target as u64),
            end: OfferEnd::Cancelled,
        };
        self.routers[entry].handle(now, event);
        if self.targets[target].stop(self.now_us, offer) {
            self.release(target, offer, RunEnd::Cancelled);
        } else {
            let actions = self.gates[target].withdraw(now, TicketId(offer as u64));
            self.apply_actions(target, &actions);
        }
    }
}
