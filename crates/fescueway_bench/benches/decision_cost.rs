//! What one pick and one admission cost: allocations, and how the time grows with the targets.
//!
//! Times are shown; only allocations and ratios of times are bounded.

#[path = "added_latency/alloc_count.rs"]
mod alloc_count;

use std::{
    hint::black_box,
    process::ExitCode,
    time::{Duration, Instant},
};

use criterion::Criterion;
use fescueway_admission::{GatePlan, RunEnd, TargetGate, TicketId};
use fescueway_core::{
    DomainName, LoadReport, MonoTime, NodeId, RequestTerms, TargetRecord, TargetState,
};
use fescueway_routing::{OfferEnd, PickResult, RouteEvent, RoutingPlan, ServiceRouter};
use rand_core::SeedableRng;
use rand_pcg::Pcg64;

/// Failure domains of the target size.
const DOMAINS: u64 = 17;

/// Targets of the small, the middle and the large service.
const SIZES: [u64; 3] = [5, 32, 6_000];

/// The subset of a large service.
const SUBSET: usize = 32;

/// Decisions over which allocations are counted, after as many that warm up.
const COUNTED_DECISIONS: u64 = 20_000;

/// Allocations that a decision may make.
const MAX_ALLOCATIONS: u64 = 0;

/// A pick may cost this many times as much at 6,000 targets as at 32: the subset is the same, and
/// the rest is allowed to the noise of a shared machine.
const MAX_GROWTH_BEYOND_SUBSET: f64 = 1.5;

/// Rounds in which the decisions are timed by turns, so that what else runs on the machine slows
/// all of them; the fastest round of each counts.
const ROUNDS: u64 = 100;

/// Decisions of one kind in a round.
const ROUND_DECISIONS: u64 = 2_000;

/// Allocations of `decide`, which is given a number that counts up.
fn count_allocations(decide: &mut impl FnMut(u64)) -> u64 {
    (0..COUNTED_DECISIONS).for_each(&mut *decide);
    let before = alloc_count::allocations();
    (COUNTED_DECISIONS..2 * COUNTED_DECISIONS).for_each(decide);
    alloc_count::allocations() - before
}

/// Nanoseconds of one decision of each kind in its fastest round.
fn fastest_nanos<const KINDS: usize>(decides: &mut [impl FnMut(u64); KINDS]) -> [f64; KINDS] {
    let mut fastest = [f64::INFINITY; KINDS];
    let mut next = 2 * COUNTED_DECISIONS;
    for _ in 0..ROUNDS {
        let round = next..next + ROUND_DECISIONS;
        next = round.end;
        for (nanos, decide) in fastest.iter_mut().zip(decides.iter_mut()) {
            let start = Instant::now();
            round.clone().for_each(decide);
            let spent = start.elapsed().as_nanos() as f64;
            *nanos = nanos.min(spent / ROUND_DECISIONS as f64);
        }
    }
    fastest
}

/// Shows the time of `decide`, whose number goes on from `next`.
fn show_time(criterion: &mut Criterion, name: &str, mut next: u64, mut decide: impl FnMut(u64)) {
    criterion.bench_function(name, |bencher| {
        bencher.iter(|| {
            decide(next);
            next += 1;
        });
    });
}

/// A router that knows `count` targets.
fn router(count: u64) -> ServiceRouter {
    let plan = RoutingPlan {
        subset_size: SUBSET,
        ..RoutingPlan::default()
    };
    let mut router = ServiceRouter::new(plan, domain(0)).with_seed(NodeId(7));
    for node in 0..count {
        let record = TargetRecord {
            node: NodeId(node),
            service: "windows".into(),
            peer_address: ([127, 0, 0, 1], 1).into(),
            domain: domain(node % DOMAINS),
            slots: 10,
            connections: 250,
            state: TargetState::Serving,
        };
        router.set_target(MonoTime::ZERO, &record);
    }
    router
}

/// The name of a failure domain.
fn domain(index: u64) -> DomainName {
    DomainName::new(format!("domain-{index}"))
}

/// One pick with the report and the end of its offer.
fn pick_of(count: u64) -> impl FnMut(u64) {
    let mut router = router(count);
    let mut random = Pcg64::seed_from_u64(1);
    let terms = RequestTerms::new("windows".into(), Duration::from_millis(300));
    move |index| {
        let now = MonoTime::from_micros(index * 10);
        let picked = router.pick(now, terms.clone(), &[], &mut random);
        if let PickResult::Offer(permit) = black_box(picked) {
            let node = permit.node();
            let report = LoadReport {
                in_flight: (index % 10) as u32,
                limit: 10,
                service_time_us: 20_000,
                ..LoadReport::default()
            };
            router.handle(now, RouteEvent::LoadReported { node, report });
            let end = OfferEnd::Answered {
                latency: Duration::from_millis(20),
                is_failure: false,
            };
            router.handle(now, RouteEvent::OfferEnded { node, end });
        }
    }
}

/// One admission and its end. A gate knows one target, whatever the service's size.
fn admission() -> impl FnMut(u64) {
    let plan = GatePlan {
        ramp_time: Duration::ZERO,
        ..GatePlan::default()
    };
    let slots = u64::from(plan.slots);
    let mut gate = TargetGate::new(plan, MonoTime::ZERO);
    let terms = RequestTerms::new("windows".into(), Duration::from_millis(300));
    move |index| {
        let now = MonoTime::from_micros(index * 100);
        black_box(gate.offer(now, TicketId(index), &terms));
        let ended = TicketId(index.saturating_sub(slots - 1));
        black_box(gate.finish(now, ended, RunEnd::Answered));
    }
}

/// Prints one check. Whether it holds.
fn check(name: &str, value: f64, bound: f64) -> bool {
    let is_held = value <= bound;
    let verdict = if is_held { "holds" } else { "BROKEN" };
    println!("{verdict}: {name}: {value:.2}, bound {bound:.2}");
    is_held
}

fn main() -> ExitCode {
    let mut criterion = Criterion::default()
        .configure_from_args()
        .sample_size(30)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    let mut picks = SIZES.map(pick_of);
    let mut admission = admission();
    let allocations = picks.iter_mut().map(count_allocations).sum::<u64>();
    let allocations = allocations + count_allocations(&mut admission);
    let [small, subset, large] = fastest_nanos(&mut picks);
    for (count, pick) in SIZES.iter().zip(picks) {
        let next = 2 * COUNTED_DECISIONS + ROUNDS * ROUND_DECISIONS;
        let name = format!("pick of {count} targets");
        show_time(&mut criterion, &name, next, pick);
    }
    show_time(
        &mut criterion,
        "admission",
        2 * COUNTED_DECISIONS,
        admission,
    );
    criterion.final_summary();

    println!("fastest rounds of picks: {small:.0}, {subset:.0} and {large:.0} ns");
    let checks = [
        check("allocations", allocations as f64, MAX_ALLOCATIONS as f64),
        check(
            "pick at 32 targets / at 5",
            subset / small,
            SUBSET as f64 / SIZES[0] as f64,
        ),
        check(
            "pick at 6000 targets / at 32",
            large / subset,
            MAX_GROWTH_BEYOND_SUBSET,
        ),
    ];
    if checks.iter().all(|held| *held) {
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}
