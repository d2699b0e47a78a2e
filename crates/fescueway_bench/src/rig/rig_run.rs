//! One run of one policy.

use std::{collections::VecDeque, time::Duration};

use fescueway_admission::{GateAction, GatePlan, GateResult, RunEnd, TargetGate, TicketId};
use fescueway_core::{
    DomainName, Idempotency, LoadReport, MonoTime, NodeId, Priority, Refusal, RequestTerms,
    TargetRecord, TargetState,
};
use fescueway_routing::{
    OfferEnd, OfferPermit, PickResult, RouteEvent, RoutingPlan, ServiceRouter,
};
use rand_core::SeedableRng;
use rand_pcg::Pcg64;

use super::{
    event_heap::{EventHeap, RigEvent},
    fake_target::FakeTarget,
    request_trace::RigRequest,
    rig_figures::RigFigures,
    rig_policy::{PickView, RigPolicy, SimpleEntry},
    scenario::{
        CALLER_TRIP_US, MEMBERSHIP_US, NEAR_TRIP_US, RigFault, RigScenario, RigShape, SECOND_US,
    },
};

/// Speed of a cold target.
const COLD_SPEED: f64 = 0.4;

/// How long a failing target takes for an answer, in microseconds.
const FAIL_US: f64 = 500.0;

/// How long a cold target's gate ramps up.
const RAMP_TIME: Duration = Duration::from_secs(2);

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestEnd {
    /// Answered, at this time at the caller in microseconds.
    Answered(u64),
    /// Refused: not run.
    Refused,
    /// Failed, or its outcome is unknown.
    Failed,
    /// Its entry is gone.
    EntryLost,
}

/// What became of one request.
#[derive(Clone, Debug, Default)]
struct RequestState {
    /// How it ended.
    end: Option<RequestEnd>,
    /// Targets that had an offer.
    tried: Vec<NodeId>,
    /// Indices of its open offers.
    open: Vec<usize>,
    /// Times it began to run.
    runs: u32,
}

/// One offer.
#[derive(Debug)]
struct RigOffer {
    /// Index of its request.
    request: usize,
    /// Index of its target.
    target: usize,
    /// When it was sent, in microseconds.
    sent_us: u64,
    /// The right to offer, for fescueway.
    permit: Option<OfferPermit>,
}

/// A host's word on an offer.
#[derive(Clone, Copy, Debug)]
struct RigReply {
    /// Index of the offer.
    offer: usize,
    /// What happened.
    kind: ReplyKind,
    /// The target's load as the host sent the reply.
    report: Option<LoadReport>,
}

/// What a host says.
#[derive(Clone, Copy, Debug)]
enum ReplyKind {
    /// The backend server answered.
    Answered,
    /// The backend server answered with a failure.
    Failed,
    /// The host refused.
    Refused(Refusal),
    /// The host is gone.
    Lost,
}

/// One run of one policy.
#[derive(Debug)]
pub struct RigRun<'rig> {
    /// The deployment.
    shape: &'rig RigShape,
    /// The load and its faults.
    scenario: &'rig RigScenario,
    /// The policy.
    policy: RigPolicy,
    /// The requests.
    requests: &'rig [RigRequest],
    /// What became of each.
    states: Vec<RequestState>,
    /// Every offer made.
    offers: Vec<RigOffer>,
    /// Every reply sent.
    replies: Vec<RigReply>,
    /// Events to come.
    heap: EventHeap,
    /// The time, in microseconds.
    now_us: u64,
    /// The backend servers.
    targets: Vec<FakeTarget>,
    /// The gates before them, for fescueway.
    gates: Vec<TargetGate>,
    /// What waits at each target in order of arrival, for the other policies.
    queues: Vec<VecDeque<usize>>,
    /// Offers on their way to each target.
    on_wire: Vec<usize>,
    /// Whether each target was told to drain.
    is_draining: Vec<bool>,
    /// Whether the entries know each target.
    is_known: Vec<bool>,
    /// Whether each failure domain is up.
    is_domain_up: Vec<bool>,
    /// The routers of the entries, for fescueway.
    routers: Vec<ServiceRouter>,
    /// What the entries keep, for the other policies.
    entries: Vec<SimpleEntry>,
    /// Random numbers of the policy.
    random: Pcg64,
    /// What is measured.
    figures: RigFigures,
}

impl<'rig> RigRun<'rig> {
    /// Sets up a run.
    #[must_use]
    pub fn new(
        shape: &'rig RigShape,
        scenario: &'rig RigScenario,
        policy: RigPolicy,
        requests: &'rig [RigRequest],
        seed: u64,
    ) -> Self {
        let count = shape.target_domains.len();
        let domains = shape.target_domains.iter();
        let mut run = Self {
            shape,
            scenario,
            policy,
            requests,
            states: vec![RequestState::default(); requests.len()],
            offers: Vec::with_capacity(requests.len()),
            replies: Vec::with_capacity(requests.len()),
            heap: EventHeap::default(),
            now_us: 0,
            targets: domains
                .map(|&domain| FakeTarget::new(shape.slots, domain))
                .collect(),
            gates: (0..count)
                .map(|_| Self::gate(shape, 0, Duration::ZERO))
                .collect(),
            queues: vec![VecDeque::new(); count],
            on_wire: vec![0; count],
            is_draining: vec![false; count],
            is_known: (0..count)
                .map(|index| !scenario.is_absent_first(index))
                .collect(),
            is_domain_up: vec![true; shape.domains],
            routers: Vec::new(),
            entries: Vec::new(),
            random: Pcg64::seed_from_u64(seed ^ 0x5EED),
            figures: RigFigures::default(),
        };
        run.set_up_entries();
        run
    }

    /// Runs to the end and returns what was measured, samples unsorted.
    #[must_use]
    pub fn run(mut self) -> RigFigures {
        for (index, request) in self.requests.iter().enumerate() {
            let at_us = request.sent_us + CALLER_TRIP_US;
            self.heap.push(at_us, RigEvent::Arrive { request: index });
        }
        for (fault, &(at_us, _)) in self.scenario.faults.iter().enumerate() {
            self.heap.push(at_us, RigEvent::Fault { fault });
            let known_us = at_us + MEMBERSHIP_US;
            self.heap.push(known_us, RigEvent::FaultKnown { fault });
        }
        while let Some((time_us, event)) = self.heap.pop() {
            self.now_us = time_us;
            self.handle(event);
        }
        self.measure();
        self.figures
    }

    /// Makes the entries and tells them of the targets.
    fn set_up_entries(&mut self) {
        let count = self.targets.len();
        let plan = RoutingPlan {
            domain_trip: Duration::from_micros(self.shape.far_trip_us - NEAR_TRIP_US),
            ..RoutingPlan::default()
        };
        for entry in 0..self.shape.entries {
            let domain = domain_name(entry % self.shape.domains);
            let router = ServiceRouter::new(plan.clone(), domain);
            self.routers.push(router.with_seed(NodeId(entry as u64)));
            self.entries.push(SimpleEntry {
                open: vec![0; count],
                reported: vec![0; count],
                offered: entry,
            });
        }
        for target in 0..count {
            if self.is_known[target] {
                self.announce(target, TargetState::Serving);
            }
        }
    }

    /// Tells every router of a target.
    fn announce(&mut self, target: usize, state: TargetState) {
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

    /// A gate before a target that starts at `now_us`.
    fn gate(shape: &RigShape, now_us: u64, ramp_time: Duration) -> TargetGate {
        let plan = GatePlan {
            slots: shape.slots as u32,
            ramp_time,
            ..GatePlan::default()
        };
        TargetGate::new(plan, MonoTime::from_micros(now_us))
    }

    /// Takes in one event.
    fn handle(&mut self, event: RigEvent) {
        match event {
            RigEvent::Arrive { request } => self.arrive(request),
            RigEvent::Offer { offer } => self.receive_offer(offer),
            RigEvent::Finish { target, version } => {
                if self.targets[target].version == version {
                    self.finish_done(target);
                }
            }
            RigEvent::Wake { target } => {
                let now = self.now();
                let actions = self.gates[target].tick(now);
                self.apply(target, &actions);
            }
            RigEvent::Reply { reply } => self.receive_reply(self.replies[reply]),
            RigEvent::Hedge { offer } => self.hedge(offer),
            RigEvent::Cancel { offer } => self.cancel(offer),
            RigEvent::Fault { fault } => self.strike(self.scenario.faults[fault].1),
            RigEvent::FaultKnown { fault } => self.spread(self.scenario.faults[fault].1),
        }
    }

    /// A request arrives at its entry, or at a neighbouring one when that is gone.
    fn arrive(&mut self, request: usize) {
        let spec = &self.requests[request];
        let terms = RequestTerms {
            idempotency: spec.idempotency,
            priority: Priority::High,
            ..RequestTerms::new("reads".into(), Duration::ZERO)
        };
        self.dispatch(request, terms);
    }

    /// Makes the next offer of a request, or gives it up.
    fn dispatch(&mut self, request: usize, terms: RequestTerms) {
        match self.policy.pick {
            Some(pick) => self.dispatch_simple(request, pick),
            None => self.dispatch_router(request, terms),
        }
    }

    /// Lets the router pick.
    fn dispatch_router(&mut self, request: usize, mut terms: RequestTerms) {
        let spec = &self.requests[request];
        let over_us = self.now_us - spec.sent_us;
        let left_us = spec.patience_us.saturating_sub(over_us + CALLER_TRIP_US);
        terms.time_left = Duration::from_micros(left_us);
        let now = self.now();
        let entry = self.entry_of(request);
        let tried = &self.states[request].tried;
        match self.routers[entry].pick(now, terms, tried, &mut self.random) {
            PickResult::Offer(permit) => {
                let target = permit.node().0 as usize;
                let hedge = self.routers[entry].hedge_after(now, permit.terms(), permit.node());
                let offer = self.send_offer(request, target, Some(permit));
                if let Some(after) = hedge {
                    let at_us = self.now_us + after.as_micros() as u64;
                    self.heap.push(at_us, RigEvent::Hedge { offer });
                }
            }
            PickResult::Refuse(_) if self.states[request].open.is_empty() => {
                let end = if self.states[request].runs == 0 {
                    RequestEnd::Refused
                } else {
                    RequestEnd::Failed
                };
                self.end_request(request, end);
            }
            PickResult::Refuse(_) => {}
        }
    }

    /// Lets a simple policy pick.
    fn dispatch_simple(&mut self, request: usize, pick: fn(&PickView<'_>, &mut Pcg64) -> usize) {
        let tried = &self.states[request].tried;
        let is_open =
            |index: &usize| self.is_known[*index] && !tried.contains(&NodeId(*index as u64));
        let open: Vec<_> = (0..self.targets.len()).filter(is_open).collect();
        if open.is_empty() {
            self.end_request(request, RequestEnd::Failed);
            return;
        }
        let entry = self.entry_of(request);
        let queued: Vec<_> = self.queues.iter().map(VecDeque::len).collect();
        let view = PickView {
            shape: self.shape,
            domain: entry % self.shape.domains,
            entry: &self.entries[entry],
            targets: &self.targets,
            queued: &queued,
            on_wire: &self.on_wire,
            open: &open,
        };
        let target = pick(&view, &mut self.random);
        self.entries[entry].offered += 1;
        self.entries[entry].open[target] += 1;
        self.send_offer(request, target, None);
    }

    /// Sends an offer on its way. Returns its index.
    fn send_offer(&mut self, request: usize, target: usize, permit: Option<OfferPermit>) -> usize {
        let offer = self.offers.len();
        self.offers.push(RigOffer {
            request,
            target,
            sent_us: self.now_us,
            permit,
        });
        self.states[request].tried.push(NodeId(target as u64));
        self.states[request].open.push(offer);
        self.on_wire[target] += 1;
        if self.is_measured(request) {
            self.figures.offers += 1;
        }
        let at_us = self.now_us + self.trip_us(offer);
        self.heap.push(at_us, RigEvent::Offer { offer });
        offer
    }

    /// An offer arrives at its host.
    fn receive_offer(&mut self, offer: usize) {
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

    /// Starts what waits at a target of a simple policy.
    fn run_queue(&mut self, target: usize) {
        while self.targets[target].running() < self.shape.slots
            && let Some(offer) = self.queues[target].pop_front()
        {
            self.start(offer);
        }
        self.schedule(target);
    }

    /// Starts an offer at its backend server.
    fn start(&mut self, offer: usize) {
        let RigOffer {
            request, target, ..
        } = self.offers[offer];
        self.states[request].runs += 1;
        if self.is_draining[target] {
            self.figures.run_after_drain += 1;
        }
        let is_failure = self.targets[target].is_failing;
        let work_us = if is_failure {
            FAIL_US
        } else {
            self.requests[request].work_us
        };
        self.targets[target].start(self.now_us, offer, work_us, is_failure);
    }

    /// Schedules the next end at a target.
    fn schedule(&mut self, target: usize) {
        if let Some(at_us) = self.targets[target].next_done() {
            let version = self.targets[target].version;
            let event = RigEvent::Finish { target, version };
            self.heap.push(at_us.max(self.now_us), event);
        }
    }

    /// Schedules a gate's next wake.
    fn schedule_wake(&mut self, target: usize) {
        if let Some(at) = self.gates[target].next_wake() {
            let at_us = at.as_micros().max(self.now_us);
            self.heap.push(at_us, RigEvent::Wake { target });
        }
    }

    /// Ends what is done at a target.
    fn finish_done(&mut self, target: usize) {
        for (offer, is_failure) in self.targets[target].take_done(self.now_us) {
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

    /// Gives a slot back.
    fn release(&mut self, target: usize, offer: usize, end: RunEnd) {
        if self.policy.pick.is_some() {
            self.run_queue(target);
            return;
        }
        let ticket = TicketId(offer as u64);
        let now = self.now();
        let actions = self.gates[target].finish(now, ticket, end);
        self.apply(target, &actions);
    }

    /// Does what a gate wants done.
    fn apply(&mut self, target: usize, actions: &[GateAction]) {
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

    /// Sends a host's word on its way.
    fn reply(&mut self, offer: usize, kind: ReplyKind) {
        let target = self.offers[offer].target;
        let report = self.targets[target].is_up.then(|| self.report(target));
        let reply = self.replies.len();
        self.replies.push(RigReply {
            offer,
            kind,
            report,
        });
        let at_us = self.now_us + self.trip_us(offer);
        self.heap.push(at_us, RigEvent::Reply { reply });
    }

    /// A target's load.
    fn report(&self, target: usize) -> LoadReport {
        if self.policy.pick.is_none() {
            return self.gates[target].report(self.now());
        }
        LoadReport {
            in_flight: self.targets[target].running() as u32,
            queued: self.queues[target].len() as u32,
            ..LoadReport::default()
        }
    }

    /// A host's word arrives at the entry.
    fn receive_reply(&mut self, reply: RigReply) {
        let RigOffer {
            request,
            target,
            sent_us,
            ..
        } = self.offers[reply.offer];
        let entry = self.entry_of(request);
        self.states[request]
            .open
            .retain(|&open| open != reply.offer);
        let permit = self.offers[reply.offer].permit.take();
        if permit.is_some() {
            self.tell_router(entry, target, sent_us, reply);
        } else {
            self.entries[entry].open[target] -= 1;
            if let Some(report) = reply.report {
                self.entries[entry].reported[target] = report.in_flight + report.queued;
            }
        }
        if self.states[request].end.is_none() {
            self.settle(request, reply.kind, permit);
        }
    }

    /// Tells a router what a reply means.
    fn tell_router(&mut self, entry: usize, target: usize, sent_us: u64, reply: RigReply) {
        let now = self.now();
        let node = NodeId(target as u64);
        let router = &mut self.routers[entry];
        if let Some(report) = reply.report {
            router.handle(now, RouteEvent::LoadReported { node, report });
        }
        let latency = Duration::from_micros(self.now_us - sent_us);
        let end = match reply.kind {
            ReplyKind::Answered => OfferEnd::Answered {
                latency,
                is_failure: false,
            },
            ReplyKind::Failed => OfferEnd::Answered {
                latency,
                is_failure: true,
            },
            ReplyKind::Refused(refusal) => OfferEnd::Refused(refusal),
            ReplyKind::Lost => OfferEnd::Lost,
        };
        router.handle(now, RouteEvent::OfferEnded { node, end });
    }

    /// Goes on with a request after a reply.
    fn settle(&mut self, request: usize, kind: ReplyKind, permit: Option<OfferPermit>) {
        match kind {
            ReplyKind::Answered => {
                let at_us = self.now_us + CALLER_TRIP_US;
                self.end_request(request, RequestEnd::Answered(at_us));
                self.cancel_open(request);
            }
            _ if !self.states[request].open.is_empty() => {}
            ReplyKind::Refused(refusal) => match permit {
                Some(permit) => self.dispatch(request, permit.refused(&refusal)),
                None => self.end_request(request, RequestEnd::Refused),
            },
            ReplyKind::Failed | ReplyKind::Lost => self.retry(request, kind, permit),
        }
    }

    /// Offers a request again that was handed over, if it may be.
    fn retry(&mut self, request: usize, kind: ReplyKind, permit: Option<OfferPermit>) {
        if let Some(permit) = permit {
            match permit.hand_over().retry() {
                Some(terms) => self.dispatch(request, terms),
                None => self.end_request(request, RequestEnd::Failed),
            }
            return;
        }
        let is_read = self.requests[request].idempotency == Idempotency::Idempotent;
        if is_read && matches!(kind, ReplyKind::Lost) {
            let terms = RequestTerms::new("reads".into(), Duration::ZERO);
            self.dispatch(request, terms);
        } else {
            self.end_request(request, RequestEnd::Failed);
        }
    }

    /// Makes a second offer of a request that is still unanswered.
    fn hedge(&mut self, offer: usize) {
        let request = self.offers[offer].request;
        if self.states[request].end.is_some() {
            return;
        }
        let permit = self.offers[offer].permit.as_ref();
        if let Some(terms) = permit.and_then(OfferPermit::hedge) {
            self.dispatch(request, terms);
        }
    }

    /// Cancels the offers of a request that is answered.
    fn cancel_open(&mut self, request: usize) {
        for offer in self.states[request].open.clone() {
            let at_us = self.now_us + self.trip_us(offer);
            self.heap.push(at_us, RigEvent::Cancel { offer });
        }
    }

    /// A cancellation arrives at the host. The entry is told as if by a reply.
    fn cancel(&mut self, offer: usize) {
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
            self.apply(target, &actions);
        }
    }

    /// A fault strikes.
    fn strike(&mut self, fault: RigFault) {
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
                let now = self.now();
                let actions = self.gates[target].drain(now);
                self.apply(target, &actions);
            }
            RigFault::DomainLost { domain } => self.lose_domain(domain),
        }
    }

    /// Changes a backend server and what it has scheduled.
    fn change(&mut self, target: usize, set: impl FnOnce(&mut FakeTarget)) {
        self.targets[target].advance(self.now_us);
        set(&mut self.targets[target]);
        self.schedule(target);
    }

    /// A failure domain is lost: what is at its targets is lost, and so are its entries.
    fn lose_domain(&mut self, domain: usize) {
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
    fn spread(&mut self, fault: RigFault) {
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

    /// Notes how a request ended.
    fn end_request(&mut self, request: usize, end: RequestEnd) {
        self.states[request].end.get_or_insert(end);
    }

    /// Index of the entry that serves a request.
    fn entry_of(&self, request: usize) -> usize {
        let spec = &self.requests[request];
        let own = spec.entry;
        let is_up = |entry: &usize| self.is_domain_up[entry % self.shape.domains];
        (own..own + self.shape.entries)
            .map(|entry| entry % self.shape.entries)
            .find(is_up)
            .unwrap_or(own)
    }

    /// One-way trip of an offer, in microseconds.
    fn trip_us(&self, offer: usize) -> u64 {
        let RigOffer {
            request, target, ..
        } = self.offers[offer];
        let domain = self.entry_of(request) % self.shape.domains;
        if domain == self.targets[target].domain {
            NEAR_TRIP_US
        } else {
            self.shape.far_trip_us
        }
    }

    /// Whether a request counts: it was sent after the first fault, or after a first second.
    fn is_measured(&self, request: usize) -> bool {
        let first = self.scenario.faults.first();
        let from_us = first.map_or(SECOND_US, |fault| fault.0);
        self.requests[request].sent_us >= from_us
    }

    /// Sums up what became of the requests.
    fn measure(&mut self) {
        for index in 0..self.requests.len() {
            let state = &self.states[index];
            if !self.is_measured(index) || state.end == Some(RequestEnd::EntryLost) {
                continue;
            }
            let request = &self.requests[index];
            let is_booking = request.idempotency == Idempotency::NonIdempotent;
            self.figures.requests += 1;
            self.figures.doubled += u64::from(is_booking && state.runs > 1);
            match state.end {
                Some(RequestEnd::Answered(at_us)) => {
                    let latency_us = at_us - request.sent_us;
                    self.figures.in_time += u64::from(latency_us <= request.patience_us);
                    if !is_booking {
                        let extra_us = latency_us.saturating_sub(request.work_us as u64);
                        self.figures.latencies_us.push(latency_us);
                        self.figures.extras_us.push(extra_us);
                    }
                }
                Some(RequestEnd::Refused) => {
                    self.figures.refused += 1;
                    self.figures.refused_but_run += u64::from(state.runs > 0);
                }
                _ => self.figures.failed += 1,
            }
        }
    }

    /// The time.
    fn now(&self) -> MonoTime {
        MonoTime::from_micros(self.now_us)
    }
}

/// The name of a failure domain.
fn domain_name(index: usize) -> DomainName {
    DomainName::new(format!("domain-{index}"))
}
