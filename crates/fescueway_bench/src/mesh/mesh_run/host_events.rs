//! Events at the hosts and their backend servers.

use std::{f64::consts::TAU, time::Duration};

use fescueway_admission::{GateAction, GateResult, RunEnd, TicketId};
use fescueway_core::{Refusal, RefusalReason, ServerLoad};

use super::{
    MeshEvent, MeshRun,
    mesh_state::{MeshOffer, MeshReply, ReplyKind, RunState},
};

/// Time that a backend server takes to answer a load query, in microseconds.
const QUERY_US: u64 = 1_000;

/// Standard deviation of the logarithm of the duration of work.
const WORK_SIGMA: f64 = 0.3;

/// Refusal by a backend server that sheds load.
const SHED: Refusal = Refusal {
    reason: RefusalReason::BackendRefused,
    retry_after: Duration::from_millis(200),
};

impl MeshRun<'_> {
    /// Handles an offer that arrives at its host.
    pub(super) fn receive_offer(&mut self, offer: usize) {
        let now = self.now();
        let MeshOfferKey { target, is_void } = self.key(offer);
        let Some(permit) = self.offers[offer].permit.as_ref().filter(|_| !is_void) else {
            return;
        };
        let gate = &mut self.nodes[target].gate;
        match gate.offer(now, TicketId(offer as u64), permit.terms()) {
            GateResult::Run => self.start(offer),
            GateResult::Wait => {}
            GateResult::Refuse(refusal) => self.refuse(offer, refusal),
        }
        self.schedule(target);
    }

    /// Starts a run in a slot that the gate granted.
    fn start(&mut self, offer: usize) {
        let (request, target) = (self.offers[offer].request, self.offers[offer].target);
        let service = self.nodes[target].service;
        self.runs[target] += u64::from(self.is_measured());
        self.results.runs += u64::from(self.is_measured());
        self.requests[request].arrivals += 1;
        if self.requests[request].arrivals > 1 {
            self.ledgers[service].count_repeat(self.now_us);
        }
        if self.uniform() < self.shed_shares[service] {
            self.offers[offer].run = RunState::Ended;
            self.finish(offer, RunEnd::Released, ReplyKind::Refused(SHED));
            return;
        }
        self.requests[request].runs += 1;
        self.check_run(request);
        let work_us = self.work_us(request);
        self.account_slots(target);
        self.offers[offer].started_us = self.now_us;
        let node = &mut self.nodes[target];
        node.running += 1;
        let crowded = self.deployment.crowded_share * f64::from(self.deployment.slots);
        let mut pace = node.current_pace(self.now_us);
        if f64::from(node.running) >= crowded {
            pace *= self.deployment.crowded_pace;
        }
        let half_us = (work_us * pace / 2.0) as u64;
        self.offers[offer].run = RunState::FirstHalf { rest_us: half_us };
        if self.nodes[target].is_silent {
            return;
        }
        let at_us = self.now_us + half_us;
        self.events.push(at_us, MeshEvent::HalfDone { offer });
    }

    /// Checks what must always hold when a run begins.
    fn check_run(&mut self, request: usize) {
        let request = &self.requests[request];
        let kind = &self.deployment.kinds[request.kind];
        self.results.doubled += u64::from(!kind.is_idempotent && request.runs > 1);
        let is_refused = matches!(request.end, Some(super::RequestEnd::Refused(_)));
        self.results.refused_but_run += u64::from(is_refused);
    }

    /// Handles the end of half of a run's work.
    pub(super) fn end_half(&mut self, offer: usize) {
        let MeshOfferKey { target, is_void } = self.key(offer);
        if is_void || self.nodes[target].is_silent {
            return;
        }
        match self.offers[offer].run {
            RunState::FirstHalf { rest_us } => {
                let open = self.make_calls(offer);
                self.offers[offer].run = RunState::Calling { rest_us, open };
                if open == 0 {
                    self.start_second_half(offer, rest_us);
                }
            }
            RunState::SecondHalf => self.end_run(offer, true),
            _ => {}
        }
    }

    /// Starts the second half of a run's work.
    fn start_second_half(&mut self, offer: usize, rest_us: u64) {
        self.offers[offer].run = RunState::SecondHalf;
        let at_us = self.now_us + rest_us;
        self.events.push(at_us, MeshEvent::HalfDone { offer });
    }

    /// Handles the end of a nested call of a run. A call that fails fails the run.
    pub(super) fn end_call(&mut self, offer: usize, is_answered: bool) {
        if self.key(offer).is_void {
            return;
        }
        let RunState::Calling { rest_us, open } = self.offers[offer].run else {
            return;
        };
        if !is_answered {
            return self.end_run(offer, false);
        }
        let open = open - 1;
        self.offers[offer].run = RunState::Calling { rest_us, open };
        if open == 0 {
            self.start_second_half(offer, rest_us);
        }
    }

    /// Ends a run with an answer.
    fn end_run(&mut self, offer: usize, is_success: bool) {
        let target = self.offers[offer].target;
        self.offers[offer].run = RunState::Ended;
        self.account_run(offer, Some(is_success));
        self.nodes[target].running -= 1;
        // The answer carries the load.
        self.learn_load(target);
        let (end, kind) = if is_success {
            (RunEnd::Answered, ReplyKind::Answered)
        } else {
            (RunEnd::Failed, ReplyKind::Failed)
        };
        self.finish(offer, end, kind);
        self.schedule(target);
    }

    /// Releases the slot of a run and replies to its offer.
    fn finish(&mut self, offer: usize, end: RunEnd, kind: ReplyKind) {
        let (target, now) = (self.offers[offer].target, self.now());
        let gate = &mut self.nodes[target].gate;
        let actions = gate.finish(now, TicketId(offer as u64), end);
        self.reply(offer, kind);
        self.apply(&actions);
    }

    /// Refuses an offer.
    fn refuse(&mut self, offer: usize, refusal: Refusal) {
        if self.is_measured() {
            let refused = &mut self.results.refused_offers;
            *refused.entry(refusal.reason).or_default() += 1;
        }
        self.offers[offer].run = RunState::Ended;
        self.reply(offer, ReplyKind::Refused(refusal));
    }

    /// Sends a host's reply to an offer.
    fn reply(&mut self, offer: usize, kind: ReplyKind) {
        let target = self.offers[offer].target;
        let entry = self.requests[self.offers[offer].request].entry;
        let report = self.nodes[target].gate.report(self.now());
        let reply = self.replies.len();
        self.replies.push(MeshReply {
            offer,
            kind,
            report,
        });
        let at_us = self.now_us + self.trip_us(target, entry);
        self.events.push(at_us, MeshEvent::Reply { reply });
    }

    /// Applies the actions of a gate.
    fn apply(&mut self, actions: &[GateAction]) {
        for action in actions {
            match *action {
                GateAction::Run(TicketId(offer)) => self.start(offer as usize),
                GateAction::Refuse(TicketId(offer), refusal) => {
                    self.refuse(offer as usize, refusal);
                }
            }
        }
    }

    /// Withdraws an offer whose caller has left, after the trip to its host.
    pub(super) fn cancel(&mut self, offer: usize) {
        if self.key(offer).is_void {
            return;
        }
        let (target, now) = (self.offers[offer].target, self.now());
        let ticket = TicketId(offer as u64);
        let state = std::mem::replace(&mut self.offers[offer].run, RunState::Ended);
        let gate = &mut self.nodes[target].gate;
        let actions = match state {
            RunState::Waiting => gate.withdraw(now, ticket),
            RunState::Ended => return,
            _ => {
                self.account_run(offer, None);
                self.nodes[target].running -= 1;
                let end = if self.nodes[target].is_silent {
                    RunEnd::Lost
                } else {
                    RunEnd::Cancelled
                };
                self.nodes[target].gate.finish(now, ticket, end)
            }
        };
        self.apply(&actions);
        self.schedule(target);
    }

    /// Handles the timer of a gate.
    pub(super) fn wake(&mut self, node: usize) {
        let now = self.now();
        let actions = self.nodes[node].gate.tick(now);
        self.apply(&actions);
        self.schedule(node);
    }

    /// Schedules the timer of a gate and its next load query.
    fn schedule(&mut self, node: usize) {
        let now = self.now();
        let state = &mut self.nodes[node];
        if let Some(wake) = state.gate.next_wake() {
            let at_us = wake.as_micros().max(self.now_us + 1);
            self.events.push(at_us, MeshEvent::Wake { node });
        }
        let due = state.gate.next_load_query(now);
        if let Some(due) = due.filter(|_| !state.is_query_pending) {
            state.is_query_pending = true;
            let at_us = due.as_micros().max(self.now_us) + QUERY_US;
            self.events.push(at_us, MeshEvent::LoadAnswer { node });
        }
    }

    /// Handles the load that a backend server tells.
    pub(super) fn learn_load(&mut self, node: usize) {
        let now = self.now();
        let state = &mut self.nodes[node];
        state.is_query_pending = false;
        if state.is_silent || self.is_down {
            return;
        }
        let pace = state.current_pace(self.now_us);
        let load = ServerLoad {
            running: state.running,
            waiting: 0,
            slots: self.deployment.slots,
            work_permille: Some((pace * 1_000.0) as u32),
        };
        let actions = state.gate.learn_load(now, &load);
        self.apply(&actions);
        self.schedule(node);
    }

    /// Changes the load of a target's neighbours.
    pub(super) fn change_neighbours(&mut self, node: usize) {
        self.account_slots(node);
        let is_disturbed = self.uniform() < self.deployment.disturbed_share;
        self.nodes[node].pace = if is_disturbed {
            self.deployment.disturbed_pace
        } else {
            1.0
        };
        let mean_us = self.deployment.disturbance_interval.as_micros() as f64;
        let next_us = self.now_us + (mean_us * (0.5 + self.uniform())) as u64;
        self.events
            .push(next_us, MeshEvent::NeighbourChange { node });
    }

    /// Accounts for the free slots of a target until now.
    fn account_slots(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        let usable = (super::SLOT_SHARE * f64::from(self.deployment.slots)).floor();
        let free = (usable - f64::from(state.running)).max(0.0);
        let span_us = self.now_us - state.accounted_us;
        state.accounted_us = self.now_us;
        let (is_disturbed, service) = (state.pace > 1.0, state.service);
        if !self.is_measured() {
            return;
        }
        let free_s = free * span_us as f64 / 1e6;
        let account = &mut self.results.slots[service];
        if is_disturbed {
            account.free_disturbed += free_s;
        } else {
            account.free += free_s;
        }
    }

    /// Accounts for the slot time of a run that ends now: whether its backend server answered,
    /// `None` if its caller left.
    fn account_run(&mut self, offer: usize, answered: Option<bool>) {
        let MeshOffer {
            request,
            target,
            started_us,
            ..
        } = self.offers[offer];
        self.account_slots(target);
        if !self.is_measured() {
            return;
        }
        let held_s = (self.now_us - started_us) as f64 / 1e6;
        let request = &self.requests[request];
        let objective = self.deployment.kinds[request.kind].objective;
        let is_late = self.now_us > request.first_us + objective.as_micros() as u64;
        let account = &mut self.results.slots[self.nodes[target].service];
        match answered {
            Some(true) if is_late => account.late += held_s,
            Some(true) => account.in_time += held_s,
            Some(false) => account.failed += held_s,
            None => account.cancelled += held_s,
        }
    }

    /// Draws the duration of a request's work at normal pace (log-normal; Box and Muller, 1958).
    fn work_us(&mut self, request: usize) -> f64 {
        let kind = &self.deployment.kinds[self.requests[request].kind];
        let mean_us = kind.work.as_micros() as f64;
        let radius = (-2.0 * (1.0 - self.uniform()).ln()).sqrt();
        let normal = radius * (TAU * self.uniform()).cos();
        mean_us * (WORK_SIGMA * normal - WORK_SIGMA * WORK_SIGMA / 2.0).exp()
    }

    /// Where an offer goes, and whether it can still arrive.
    fn key(&self, offer: usize) -> MeshOfferKey {
        let offer = &self.offers[offer];
        MeshOfferKey {
            target: offer.target,
            is_void: self.is_down || offer.epoch != self.epoch,
        }
    }
}

/// Where an offer goes.
struct MeshOfferKey {
    /// Index of its target.
    target: usize,
    /// Whether its host or its entry lost power since it was sent.
    is_void: bool,
}
