//! One run of one policy.

mod entry_side;
mod fault_side;
mod host_side;
mod rig_state;

use std::{collections::VecDeque, time::Duration};

use fescueway_admission::{GatePlan, TargetGate};
use fescueway_core::{DomainName, Idempotency, MonoTime, NodeId, TargetState};
use fescueway_routing::{RoutingPlan, ServiceRouter};
use rand_core::SeedableRng;
use rand_pcg::Pcg64;

use self::rig_state::{RequestEnd, RequestState, RigOffer, RigReply};
use super::{
    event_heap::{EventHeap, RigEvent},
    fake_target::FakeTarget,
    request_trace::RigRequest,
    rig_figures::RigFigures,
    rig_policy::{RigPolicy, SimpleEntry},
    scenario::{CALLER_TRIP_US, MEMBERSHIP_US, NEAR_TRIP_US, RigScenario, RigShape, SECOND_US},
};

/// Requests that may wait for each slot, as the shipped configurations and their default have it.
const QUEUE_PER_SLOT: f64 = 0.5;

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

    /// A gate before a target that starts at `now_us`.
    fn gate(shape: &RigShape, now_us: u64, ramp_time: Duration) -> TargetGate {
        let plan = GatePlan {
            slots: shape.slots as u32,
            queue_per_slot: QUEUE_PER_SLOT,
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
