//! An entry makes no offers to targets in evacuated failure domains.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fescueway_core::{
    DomainName, LoadReport, MonoTime, NodeId, Refusal, RefusalReason, RequestTerms, TargetRecord,
    TargetState,
};
use fescueway_routing::{OfferEnd, PickResult, RouteEvent, RoutingPlan, ServiceRouter};
use rand_core::SeedableRng;
use rand_pcg::Pcg64;

/// Targets of each failure domain.
const TARGETS: u64 = 6;

fn at(millis: u64) -> MonoTime {
    MonoTime::ZERO + Duration::from_millis(millis)
}

fn record(node: u64) -> TargetRecord {
    let domain = ["a", "b", "c"][(node / TARGETS) as usize];
    TargetRecord {
        node: NodeId(node),
        service: "records".into(),
        peer_address: ([127, 0, 0, 1], 1).into(),
        domain: domain.into(),
        slots: 18,
        connections: 940,
        state: TargetState::Serving,
    }
}

/// An entry of domain a.
struct Entry {
    router: ServiceRouter,
    random: Pcg64,
    now: MonoTime,
}

impl Entry {
    fn new(subset_size: usize) -> Self {
        let plan = RoutingPlan {
            subset_size,
            ..RoutingPlan::default()
        };
        let mut router = ServiceRouter::new(plan, "a".into());
        for node in 0..3 * TARGETS {
            router.set_target(MonoTime::ZERO, &record(node));
        }
        Self {
            router,
            random: Pcg64::seed_from_u64(11),
            now: at(1_000),
        }
    }

    fn evacuate(&mut self, domains: &[&str]) {
        let domains = domains.iter().map(|name| DomainName::from(*name));
        let domains = domains.collect::<BTreeSet<_>>();
        self.router.set_evacuated(self.now, &domains);
    }

    fn pick(&mut self, tried: &[NodeId]) -> Result<NodeId, RefusalReason> {
        let terms = RequestTerms::new("records".into(), Duration::from_millis(800));
        match self.router.pick(self.now, terms, tried, &mut self.random) {
            PickResult::Offer(permit) => Ok(permit.node()),
            PickResult::Refuse(refusal) => Err(refusal.reason),
        }
    }

    /// Makes `count` offers 20 ms apart that are answered within 5 ms, and returns them by domain.
    fn offers(&mut self, count: usize) -> BTreeMap<DomainName, usize> {
        let mut offers = BTreeMap::new();
        for _ in 0..count {
            let node = self.pick(&[]).expect("an offer");
            *offers.entry(record(node.0).domain).or_default() += 1;
            let report = LoadReport {
                limit: 18,
                service_time_us: 5_000,
                ..LoadReport::default()
            };
            self.now = self.now + Duration::from_millis(5);
            let end = OfferEnd::Answered {
                latency: Duration::from_millis(5),
                is_failure: false,
            };
            let event = RouteEvent::LoadReported { node, report };
            self.router.handle(self.now, event);
            let event = RouteEvent::OfferEnded { node, end };
            self.router.handle(self.now, event);
            self.now = self.now + Duration::from_millis(15);
        }
        offers
    }
}

#[test]
fn targets_of_an_evacuated_domain_get_no_offers() {
    let mut entry = Entry::new(64);
    assert!(entry.offers(200).contains_key("a"));
    entry.evacuate(&["a"]);
    let offers = entry.offers(500);
    assert!(!offers.contains_key("a"), "{offers:?}");
    // A target that is announced meanwhile gets none either.
    entry.router.set_target(entry.now, &record(0));
    entry.router.remove_target(NodeId(1));
    entry.router.set_target(entry.now, &record(1));
    let offers = entry.offers(500);
    assert!(!offers.contains_key("a"), "{offers:?}");
    assert_eq!(offers.values().sum::<usize>(), 500);
}

/// Guards against a subset that holds only targets of the entry's own, evacuated domain.
#[test]
fn small_subset_is_filled_with_targets_of_other_domains() {
    let mut entry = Entry::new(4);
    let before = entry.offers(100);
    assert!(before.contains_key("a"), "{before:?}");
    entry.evacuate(&["a"]);
    let offers = entry.offers(200);
    assert!(!offers.contains_key("a"), "{offers:?}");
    entry.evacuate(&[]);
    let after = entry.offers(200);
    let names = |offers: &BTreeMap<DomainName, usize>| offers.keys().cloned().collect::<Vec<_>>();
    assert_eq!(names(&after), names(&before));
}

#[test]
fn request_is_refused_at_once_when_all_domains_are_evacuated() {
    let mut entry = Entry::new(64);
    entry.evacuate(&["a", "b", "c"]);
    assert_eq!(entry.pick(&[]), Err(RefusalReason::DomainEvacuated));
    entry.evacuate(&["a", "b"]);
    let node = entry.pick(&[]).expect("an offer");
    assert_eq!(record(node.0).domain, DomainName::from("c"));
    // Those left were tried; the evacuation is not the reason then.
    let tried: Vec<_> = (2 * TARGETS..3 * TARGETS).map(NodeId).collect();
    assert_eq!(entry.pick(&tried), Err(RefusalReason::NoTarget));
}

/// The views date from before the evacuation, and an entry alone doesn't know what the others send.
#[test]
fn end_of_an_evacuation_brings_requests_back_in_steps() {
    let mut entry = Entry::new(64);
    entry.offers(300);
    entry.evacuate(&["a"]);
    entry.offers(500);
    entry.evacuate(&[]);
    // Requests that arrive at one moment, before any report.
    let mut in_flight: BTreeMap<DomainName, usize> = BTreeMap::new();
    for _ in 0..120 {
        let node = entry.pick(&[]).expect("an offer");
        *in_flight.entry(record(node.0).domain).or_default() += 1;
    }
    // 30% of the slots of six targets, and some that wait.
    assert!(in_flight["a"] <= 60, "{in_flight:?}");
    assert!(in_flight["a"] >= 10, "{in_flight:?}");
}

/// An entry may learn of an evacuation later than the hosts do.
#[test]
fn refusal_for_an_evacuation_keeps_offers_from_the_whole_domain() {
    let mut entry = Entry::new(64);
    let node = (0..100).find_map(|_| {
        let picked = entry.pick(&[]).ok()?;
        (picked.0 < TARGETS).then_some(picked)
    });
    let node = node.expect("a target of domain a");
    let refusal = Refusal {
        reason: RefusalReason::DomainEvacuated,
        retry_after: Duration::from_secs(1),
    };
    let end = OfferEnd::Refused(refusal);
    let event = RouteEvent::OfferEnded { node, end };
    entry.router.handle(entry.now, event);
    let offers = entry.offers(40);
    assert!(!offers.contains_key("a"), "{offers:?}");
    entry.now = entry.now + Duration::from_secs(1);
    assert!(entry.offers(200).contains_key("a"));
}
