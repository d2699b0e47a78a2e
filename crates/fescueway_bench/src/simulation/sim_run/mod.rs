//! Simulation of one policy.

mod entry_events;
mod fault_events;
mod host_events;
mod request_state;

use std::{collections::VecDeque, time::Duration};

use fescueway_admission::{GatePlan, TargetGate};
use fescueway_core::{DomainName, Idempotency, MonoTime, NodeId, TargetState};
use fescueway_routing::{RoutingPlan, ServiceRouter};
use rand_core::SeedableRng;
use rand_pcg::Pcg64;

use self::request_state::{RequestEnd, RequestState, SimOffer, SimReply};
use super::{
    fake_target::FakeTarget,
    request_trace::SimRequest,
    scenario::{
        CALLER_TRIP_US, MEMBERSHIP_DELAY_US, NEAR_TRIP_US, SECOND_US, SimDeployment, SimScenario,
    },
    sim_event::SimEvent,
    sim_policy::{EntryState, SimPolicy},
    sim_results::SimResults,
};
use crate::event_queue::EventQueue;

/// Waiting requests per slot, as in the shipped configurations and by default.
const QUEUE_PER_SLOT: f64 = 0.5;

/// Simulation of one policy.
#[derive(Debug)]
pub struct SimRun<'sim> {
    /// The deployment.
    deployment: &'sim SimDeployment,
    /// The load and its faults.
    scenario: &'sim SimScenario,
    /// The policy.
    policy: SimPolicy,
    /// The requests.
    requests: &'sim [SimRequest],
    /// State of each request.
    states: Vec<RequestState>,
    /// Every offer made.
    offers: Vec<SimOffer>,
    /// Every reply sent.
    replies: Vec<SimReply>,
    /// Pending events.
    events: EventQueue<SimEvent>,
    /// Current virtual time, in microseconds.
    now_us: u64,
    /// The backend servers.
    targets: Vec<FakeTarget>,
    /// Admission gate of each target, for fescueway.
    gates: Vec<TargetGate>,
    /// Offers waiting at each target in order of arrival, for the other policies.
    queues: Vec<VecDeque<usize>>,
    /// Number of offers in transit to each target.
    on_wire: Vec<usize>,
    /// Whether each target is draining.
    is_draining: Vec<bool>,
    /// Whether the entries know each target.
    is_known: Vec<bool>,
    /// Whether each failure domain is up.
    is_domain_up: Vec<bool>,
    /// The routers of the entries, for fescueway.
    routers: Vec<ServiceRouter>,
    /// States of the entries, for the other policies.
    entries: Vec<EntryState>,
    /// Random number generator of the policy.
    random: Pcg64,
    /// Results of the run.
    results: SimResults,
}

impl<'sim> SimRun<'sim> {
    /// Creates a run.
    #[must_use]
    pub fn new(
        deployment: &'sim SimDeployment,
        scenario: &'sim SimScenario,
        policy: SimPolicy,
        requests: &'sim [SimRequest],
        seed: u64,
    ) -> Self {
        let count = deployment.target_domains.len();
        let domains = deployment.target_domains.iter();
        let mut run = Self {
            deployment,
            scenario,
            policy,
            requests,
            states: vec![RequestState::default(); requests.len()],
            offers: Vec::with_capacity(requests.len()),
            replies: Vec::with_capacity(requests.len()),
            events: EventQueue::default(),
            now_us: 0,
            targets: domains
                .map(|&domain| FakeTarget::new(deployment.slots, domain))
                .collect(),
            gates: (0..count)
                .map(|_| Self::gate(deployment, 0, Duration::ZERO))
                .collect(),
            queues: vec![VecDeque::new(); count],
            on_wire: vec![0; count],
            is_draining: vec![false; count],
            is_known: (0..count)
                .map(|index| !scenario.is_absent_at_start(index))
                .collect(),
            is_domain_up: vec![true; deployment.domains],
            routers: Vec::new(),
            entries: Vec::new(),
            random: Pcg64::seed_from_u64(seed ^ 0x5EED),
            results: SimResults::default(),
        };
        run.set_up_entries();
        run
    }

    /// Processes all events and returns the results, samples unsorted.
    #[must_use]
    pub fn run(mut self) -> SimResults {
        for (index, request) in self.requests.iter().enumerate() {
            let at_us = request.sent_us + CALLER_TRIP_US;
            self.events.push(at_us, SimEvent::Arrive { request: index });
        }
        for (fault, &(at_us, _)) in self.scenario.faults.iter().enumerate() {
            self.events.push(at_us, SimEvent::Fault { fault });
            let known_us = at_us + MEMBERSHIP_DELAY_US;
            self.events.push(known_us, SimEvent::FaultKnown { fault });
        }
        while let Some((time_us, event)) = self.events.pop() {
            self.now_us = time_us;
            self.handle(event);
        }
        self.measure();
        self.results
    }

    /// Creates the entries and announces the initial targets to them.
    fn set_up_entries(&mut self) {
        let count = self.targets.len();
        let plan = RoutingPlan {
            domain_trip: Duration::from_micros(self.deployment.far_trip_us - NEAR_TRIP_US),
            ..RoutingPlan::default()
        };
        for entry in 0..self.deployment.entries {
            let domain = domain_name(entry % self.deployment.domains);
            let router = ServiceRouter::new(plan.clone(), domain);
            self.routers.push(router.with_seed(NodeId(entry as u64)));
            self.entries.push(EntryState {
                open: vec![0; count],
                reported: vec![0; count],
                offered: entry,
            });
        }
        for target in 0..count {
            if self.is_known[target] {
                self.announce_target(target, TargetState::Serving);
            }
        }
    }

    /// Creates the gate of a target that starts at `now_us`.
    fn gate(deployment: &SimDeployment, now_us: u64, ramp_time: Duration) -> TargetGate {
        let plan = GatePlan {
            slots: deployment.slots as u32,
            queue_per_slot: QUEUE_PER_SLOT,
            ramp_time,
            ..GatePlan::default()
        };
        TargetGate::new(plan, MonoTime::from_micros(now_us))
    }

    /// Handles one event.
    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive { request } => self.arrive(request),
            SimEvent::Offer { offer } => self.receive_offer(offer),
            SimEvent::Finish { target, version } => {
                if self.targets[target].version == version {
                    self.finish_requests(target);
                }
            }
            SimEvent::Wake { target } => {
                let now = self.now();
                let actions = self.gates[target].tick(now);
                self.apply_actions(target, &actions);
            }
            SimEvent::Reply { reply } => self.receive_reply(self.replies[reply]),
            SimEvent::Hedge { offer } => self.hedge(offer),
            SimEvent::Cancel { offer } => self.cancel(offer),
            SimEvent::Fault { fault } => self.apply_fault(self.scenario.faults[fault].1),
            SimEvent::FaultKnown { fault } => self.announce_fault(self.scenario.faults[fault].1),
        }
    }

    /// Records how a request ended, unless it has already ended.
    fn end_request(&mut self, request: usize, end: RequestEnd) {
        self.states[request].end.get_or_insert(end);
    }

    /// Returns the index of the entry that serves a request: its own, or the next one in a domain
    /// that is up.
    fn entry_of(&self, request: usize) -> usize {
        let request_spec = &self.requests[request];
        let own = request_spec.entry;
        let is_up = |entry: &usize| self.is_domain_up[entry % self.deployment.domains];
        (own..own + self.deployment.entries)
            .map(|entry| entry % self.deployment.entries)
            .find(is_up)
            .unwrap_or(own)
    }

    /// Returns the one-way network delay of an offer, in microseconds.
    fn trip_us(&self, offer: usize) -> u64 {
        let SimOffer {
            request, target, ..
        } = self.offers[offer];
        let domain = self.entry_of(request) % self.deployment.domains;
        if domain == self.targets[target].domain {
            NEAR_TRIP_US
        } else {
            self.deployment.far_trip_us
        }
    }

    /// Returns whether a request is measured: one sent after the first fault or, without faults,
    /// after the first second.
    fn is_measured(&self, request: usize) -> bool {
        let first = self.scenario.faults.first();
        let from_us = first.map_or(SECOND_US, |fault| fault.0);
        self.requests[request].sent_us >= from_us
    }

    /// Adds the outcomes of all measured requests to the results.
    fn measure(&mut self) {
        for index in 0..self.requests.len() {
            let state = &self.states[index];
            if !self.is_measured(index) || state.end == Some(RequestEnd::EntryLost) {
                continue;
            }
            let request = &self.requests[index];
            let is_non_idempotent = request.idempotency == Idempotency::NonIdempotent;
            self.results.requests += 1;
            self.results.doubled += u64::from(is_non_idempotent && state.runs > 1);
            match state.end {
                Some(RequestEnd::Answered(at_us)) => {
                    let latency_us = at_us - request.sent_us;
                    self.results.in_time += u64::from(latency_us <= request.timeout_us);
                    if !is_non_idempotent {
                        let extra_us = latency_us.saturating_sub(request.work_us as u64);
                        self.results.latencies_us.push(latency_us);
                        self.results.extras_us.push(extra_us);
                    }
                }
                Some(RequestEnd::Refused) => {
                    self.results.refused += 1;
                    self.results.refused_but_run += u64::from(state.runs > 0);
                }
                _ => self.results.failed += 1,
            }
        }
    }

    /// Returns the current virtual time.
    fn now(&self) -> MonoTime {
        MonoTime::from_micros(self.now_us)
    }
}

/// Returns the name of a failure domain.
fn domain_name(index: usize) -> DomainName {
    DomainName::new(format!("domain-{index}"))
}
