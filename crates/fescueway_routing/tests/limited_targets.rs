//! Entries share the rate limit that a backend server states.

use std::{collections::BTreeMap, time::Duration};

use fescueway_core::{
    Idempotency, LoadReport, MonoTime, NodeId, RequestTerms, TargetRecord, TargetState,
};
use fescueway_routing::{OfferEnd, PickResult, RouteEvent, RoutingPlan, ServiceRouter};
use rand_core::SeedableRng;
use rand_pcg::Pcg64;

/// Time between two requests at the entry.
const GAP: Duration = Duration::from_millis(20);

/// Pause that limited targets ask for.
const PAUSE: Duration = Duration::from_millis(500);

fn router(targets: u64) -> ServiceRouter {
    let mut router = ServiceRouter::new(RoutingPlan::default(), "a".into());
    for node in 0..targets {
        let record = TargetRecord {
            node: NodeId(node),
            service: "windows".into(),
            peer_address: ([127, 0, 0, 1], 1).into(),
            domain: "a".into(),
            slots: 10,
            connections: 250,
            state: TargetState::Serving,
        };
        router.set_target(MonoTime::ZERO, &record);
    }
    router
}

/// Offers 500 requests of 5 ms, `GAP` apart, and returns the offers by target. Targets below
/// `limited` state a limit, and are idle; the others have half of their slots in use.
fn offers_by_target(limited: u64) -> BTreeMap<u64, u32> {
    let mut router = router(4);
    let mut random = Pcg64::seed_from_u64(7);
    let mut offers = BTreeMap::new();
    let mut now = MonoTime::from_micros(1_000_000);
    for _ in 0..500 {
        let terms = RequestTerms {
            idempotency: Idempotency::Idempotent,
            ..RequestTerms::new("windows".into(), Duration::from_millis(300))
        };
        let PickResult::Offer(permit) = router.pick(now, terms, &[], &mut random) else {
            panic!("no offer");
        };
        let node = permit.node();
        *offers.entry(node.0).or_default() += 1;
        let is_limited = node.0 < limited;
        let report = LoadReport {
            in_flight: if is_limited { 0 } else { 5 },
            limit: 10,
            service_time_us: 5_000,
            offer_pause_us: if is_limited {
                PAUSE.as_micros() as u32
            } else {
                0
            },
            ..LoadReport::default()
        };
        let end = OfferEnd::Answered {
            latency: Duration::from_millis(5),
            is_failure: false,
        };
        let answered_at = now + Duration::from_millis(5);
        router.handle(answered_at, RouteEvent::LoadReported { node, report });
        router.handle(answered_at, RouteEvent::OfferEnded { node, end });
        now = now + GAP;
    }
    offers
}

/// A limited backend server runs little, so without the pause it looks like the best one.
#[test]
fn a_limited_target_does_not_attract_requests_by_being_idle() {
    let offers = offers_by_target(3);
    let most_limited = 500 * GAP.as_millis() as u32 / PAUSE.as_millis() as u32 + 1;
    for node in 0..3 {
        let count = offers.get(&node).copied().unwrap_or_default();
        assert!(count <= most_limited, "{count} offers to target {node}");
        assert!(count >= most_limited / 2, "{count} offers to target {node}");
    }
}

/// The pause is an estimate of the host's; where no other target is left, the host decides.
#[test]
fn requests_are_still_offered_when_every_target_is_limited() {
    let offers = offers_by_target(4);
    assert_eq!(offers.values().sum::<u32>(), 500);
    for node in 0..4 {
        let count = offers.get(&node).copied().unwrap_or_default();
        assert!(
            (75..=175).contains(&count),
            "{count} offers to target {node}"
        );
    }
}
