//! One run of a scenario.

mod entry_events;
mod fault_events;
mod host_events;
mod mesh_state;

use std::{collections::BTreeMap, time::Duration};

use fescueway_admission::{GatePlan, TargetGate};
use fescueway_core::{DomainName, MonoTime, NodeId, ServiceName, TargetRecord, TargetState};
use fescueway_routing::{CallerWaitEstimator, RoutingPlan, ServiceRouter};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use self::mesh_state::{MeshNode, MeshOffer, MeshReply, MeshRequest, RequestEnd};
use super::{
    MeshDeployment, MeshResults, MeshScenario, SlotAccount, mesh_event::MeshEvent,
    repeat_ledger::RepeatLedger,
};
use crate::event_queue::EventQueue;

/// Share of the slots in use at most, as on the users' platform.
const SLOT_SHARE: f64 = 0.8;

/// Waiting requests per slot, as on the users' platform.
const QUEUE_PER_SLOT: f64 = 2.0;

/// Offers for each request, as on the users' platform.
const MAX_OFFERS: u8 = 5;

/// Further offers after refusals as a share of the first offers, as on the users' platform.
const REFUSAL_SHARE: f64 = 2.0;

/// Targets of a service that one entry uses, as on the users' platform.
const SUBSET_SIZE: usize = 12;

/// Repeats that all nodes may make for a service beyond their share.
const RETRY_SLACK: f64 = 630.0;

/// Share of these repeats that is divided among the nodes, as by the daemon.
const RETRY_RESERVE_SHARE: f64 = 0.5;

/// Time that a restarted node needs until it knows the others.
const JOIN_TIME: Duration = Duration::from_millis(300);

/// One run of a scenario.
#[derive(Debug)]
pub struct MeshRun<'sim> {
    /// The deployment.
    deployment: &'sim MeshDeployment,
    /// Load and faults.
    scenario: &'sim MeshScenario,
    /// Settings of the routers.
    plan: RoutingPlan,
    /// The nodes, each with its target.
    nodes: Vec<MeshNode>,
    /// The router of each node for each service.
    routers: Vec<Vec<ServiceRouter>>,
    /// How long the callers of each node have waited, by kind of request.
    estimators: BTreeMap<(usize, usize), CallerWaitEstimator>,
    /// The requests so far, nested calls and later tries included.
    requests: Vec<MeshRequest>,
    /// Every offer made.
    offers: Vec<MeshOffer>,
    /// Every reply sent.
    replies: Vec<MeshReply>,
    /// Pending events.
    events: EventQueue<MeshEvent>,
    /// Current virtual time, in microseconds.
    now_us: u64,
    /// Number of losses of all nodes so far. What was sent before the last one is void.
    epoch: u32,
    /// Share of the requests that the backend servers of each service refuse.
    shed_shares: Vec<f64>,
    /// Whether all nodes are without power.
    is_down: bool,
    /// Runs that began at each target.
    runs: Vec<u64>,
    /// Requests and repeats of each service.
    ledgers: Vec<RepeatLedger>,
    /// Random number generator.
    random: Pcg64,
    /// Results of the run.
    results: MeshResults,
}

impl<'sim> MeshRun<'sim> {
    /// Creates a run.
    #[must_use]
    pub fn new(deployment: &'sim MeshDeployment, scenario: &'sim MeshScenario, seed: u64) -> Self {
        let count = deployment.node_count();
        let trip = deployment.far_trip.saturating_sub(deployment.near_trip);
        let mut run = Self {
            deployment,
            scenario,
            plan: RoutingPlan {
                domain_trip: trip,
                max_offers: MAX_OFFERS,
                subset_size: SUBSET_SIZE,
                refusal_share: REFUSAL_SHARE,
                max_retry_tokens: (RETRY_RESERVE_SHARE * RETRY_SLACK * deployment.scale
                    / count as f64)
                    .max(1.0),
                ..RoutingPlan::default()
            },
            nodes: Vec::with_capacity(count),
            routers: Vec::new(),
            estimators: BTreeMap::new(),
            requests: Vec::new(),
            offers: Vec::new(),
            replies: Vec::new(),
            events: EventQueue::default(),
            now_us: 0,
            epoch: 0,
            shed_shares: vec![0.0; deployment.services.len()],
            is_down: false,
            runs: vec![0; count],
            ledgers: vec![RepeatLedger::default(); deployment.services.len()],
            random: Pcg64::seed_from_u64(seed),
            results: MeshResults {
                slots: vec![SlotAccount::default(); deployment.services.len()],
                ..MeshResults::default()
            },
        };
        for (service, domain) in deployment.nodes() {
            run.nodes.push(MeshNode {
                service,
                domain,
                gate: Self::gate(deployment, MonoTime::ZERO, Duration::ZERO),
                pace: 1.0,
                cold_until_us: 0,
                running: 0,
                accounted_us: 0,
                is_silent: false,
                is_query_pending: false,
            });
        }
        run.join_all();
        run
    }

    /// Replaces the settings of all routers, to compare settings.
    #[must_use]
    pub fn with_plan(mut self, change: impl FnOnce(&mut RoutingPlan)) -> Self {
        change(&mut self.plan);
        self.join_all();
        self
    }

    /// Processes all events and returns the results.
    #[must_use]
    pub fn run(mut self) -> MeshResults {
        self.generate_requests();
        for node in 0..self.nodes.len() {
            self.events.push(0, MeshEvent::NeighbourChange { node });
            self.events.push(1, MeshEvent::LoadAnswer { node });
        }
        for (fault, (at, _)) in self.scenario.faults.iter().enumerate() {
            let at_us = at.as_micros() as u64;
            self.events.push(at_us, MeshEvent::Fault { fault });
        }
        let end_us = self.scenario.length.as_micros() as u64;
        while let Some((time_us, event)) = self.events.pop()
            && time_us < end_us
        {
            self.now_us = time_us;
            self.handle(event);
        }
        self.measure();
        self.results
    }

    /// Handles one event.
    fn handle(&mut self, event: MeshEvent) {
        match event {
            MeshEvent::Arrive { request } => self.arrive(request),
            MeshEvent::Expire { request } => self.expire(request),
            MeshEvent::Offer { offer } => self.receive_offer(offer),
            MeshEvent::HalfDone { offer } => self.end_half(offer),
            MeshEvent::Wake { node } => self.wake(node),
            MeshEvent::LoadAnswer { node } => self.learn_load(node),
            MeshEvent::NeighbourChange { node } => self.change_neighbours(node),
            MeshEvent::Reply { reply } => self.receive_reply(self.replies[reply]),
            MeshEvent::Fault { fault } => self.apply_fault(self.scenario.faults[fault].1),
            MeshEvent::Restart => self.restart(),
        }
    }

    /// Generates the callers' requests: Poisson arrivals.
    fn generate_requests(&mut self) {
        let length_us = self.scenario.length.as_micros() as f64;
        for kind in 0..self.deployment.kinds.len() {
            let per_us = self.deployment.kinds[kind].per_s * self.deployment.scale / 1e6;
            if per_us <= 0.0 {
                continue;
            }
            let mut time_us = 0.0;
            loop {
                let load = self.scenario.load_at(Duration::from_micros(time_us as u64));
                time_us -= (1.0 - self.uniform()).ln() / (per_us * load);
                if time_us >= length_us {
                    break;
                }
                let entry = self.random_entry();
                let deadline = self.deployment.kinds[kind].deadline;
                let request = MeshRequest::first(kind, entry, time_us as u64, deadline);
                self.push_request(request, self.deployment.caller_trip);
            }
        }
    }

    /// Adds a request that arrives at its entry after `trip`.
    fn push_request(&mut self, request: MeshRequest, trip: Duration) {
        let index = self.requests.len();
        let arrive_us = request.sent_us + trip.as_micros() as u64;
        self.events
            .push(arrive_us, MeshEvent::Arrive { request: index });
        let expire = MeshEvent::Expire { request: index };
        self.events.push(request.deadline_us, expire);
        self.requests.push(request);
    }

    /// Draws the entry of a caller: a failure domain by its share, then any of its nodes.
    fn random_entry(&mut self) -> usize {
        let mut draw = self.uniform();
        let shares = self.deployment.domain_shares;
        let domain = shares.iter().position(|share| {
            draw -= share;
            draw < 0.0
        });
        let domain = domain.unwrap_or(shares.len() - 1);
        let is_near = |node: &MeshNode| node.domain == domain;
        let count = self.nodes.iter().filter(|node| is_near(node)).count();
        let skipped = (self.uniform() * count as f64) as usize;
        let nodes = self.nodes.iter().enumerate();
        let mut near = nodes.filter(|(_, node)| is_near(node));
        near.nth(skipped).map_or(0, |(index, _)| index)
    }

    /// Creates the routers of all nodes, which then know all targets.
    fn join_all(&mut self) {
        let now = self.now();
        let services = self.deployment.services.len();
        self.routers.clear();
        for (entry, node) in self.nodes.iter().enumerate() {
            let id = NodeId(u64::from(self.epoch) << 32 | entry as u64);
            let create = |_| {
                let router = ServiceRouter::new(self.plan.clone(), domain_name(node.domain));
                router.with_seed(id)
            };
            let mut routers: Vec<_> = (0..services).map(create).collect();
            for (target, spec) in self.nodes.iter().enumerate() {
                routers[spec.service].set_target(now, &self.record(target));
            }
            self.routers.push(routers);
        }
    }

    /// The record that a node announces for its target.
    fn record(&self, node: usize) -> TargetRecord {
        let spec = &self.nodes[node];
        TargetRecord {
            node: NodeId(node as u64),
            service: self.service_name(spec.service),
            peer_address: ([127, 0, 0, 1], 1).into(),
            domain: domain_name(spec.domain),
            slots: self.deployment.slots,
            connections: 250,
            state: TargetState::Serving,
        }
    }

    /// The name of a service.
    fn service_name(&self, service: usize) -> ServiceName {
        self.deployment.services[service].name.into()
    }

    /// Creates the gate of a target that starts at `now`.
    fn gate(deployment: &MeshDeployment, now: MonoTime, ramp_time: Duration) -> TargetGate {
        let plan = GatePlan {
            slots: deployment.slots,
            slot_share: SLOT_SHARE,
            queue_per_slot: QUEUE_PER_SLOT,
            ramp_time,
            warmup: None,
        };
        TargetGate::new(plan, now)
    }

    /// One-way network delay between two nodes.
    fn trip_us(&self, from: usize, to: usize) -> u64 {
        let trip = if from == to {
            Duration::ZERO
        } else if self.nodes[from].domain == self.nodes[to].domain {
            self.deployment.near_trip
        } else {
            self.deployment.far_trip
        };
        trip.as_micros() as u64
    }

    /// Counts the outcomes of the callers' requests.
    fn measure(&mut self) {
        let measured = self.scenario.measured;
        let measured = measured.0.as_micros() as u64..measured.1.as_micros() as u64;
        for request in &self.requests {
            let kind = &self.deployment.kinds[request.kind];
            if !measured.contains(&request.first_us) {
                continue;
            }
            if request.parent.is_some() {
                let is_answered = matches!(request.end, Some(RequestEnd::Answered(_)));
                self.results.calls += 1;
                self.results.lost_calls += u64::from(!is_answered);
                continue;
            }
            if !request.is_last {
                continue;
            }
            let objective_us = request.first_us + kind.objective.as_micros() as u64;
            let tally = self.results.kinds.entry(kind.name).or_default();
            let second = request.first_us / 1_000_000;
            let tally_at = self.results.seconds.entry(second).or_default();
            for tally in [tally, tally_at] {
                tally.asked += 1;
                match request.end {
                    Some(RequestEnd::Answered(at_us)) if at_us <= objective_us => {
                        tally.in_time += 1;
                    }
                    Some(RequestEnd::Answered(_)) => tally.late += 1,
                    Some(RequestEnd::Refused(_)) => tally.refused += 1,
                    Some(RequestEnd::Failed | RequestEnd::Unconnected) | None => tally.failed += 1,
                }
            }
        }
        let slack = RETRY_SLACK * self.deployment.scale;
        let excesses = self.ledgers.iter().map(|ledger| ledger.excess(slack));
        self.results.repeat_excess = excesses.fold(f64::NEG_INFINITY, f64::max);
        for service in 0..self.deployment.services.len() {
            let nodes = self.nodes.iter().zip(&self.runs);
            let runs: Vec<_> = nodes
                .filter(|(node, _)| node.service == service)
                .map(|(_, runs)| *runs as f64)
                .collect();
            let mean = runs.iter().sum::<f64>() / runs.len().max(1) as f64;
            let most = runs.iter().copied().fold(0.0, f64::max);
            self.results.busiest.push(most / mean.max(1.0));
        }
    }

    /// Current virtual time.
    fn now(&self) -> MonoTime {
        MonoTime::from_micros(self.now_us)
    }

    /// Draws a number from 0 to 1.
    fn uniform(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// The name of a failure domain.
fn domain_name(index: usize) -> DomainName {
    DomainName::new(format!("domain-{index}"))
}
