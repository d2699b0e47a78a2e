//! Entries and hosts together: requests beyond what a cold target takes are served by the others.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fescueway_admission::{
    GateAction, GatePlan, GateResult, RunEnd, TargetGate, TicketId, WarmupPace,
};
use fescueway_core::{
    Idempotency, MonoTime, NodeId, RateLimit, RequestTerms, StatementSource, TargetRecord,
    TargetState,
};
use fescueway_routing::{
    OfferEnd, OfferPermit, PickResult, RouteEvent, RoutingPlan, ServiceRouter,
};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Entries of the users' first deployment.
const ENTRIES: usize = 68;

/// Targets of its field records.
const TARGETS: usize = 13;

/// Calls a second to the field records.
const CALLS_PER_S: u64 = 713;

/// Service time of a call.
const SERVICE_TIME: Duration = Duration::from_millis(64);

/// Time from a query to its answer.
const QUERY_TIME: Duration = Duration::from_millis(6);

/// Failure domains, to which targets belong in turn.
const DOMAINS: [&str; 3] = ["a", "b", "c"];

fn at(millis: u64) -> MonoTime {
    MonoTime::ZERO + Duration::from_millis(millis)
}

/// An offer that runs or waits at a host.
struct OpenOffer {
    entry: usize,
    permit: OfferPermit,
    started_at: MonoTime,
    tried: Vec<NodeId>,
}

/// One target with its gate.
struct Host {
    gate: TargetGate,
    cold: (MonoTime, MonoTime),
    asked_at: Option<MonoTime>,
    starts: Vec<MonoTime>,
    offers: Vec<MonoTime>,
}

/// Replays calls of all entries against all hosts, without delays between them.
struct Site {
    routers: Vec<ServiceRouter>,
    hosts: Vec<Host>,
    open: BTreeMap<u64, OpenOffer>,
    running: BTreeSet<(MonoTime, u64)>,
    next_ticket: u64,
    random: Pcg64,
    now: MonoTime,
    calls: usize,
    refused: usize,
}

impl Site {
    fn new(cold: &[(usize, u64, u64)]) -> Self {
        let warmup = WarmupPace {
            rate: RateLimit::try_from(15.0).expect("a valid rate"),
            duration: Duration::from_secs(3),
        };
        let plan = GatePlan {
            slots: 18,
            ramp_time: Duration::ZERO,
            warmup: Some(warmup),
            ..GatePlan::default()
        };
        let hosts = (0..TARGETS).map(|index| {
            let span = cold.iter().find(|(target, ..)| *target == index);
            let (from, to) = span.map_or((0, 0), |(_, from, to)| (*from, *to));
            Host {
                gate: TargetGate::new(plan.clone(), MonoTime::ZERO),
                cold: (at(from), at(to)),
                asked_at: None,
                starts: Vec::new(),
                offers: Vec::new(),
            }
        });
        let routers = (0..ENTRIES).map(|entry| {
            let domain = DOMAINS[entry % DOMAINS.len()].into();
            let router = ServiceRouter::new(RoutingPlan::default(), domain);
            let mut router = router.with_seed(NodeId(1_000 + entry as u64));
            for node in 0..TARGETS {
                router.set_target(MonoTime::ZERO, &record(node));
            }
            router
        });
        Self {
            routers: routers.collect(),
            hosts: hosts.collect(),
            open: BTreeMap::new(),
            running: BTreeSet::new(),
            next_ticket: 0,
            random: Pcg64::seed_from_u64(5),
            now: MonoTime::ZERO,
            calls: 0,
            refused: 0,
        }
    }

    /// Makes calls from random entries until `end`.
    fn run_until(&mut self, end: MonoTime) {
        let mut next_call = self.now;
        while self.now < end {
            while next_call <= self.now {
                next_call = next_call + Duration::from_secs(1) / CALLS_PER_S as u32;
                let entry = self.random.next_u32() as usize % ENTRIES;
                let terms = RequestTerms {
                    idempotency: Idempotency::Idempotent,
                    ..RequestTerms::new("records".into(), Duration::from_millis(800))
                };
                self.calls += 1;
                self.offer(entry, terms, Vec::new());
            }
            self.now = self.now + Duration::from_millis(1);
            self.end_runs();
            for index in 0..TARGETS {
                self.query(index);
                let actions = self.hosts[index].gate.tick(self.now);
                self.apply(index, actions);
            }
        }
    }

    /// Offers a call to one host after another until it runs, waits or is refused for good.
    fn offer(&mut self, entry: usize, terms: RequestTerms, tried: Vec<NodeId>) {
        let router = &mut self.routers[entry];
        let picked = router.pick(self.now, terms, &tried, &mut self.random);
        let PickResult::Offer(permit) = picked else {
            self.refused += 1;
            return;
        };
        let index = permit.node().0 as usize;
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let result = self.hosts[index]
            .gate
            .offer(self.now, TicketId(ticket), permit.terms());
        self.hosts[index].offers.push(self.now);
        let mut tried = tried;
        tried.push(permit.node());
        let offer = OpenOffer {
            entry,
            permit,
            started_at: self.now,
            tried,
        };
        self.open.insert(ticket, offer);
        match result {
            GateResult::Run => self.start(index, ticket),
            GateResult::Wait => {}
            GateResult::Refuse(refusal) => {
                self.apply(index, vec![GateAction::Refuse(TicketId(ticket), refusal)]);
            }
        }
    }

    fn start(&mut self, index: usize, ticket: u64) {
        self.hosts[index].starts.push(self.now);
        self.running.insert((self.now + SERVICE_TIME, ticket));
    }

    fn apply(&mut self, index: usize, actions: Vec<GateAction>) {
        for action in actions {
            match action {
                GateAction::Run(ticket) => self.start(index, ticket.0),
                GateAction::Refuse(ticket, refusal) => {
                    let offer = self.open.remove(&ticket.0).expect("an open offer");
                    self.report(&offer, OfferEnd::Refused(refusal));
                    let terms = offer.permit.refused(&refusal);
                    self.offer(offer.entry, terms, offer.tried);
                }
            }
        }
    }

    fn report(&mut self, offer: &OpenOffer, end: OfferEnd) {
        let node = offer.permit.node();
        let report = self.hosts[node.0 as usize].gate.report(self.now);
        let router = &mut self.routers[offer.entry];
        router.handle(self.now, RouteEvent::LoadReported { node, report });
        router.handle(self.now, RouteEvent::OfferEnded { node, end });
    }

    fn end_runs(&mut self) {
        while let Some((ended, ticket)) = self.running.first().copied()
            && ended <= self.now
        {
            self.running.pop_first();
            let offer = self.open.remove(&ticket).expect("an open offer");
            let index = offer.permit.node().0 as usize;
            let gate = &mut self.hosts[index].gate;
            let actions = gate.finish(self.now, TicketId(ticket), RunEnd::Answered);
            let end = OfferEnd::Answered {
                latency: self.now.since(offer.started_at),
                is_failure: false,
            };
            self.report(&offer, end);
            self.apply(index, actions);
        }
    }

    /// Answers a query of a host, and sends the next one when it is due.
    fn query(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        let Some(asked_at) = host.asked_at else {
            if host.gate.next_load_query(now).is_some_and(|due| due <= now) {
                host.gate.begin_load_query(now);
                host.asked_at = Some(now);
            }
            return;
        };
        if now < asked_at + QUERY_TIME {
            return;
        }
        host.asked_at = None;
        let (from, to) = host.cold;
        let is_cold = from <= asked_at && asked_at < to;
        let left = if is_cold {
            to.since(asked_at)
        } else {
            Duration::ZERO
        };
        let source = StatementSource::Query;
        let actions = host.gate.learn_warmup(now, asked_at, source, Some(left));
        self.apply(index, actions);
    }

    fn evacuate(&mut self, domains: &[&str], hosts: bool, entries: bool) {
        let domains = domains.iter().map(|name| (*name).into());
        let domains = domains.collect::<BTreeSet<_>>();
        for index in 0..TARGETS {
            if hosts {
                let is_evacuated = domains.contains(&record(index).domain);
                let actions = self.hosts[index].gate.set_evacuated(self.now, is_evacuated);
                self.apply(index, actions);
            }
        }
        for router in self.routers.iter_mut().filter(|_| entries) {
            router.set_evacuated(self.now, &domains);
        }
    }

    fn count(times: &[MonoTime], from: u64, to: u64) -> usize {
        let within = |time: &&MonoTime| **time >= at(from) && **time < at(to);
        times.iter().filter(within).count()
    }
}

fn record(node: usize) -> TargetRecord {
    TargetRecord {
        node: NodeId(node as u64),
        service: "records".into(),
        peer_address: ([127, 0, 0, 1], 1).into(),
        domain: DOMAINS[node % DOMAINS.len()].into(),
        slots: 18,
        connections: 940,
        state: TargetState::Serving,
    }
}

#[test]
fn excess_of_a_cold_target_is_served_by_the_others() {
    let mut site = Site::new(&[(3, 4_000, 7_000)]);
    site.run_until(at(4_000));
    let (calls, refused) = (site.calls, site.refused);
    let mut most = 0;
    site.run_until(at(7_000));
    for from in (4_000..6_000).step_by(10) {
        most = most.max(Site::count(&site.hosts[3].starts, from, from + 1_000));
    }
    let offers = Site::count(&site.hosts[3].offers, 4_000, 7_000);
    let late = Site::count(&site.hosts[3].offers, 5_000, 7_000);
    let (calls, refused) = (site.calls - calls, site.refused - refused);
    println!(
        "cold: {refused} of {calls} refused; {offers} offers, {late} of them after 1 s; at most {most} starts"
    );
    assert!(most <= 30, "{most} starts in a second");
    assert!(
        refused * 1_000 <= calls,
        "{refused} of {calls} calls refused"
    );
    assert!(late <= 90, "{late} offers in 2 s at a rate of 15/s");
    site.run_until(at(10_000));
    let after = Site::count(&site.hosts[3].starts, 8_000, 10_000);
    println!("after: {after} starts in 2 s");
    assert!(after >= 70, "{after} starts in 2 s after the cold time");
}

/// Hosts may know of an evacuation before the entries do, and the other way round.
#[test]
fn no_call_is_lost_when_an_evacuation_begins_and_ends() {
    for is_host_first in [true, false] {
        let mut site = Site::new(&[]);
        site.run_until(at(3_000));
        let before = site.refused;
        site.evacuate(&["a"], is_host_first, !is_host_first);
        site.run_until(at(4_000));
        site.evacuate(&["a"], true, true);
        site.run_until(at(6_000));
        let a_starts = |site: &Site, from, to| -> Vec<_> {
            let hosts = site.hosts.iter().step_by(DOMAINS.len());
            hosts
                .map(|host| Site::count(&host.starts, from, to))
                .collect()
        };
        let began_at = if is_host_first { 3_000 } else { 4_000 };
        let during: usize = a_starts(&site, began_at, 6_000).iter().sum();
        assert_eq!(during, 0);
        site.evacuate(&[], !is_host_first, is_host_first);
        site.run_until(at(6_500));
        site.evacuate(&[], true, true);
        site.run_until(at(9_000));
        let after = a_starts(&site, 7_000, 9_000);
        println!("{} refused; starts after: {after:?}", site.refused - before);
        assert!(after.iter().all(|starts| *starts >= 40), "{after:?}");
        assert!(
            site.refused - before <= 6,
            "{} refused",
            site.refused - before
        );
    }
}
