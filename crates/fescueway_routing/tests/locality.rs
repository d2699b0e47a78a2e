//! Locality: which requests are offered to other failure domains.

use std::time::Duration;

use fescueway_core::{
    LoadReport, MonoTime, NodeId, Refusal, RefusalReason, RequestTerms, TargetRecord, TargetState,
};
use fescueway_routing::{OfferEnd, PickResult, RouteEvent, RoutingPlan, ServiceRouter};
use rand_core::SeedableRng;
use rand_pcg::Pcg64;

/// Kind of requests with small answers.
const SMALL_KIND: u64 = 1;

/// Kind of requests with answers of 90 KiB.
const LARGE_KIND: u64 = 2;

/// The target in the entry's own failure domain.
const NEAR: NodeId = NodeId(0);

/// Offers per measurement.
const OFFERS: u64 = 400;

fn millis(value: u64) -> MonoTime {
    MonoTime::from_micros(value * 1_000)
}

/// A router with one target in its own failure domain and two in others. Each KiB sent to another
/// domain costs a millisecond.
fn router() -> ServiceRouter {
    let plan = RoutingPlan {
        far_cost_per_kib: Duration::from_millis(1),
        refusal_share: 1.0,
        ..RoutingPlan::default()
    };
    let mut router = ServiceRouter::new(plan, "a".into()).with_seed(NodeId(99));
    for (node, domain) in [(0, "a"), (1, "b"), (2, "c")] {
        let record = TargetRecord {
            node: NodeId(node),
            service: "casts".into(),
            peer_address: ([127, 0, 0, 1], 1).into(),
            domain: domain.into(),
            slots: 10,
            connections: 250,
            state: TargetState::Serving,
        };
        router.set_target(MonoTime::ZERO, &record);
    }
    for (work_kind, bytes) in [(SMALL_KIND, 1_024), (LARGE_KIND, 90 * 1_024)] {
        router.handle(MonoTime::ZERO, RouteEvent::AnswerSized { work_kind, bytes });
    }
    router
}

/// Number of offers of a kind that go to the entry's own failure domain, whose target has
/// `near_load` requests while the others have two, and the wait limit of the last of these offers.
fn near_offers(kind: u64, near_load: u32) -> (u64, Duration) {
    near_offers_with_body(kind, near_load, 0)
}

/// As [`near_offers`], for requests with a body of `body_bytes`.
fn near_offers_with_body(kind: u64, near_load: u32, body_bytes: u64) -> (u64, Duration) {
    let mut router = router();
    let mut random = Pcg64::seed_from_u64(kind);
    let (mut near, mut wait_limit) = (0, Duration::ZERO);
    for step in 1..=OFFERS {
        let now = millis(step * 50);
        for node in [0, 1, 2].map(NodeId) {
            let report = LoadReport {
                in_flight: if node == NEAR { near_load } else { 2 },
                limit: 10,
                service_time_us: 72_000,
                ..LoadReport::default()
            };
            router.handle(now, RouteEvent::LoadReported { node, report });
        }
        let terms = RequestTerms {
            work_kind: kind,
            body_bytes,
            ..RequestTerms::new("casts".into(), Duration::from_millis(1_200))
        };
        let PickResult::Offer(permit) = router.pick(now, terms, &[], &mut random) else {
            panic!("every target is open");
        };
        let node = permit.node();
        if node == NEAR {
            near += 1;
            wait_limit = permit.terms().wait_limit;
        }
        let end = OfferEnd::Answered {
            latency: Duration::from_millis(72),
            is_failure: false,
        };
        router.handle(now, RouteEvent::OfferEnded { node, end });
    }
    (near, wait_limit)
}

#[test]
fn large_answers_stay_in_the_failure_domain_unless_it_is_overloaded() {
    let (large, accepted) = near_offers(LARGE_KIND, 11);
    assert!(large > OFFERS * 9 / 10, "{large} of {OFFERS}");
    assert!(accepted >= Duration::from_millis(90), "{accepted:?}");
    let (small, accepted) = near_offers(SMALL_KIND, 11);
    assert!(small < OFFERS / 10, "{small} of {OFFERS}");
    assert!(accepted < Duration::from_millis(90), "{accepted:?}");
    let (overloaded, _) = near_offers(LARGE_KIND, 40);
    assert!(overloaded < OFFERS / 10, "{overloaded} of {OFFERS}");
}

#[test]
fn a_kind_of_unknown_size_costs_only_the_round_trip() {
    let (near, _) = near_offers(7, 11);
    assert!(near < OFFERS / 10, "{near} of {OFFERS}");
}

/// Guards against uploads that cross failure domains because their entry gets too few of them to know
/// their usual size.
#[test]
fn a_large_body_stays_in_the_failure_domain_before_its_kind_is_known() {
    let (near, _) = near_offers_with_body(7, 11, 60 * 1_024);
    assert!(near > OFFERS * 9 / 10, "{near} of {OFFERS}");
}

#[test]
fn a_large_answer_leaves_the_failure_domain_after_a_refusal() {
    let mut router = router();
    let mut random = Pcg64::seed_from_u64(3);
    let terms = RequestTerms {
        work_kind: LARGE_KIND,
        ..RequestTerms::new("casts".into(), Duration::from_millis(1_200))
    };
    let refusal = Refusal {
        reason: RefusalReason::QueueFull,
        retry_after: Duration::from_millis(100),
    };
    let PickResult::Offer(permit) = router.pick(millis(1), terms, &[], &mut random) else {
        panic!("every target is open");
    };
    assert_eq!(permit.node(), NEAR);
    let again = router.pick(millis(2), permit.refused(&refusal), &[NEAR], &mut random);
    assert!(matches!(again, PickResult::Offer(_)), "{again:?}");
}
