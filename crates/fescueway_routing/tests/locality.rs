//! What crosses failure domains, and what doesn't.

use std::time::Duration;

use fescueway_core::{
    LoadReport, MonoTime, NodeId, Refusal, RefusalReason, RequestTerms, TargetRecord, TargetState,
};
use fescueway_routing::{OfferEnd, PickResult, RouteEvent, RoutingPlan, ServiceRouter};
use rand_core::SeedableRng;
use rand_pcg::Pcg64;

/// A kind of request with small answers.
const SMALL: u64 = 1;

/// A kind of request with answers of 90 KiB.
const LARGE: u64 = 2;

/// The target of the entry's own failure domain.
const NEAR: NodeId = NodeId(0);

/// Offers that are counted.
const OFFERS: u64 = 400;

fn millis(value: u64) -> MonoTime {
    MonoTime::from_micros(value * 1_000)
}

/// A router with one target in its own failure domain and two in others. A KiB that crosses counts
/// as a millisecond.
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
    for (work_kind, bytes) in [(SMALL, 1_024), (LARGE, 90 * 1_024)] {
        router.handle(MonoTime::ZERO, RouteEvent::AnswerSized { work_kind, bytes });
    }
    router
}

/// How many of the offers of a kind go to the own failure domain, whose target has `near_load`
/// requests while the others have two, and how long a wait the last of these accepts.
fn near_offers(kind: u64, near_load: u32) -> (u64, Duration) {
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
fn large_answers_stay_in_the_failure_domain_for_as_long_as_that_is_worth_it() {
    let (large, accepted) = near_offers(LARGE, 11);
    assert!(large > OFFERS * 9 / 10, "{large} of {OFFERS}");
    assert!(accepted >= Duration::from_millis(90), "{accepted:?}");
    let (small, accepted) = near_offers(SMALL, 11);
    assert!(small < OFFERS / 10, "{small} of {OFFERS}");
    assert!(accepted < Duration::from_millis(90), "{accepted:?}");
    let (overloaded, _) = near_offers(LARGE, 40);
    assert!(overloaded < OFFERS / 10, "{overloaded} of {OFFERS}");
}

#[test]
fn a_kind_whose_answers_are_not_known_counts_by_its_trips() {
    let (near, _) = near_offers(7, 11);
    assert!(near < OFFERS / 10, "{near} of {OFFERS}");
}

#[test]
fn a_refusal_of_the_near_target_sends_a_large_answer_away() {
    let mut router = router();
    let mut random = Pcg64::seed_from_u64(3);
    let terms = RequestTerms {
        work_kind: LARGE,
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
