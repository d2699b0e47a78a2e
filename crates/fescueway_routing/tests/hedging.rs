//! Hedges under an operator's limit: when they start, where, and how many.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use fescueway_core::{
    Idempotency, LoadReport, MonoTime, NodeId, OfferCause, RequestTerms, TargetRecord, TargetState,
};
use fescueway_routing::{
    FleetShare, HedgeLimit, OfferEnd, OfferPermit, PickResult, RouteEvent, RoutingPlan,
    ServiceRouter,
};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const KIND: u64 = 7;
const USUAL: Duration = Duration::from_millis(20);
const SECOND: Duration = Duration::from_secs(1);

fn micros(value: u64) -> MonoTime {
    MonoTime::from_micros(value)
}

fn limited(share: Option<f64>, per_s: Option<f64>) -> RoutingPlan {
    RoutingPlan {
        budget_share: 1.0,
        max_retry_tokens: 1_000.0,
        hedge_limit: Some(HedgeLimit { share, per_s }),
        ..RoutingPlan::default()
    }
}

/// A router with ten targets, of which every other one is in each of the domains `a` and `b`.
fn router(plan: RoutingPlan) -> ServiceRouter {
    let mut router = ServiceRouter::new(plan, "a".into()).with_seed(NodeId(99));
    for node in 0..10 {
        let record = TargetRecord {
            node: NodeId(node),
            service: "windows".into(),
            peer_address: ([127, 0, 0, 1], 1).into(),
            domain: domain(node).into(),
            slots: 10,
            connections: 250,
            state: TargetState::Serving,
        };
        router.set_target(MonoTime::ZERO, &record);
    }
    router
}

fn domain(node: u64) -> &'static str {
    if node.is_multiple_of(2) { "a" } else { "b" }
}

/// A router that has seen `count` requests of this latency.
fn warm_router(plan: RoutingPlan) -> ServiceRouter {
    let mut router = router(plan);
    observe(&mut router, KIND, USUAL, 100);
    router
}

fn observe(router: &mut ServiceRouter, work_kind: u64, latency: Duration, count: u32) {
    for _ in 0..count {
        let event = RouteEvent::LatencyObserved { work_kind, latency };
        router.handle(MonoTime::ZERO, event);
    }
}

fn terms() -> RequestTerms {
    RequestTerms {
        idempotency: Idempotency::Idempotent,
        work_kind: KIND,
        ..RequestTerms::new("windows".into(), Duration::from_secs(5))
    }
}

fn pick(
    router: &mut ServiceRouter,
    now: MonoTime,
    terms: RequestTerms,
    tried: &[NodeId],
    random: &mut Pcg64,
) -> Option<OfferPermit> {
    match router.pick(now, terms, tried, random) {
        PickResult::Offer(permit) => Some(permit),
        PickResult::Refuse(_) => None,
    }
}

/// Picks a first target, and after the usual delay a hedge's. Returns both.
fn first_and_hedge(
    router: &mut ServiceRouter,
    now: MonoTime,
    random: &mut Pcg64,
) -> (NodeId, Option<NodeId>) {
    let first = pick(router, now, terms(), &[], random).expect("a target");
    let hedge = first.hedge().expect("an idempotent request");
    let second = pick(router, now + USUAL * 2, hedge, &[first.node()], random);
    for permit in [Some(&first), second.as_ref()].into_iter().flatten() {
        let (node, end) = (permit.node(), OfferEnd::Cancelled);
        router.handle(now, RouteEvent::OfferEnded { node, end });
    }
    (first.node(), second.map(|permit| permit.node()))
}

/// The largest number of times within any window of this length.
fn most_within(times: &[MonoTime], window: Duration) -> usize {
    let starts = times.iter().enumerate();
    let counts = starts.map(|(index, start)| {
        let rest = times[index..].iter();
        rest.take_while(|time| time.since(*start) < window).count()
    });
    counts.max().unwrap_or(0)
}

/// What happens in the replay of one entry.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Arrive,
    Hedge,
    Answer(NodeId),
}

/// A request of the replay.
#[derive(Debug)]
struct Replayed {
    start: MonoTime,
    permit: Option<OfferPermit>,
    open: BTreeMap<NodeId, MonoTime>,
    latency: Option<Duration>,
}

/// Replays `count` requests, one every 4 ms, whose time at a target is as `time_of` says. Returns their
/// sorted latencies and the times of the hedges.
fn replay(
    plan: RoutingPlan,
    count: usize,
    time_of: impl Fn(MonoTime, NodeId, &mut Pcg64) -> Duration,
) -> (Vec<Duration>, Vec<MonoTime>) {
    let mut router = router(plan);
    let mut random = Pcg64::seed_from_u64(11);
    let mut requests: Vec<Replayed> = Vec::new();
    let mut hedges = Vec::new();
    let mut steps = BinaryHeap::new();
    for index in 0..count {
        steps.push(Reverse((micros(4_000 * index as u64), index, Step::Arrive)));
    }
    while let Some(Reverse((now, index, step))) = steps.pop() {
        match step {
            Step::Arrive => {
                let permit = pick(&mut router, now, terms(), &[], &mut random).expect("a target");
                let node = permit.node();
                let time = time_of(now, node, &mut random);
                steps.push(Reverse((now + time, index, Step::Answer(node))));
                let after = router.hedge_after(now, permit.terms(), node);
                if let Some(after) = after {
                    steps.push(Reverse((now + after, index, Step::Hedge)));
                }
                requests.push(Replayed {
                    start: now,
                    permit: Some(permit),
                    open: BTreeMap::from([(node, now)]),
                    latency: None,
                });
            }
            Step::Hedge => {
                let request = &mut requests[index];
                let permit = request
                    .permit
                    .as_ref()
                    .filter(|_| request.latency.is_none());
                let Some(permit) = permit else { continue };
                let hedge = permit.hedge().expect("idempotent");
                let tried = [permit.node()];
                let Some(second) = pick(&mut router, now, hedge, &tried, &mut random) else {
                    continue;
                };
                hedges.push(now);
                let node = second.node();
                request.open.insert(node, now);
                let time = time_of(now, node, &mut random);
                steps.push(Reverse((now + time, index, Step::Answer(node))));
            }
            Step::Answer(node) => {
                let request = &mut requests[index];
                if request.latency.is_some() {
                    continue;
                }
                let elapsed = now.since(request.start);
                request.latency = Some(elapsed);
                // A first offer that lost counts with the time that it took so far.
                let (work_kind, latency) = (KIND, elapsed);
                router.handle(now, RouteEvent::LatencyObserved { work_kind, latency });
                for (open, start) in &request.open {
                    let latency = now.since(*start);
                    let is_failure = false;
                    let end = if *open == node {
                        OfferEnd::Answered {
                            latency,
                            is_failure,
                        }
                    } else {
                        OfferEnd::Cancelled
                    };
                    let node = *open;
                    router.handle(now, RouteEvent::OfferEnded { node, end });
                }
            }
        }
    }
    let mut latencies: Vec<_> = requests
        .iter()
        .filter_map(|request| request.latency)
        .collect();
    latencies.sort_unstable();
    (latencies, hedges)
}

/// The latency that this share of the sorted ones did not exceed.
fn quantile(latencies: &[Duration], share: f64) -> Duration {
    latencies[(latencies.len() as f64 * share) as usize]
}

/// Target 4 takes 20 times as long for every third request, too seldom to be known as slow.
fn straggler(_now: MonoTime, node: NodeId, random: &mut Pcg64) -> Duration {
    let usual = Duration::from_micros(15_000 + u64::from(random.next_u32() % 10_000));
    if node == NodeId(4) && random.next_u32().is_multiple_of(3) {
        return usual * 20;
    }
    usual
}

#[test]
fn requests_at_one_straggler_in_ten_are_hedged_within_the_share() {
    const COUNT: usize = 20_000;
    let (without, _) = replay(RoutingPlan::default(), COUNT, straggler);
    let (with, hedges) = replay(limited(Some(0.05), None), COUNT, straggler);
    let (before, after) = (quantile(&without, 0.99), quantile(&with, 0.99));
    assert!(
        after < before.mul_f64(0.6),
        "p99 {after:?}, without a limit {before:?}"
    );
    let share = hedges.len() as f64 / COUNT as f64;
    assert!(share <= 0.05, "{share} of the requests were hedged");
}

#[test]
fn hedges_do_not_begin_sooner_and_sooner() {
    // Without the time of cancelled first offers the known latencies are those of the fast ones only,
    // and the share is used up by requests that aren't late.
    let mut router = warm_router(limited(Some(0.05), None));
    let mut delays = Vec::new();
    for _round in 0..50 {
        let delay = router.hedge_after(MonoTime::ZERO, &terms(), NodeId(0));
        let delay = delay.expect("a delay");
        // Of 20 requests one takes ten times as long, and is answered by its hedge.
        observe(&mut router, KIND, USUAL, 19);
        observe(&mut router, KIND, delay + USUAL, 1);
        delays.push(delay);
    }
    assert!(delays[49] >= USUAL, "{delays:?}");
    assert!(delays[49] <= USUAL * 3, "{delays:?}");
}

/// Every request at 20 entries is late at once, for 12 s. Returns when the entries hedged, and the
/// first offers.
fn all_slow(limit: HedgeLimit) -> (Vec<MonoTime>, Vec<MonoTime>) {
    const ENTRIES: u32 = 20;
    const PER_S: u64 = 40;
    let mut random = Pcg64::seed_from_u64(5);
    let (mut firsts, mut hedges) = (Vec::new(), Vec::new());
    for rank in 0..ENTRIES {
        let fleet = FleetShare {
            rank,
            entries: ENTRIES,
        };
        let mut router = warm_router(RoutingPlan {
            fleet,
            ..limited(limit.share, limit.per_s)
        });
        // For 15 s all is well, so that anything that could be saved up is.
        for step in 0..27 * PER_S {
            let now = micros(step * 1_000_000 / PER_S + u64::from(rank) * 700);
            let is_slow = now >= micros(15_000_000);
            let permit = pick(&mut router, now, terms(), &[], &mut random).expect("a target");
            let node = permit.node();
            firsts.push(now);
            let due = now + USUAL * 2;
            if is_slow {
                let hedge = permit.hedge().expect("idempotent");
                if pick(&mut router, due, hedge, &[node], &mut random).is_some() {
                    hedges.push(due);
                }
            }
            let end = OfferEnd::Cancelled;
            router.handle(now, RouteEvent::OfferEnded { node, end });
        }
    }
    firsts.sort_unstable();
    hedges.sort_unstable();
    (firsts, hedges)
}

#[test]
fn all_slow_at_once_stays_within_the_cap_of_the_fleet_in_any_window() {
    // More than the entries, fewer, and no multiple.
    for cap in [1, 7, 20, 33, 60] {
        let (_, hedges) = all_slow(HedgeLimit {
            share: None,
            per_s: Some(f64::from(cap)),
        });
        let in_second = most_within(&hedges, SECOND);
        let in_ten = most_within(&hedges, SECOND * 10);
        assert!(
            in_second <= cap as usize,
            "{in_second} of {cap} in a second"
        );
        assert!(in_ten <= 10 * cap as usize, "{in_ten} of {cap} a second");
        // It is used, too.
        assert!(
            in_ten >= 8 * cap as usize,
            "only {in_ten} of {cap} a second"
        );
    }
}

#[test]
fn a_cap_below_one_is_kept_by_one_entry() {
    let (_, hedges) = all_slow(HedgeLimit {
        share: None,
        per_s: Some(0.5),
    });
    assert!((4..=6).contains(&hedges.len()), "{hedges:?}");
}

#[test]
fn all_slow_at_once_stays_within_the_share() {
    let share = 0.02;
    let (firsts, hedges) = all_slow(HedgeLimit {
        share: Some(share),
        per_s: None,
    });
    assert!(!hedges.is_empty());
    for start in 0..20 {
        let start = micros(start * 500_000 + 7_000_000);
        let window = SECOND * 10;
        let within = |times: &[MonoTime]| {
            let times = times.iter();
            let inside = times.filter(|time| **time >= start && time.since(start) < window);
            inside.count() as f64
        };
        let (repeated, offered) = (within(&hedges), within(&firsts));
        assert!(
            repeated <= share * offered,
            "{repeated} hedges of {offered}"
        );
    }
    // No entry makes more than one in a second here, as a second earns it less than one.
    assert!(most_within(&hedges, SECOND) <= 20, "{hedges:?}");
}

#[test]
fn a_limit_of_zero_allows_no_hedge() {
    for (share, per_s) in [(Some(0.0), None), (None, Some(0.0)), (Some(0.1), Some(0.0))] {
        let mut router = warm_router(limited(share, per_s));
        let mut random = Pcg64::seed_from_u64(1);
        let delay = router.hedge_after(MonoTime::ZERO, &terms(), NodeId(0));
        assert_eq!(delay, None, "{share:?} {per_s:?}");
        for step in 0..500 {
            let (_, hedge) = first_and_hedge(&mut router, micros(step * 20_000), &mut random);
            assert_eq!(hedge, None, "{share:?} {per_s:?}");
        }
    }
}

#[test]
fn a_limit_that_is_reached_allows_hedges_again_after_its_window() {
    let mut router = warm_router(limited(None, Some(2.0)));
    let mut random = Pcg64::seed_from_u64(1);
    let mut hedges = Vec::new();
    for step in 0..60 {
        let now = micros(step * 50_000);
        let (_, hedge) = first_and_hedge(&mut router, now, &mut random);
        if hedge.is_some() {
            hedges.push(step);
        }
    }
    assert_eq!(hedges.len(), 6, "{hedges:?}");
    assert_eq!(hedges[..2], [0, 1]);
    assert!((20..=22).contains(&hedges[2]), "{hedges:?}");
}

#[test]
fn hedges_also_take_the_retry_budget() {
    let mut router = warm_router(RoutingPlan {
        budget_share: 0.0,
        max_retry_tokens: 3.0,
        ..limited(None, Some(1_000.0))
    });
    let mut random = Pcg64::seed_from_u64(1);
    let hedged = (0..10).filter(|step| {
        let (_, hedge) = first_and_hedge(&mut router, micros(step * 1_000), &mut random);
        hedge.is_some()
    });
    assert_eq!(hedged.count(), 3);
}

#[test]
fn a_route_has_its_own_limit_and_that_of_its_service() {
    let route_limit = HedgeLimit {
        share: None,
        per_s: Some(1.0),
    };
    let mut random = Pcg64::seed_from_u64(1);
    for (service, route, expected) in [(5.0, 1.0, 1), (1.0, 5.0, 1), (5.0, 5.0, 5)] {
        let mut router = warm_router(RoutingPlan {
            route_hedge_limits: BTreeMap::from([(
                KIND,
                HedgeLimit {
                    per_s: Some(route),
                    ..route_limit
                },
            )]),
            ..limited(None, Some(service))
        });
        let hedged = (0..10).filter(|step| {
            let (_, hedge) = first_and_hedge(&mut router, micros(step * 1_000), &mut random);
            hedge.is_some()
        });
        assert_eq!(hedged.count(), expected, "{service} and {route}");
    }
    // Requests of another route aren't limited: they are hedged only at slow targets.
    let mut router = warm_router(RoutingPlan {
        hedge_limit: None,
        route_hedge_limits: BTreeMap::from([(KIND + 1, route_limit)]),
        ..RoutingPlan::default()
    });
    let (_, hedge) = first_and_hedge(&mut router, MonoTime::ZERO, &mut random);
    assert_eq!(hedge, None);
}

#[test]
fn the_delay_is_a_quantile_of_the_routes_own_latency() {
    let mut router = router(limited(Some(0.05), None));
    let other = KIND + 1;
    observe(&mut router, KIND, USUAL, 100);
    let delay = |router: &ServiceRouter, work_kind, objective| {
        let terms = RequestTerms {
            work_kind,
            objective,
            ..terms()
        };
        router.hedge_after(MonoTime::ZERO, &terms, NodeId(0))
    };
    assert_eq!(delay(&router, other, None), None, "nothing is known of it");
    observe(&mut router, other, USUAL * 10, 100);
    let near = |delay: Option<Duration>, expected: Duration| {
        let delay = delay.expect("a delay");
        assert!(
            delay >= expected && delay <= expected.mul_f64(1.11),
            "{delay:?}"
        );
    };
    near(delay(&router, KIND, None), USUAL);
    near(delay(&router, other, None), USUAL * 10);
    // A far objective leaves time to wait.
    near(delay(&router, KIND, Some(SECOND)), SECOND / 4);
    // Nobody waits for the answer of a hedge that begins after the deadline.
    let late = RequestTerms {
        time_left: USUAL,
        ..terms()
    };
    assert_eq!(router.hedge_after(MonoTime::ZERO, &late, NodeId(0)), None);
}

#[test]
fn nothing_is_hedged_while_the_service_is_short_of_capacity() {
    let mut router = warm_router(limited(Some(1.0), Some(100.0)));
    let mut random = Pcg64::seed_from_u64(1);
    let report_all = |router: &mut ServiceRouter, in_flight| {
        for round in 0..50 {
            let report = LoadReport {
                in_flight,
                limit: 10,
                service_time_us: 20_000,
                ..LoadReport::default()
            };
            let node = NodeId(round % 10);
            router.handle(MonoTime::ZERO, RouteEvent::LoadReported { node, report });
        }
    };
    report_all(&mut router, 9);
    let delay = router.hedge_after(MonoTime::ZERO, &terms(), NodeId(0));
    assert_eq!(delay, None);
    let (_, hedge) = first_and_hedge(&mut router, micros(10_000_000), &mut random);
    assert_eq!(hedge, None, "a delay that began before the load rose");
    report_all(&mut router, 2);
    assert!(
        router
            .hedge_after(MonoTime::ZERO, &terms(), NodeId(0))
            .is_some()
    );
}

#[test]
fn a_hedge_leaves_the_failure_domain_of_a_disturbed_target() {
    let mut router = warm_router(limited(None, Some(1_000.0)));
    let mut random = Pcg64::seed_from_u64(1);
    let report = |router: &mut ServiceRouter, now, work_permille: u32| {
        for node in 0..10 {
            let report = LoadReport {
                in_flight: 1,
                limit: 10,
                service_time_us: 20_000,
                work_permille: if domain(node) == "a" {
                    work_permille
                } else {
                    1_000
                },
                ..LoadReport::default()
            };
            let node = NodeId(node);
            router.handle(now, RouteEvent::LoadReported { node, report });
        }
    };
    let mut in_other_domain = |router: &mut ServiceRouter, now| {
        let mut count = 0;
        for _try in 0..50 {
            // The hedge of a request that one of the domain's targets has.
            let hedge = RequestTerms {
                cause: OfferCause::Hedged,
                ..terms()
            };
            let permit = pick(router, now, hedge, &[NodeId(0)], &mut random).expect("a target");
            let node = permit.node();
            count += u32::from(domain(node.0) == "b");
            let end = OfferEnd::Cancelled;
            router.handle(now, RouteEvent::OfferEnded { node, end });
        }
        count
    };
    report(&mut router, micros(0), 1_000);
    let usual = in_other_domain(&mut router, micros(1_000));
    assert!(
        usual < 25,
        "{usual} of 50 hedges left the domain for no reason"
    );
    report(&mut router, micros(2_000_000), 3_000);
    assert_eq!(in_other_domain(&mut router, micros(2_001_000)), 50);
}

#[test]
fn a_booking_is_never_hedged() {
    let mut router = warm_router(limited(Some(1.0), Some(1_000.0)));
    let mut random = Pcg64::seed_from_u64(1);
    let booking = RequestTerms {
        idempotency: Idempotency::NonIdempotent,
        ..terms()
    };
    let delay = router.hedge_after(MonoTime::ZERO, &booking, NodeId(0));
    assert_eq!(delay, None);
    let permit = pick(&mut router, MonoTime::ZERO, booking, &[], &mut random);
    assert!(permit.expect("a target").hedge().is_none());
}

#[test]
fn the_parts_of_all_entries_add_up_to_the_total() {
    for entries in 1..40 {
        for total in 0..100_u32 {
            let shares = (0..entries).map(|rank| FleetShare { rank, entries });
            let parts = shares.map(|share| share.part_of(f64::from(total), 3));
            assert_eq!(parts.sum::<u64>(), u64::from(total), "{entries} entries");
        }
    }
}
