//! What one pick and one admission cost: allocations, and how the time grows with the targets.
//!
//! Times are printed; only allocations and ratios of times are bounded.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    hint::black_box,
    process::ExitCode,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use fescueway_admission::{GatePlan, RunEnd, TargetGate, TicketId};
use fescueway_core::{
    DomainName, LoadReport, MonoTime, NodeId, RequestTerms, TargetRecord, TargetState,
};
use fescueway_routing::{OfferEnd, PickResult, RouteEvent, RoutingPlan, ServiceRouter};
use rand_core::SeedableRng;
use rand_pcg::Pcg64;

/// Failure domains of the target size.
const DOMAINS: u64 = 17;

/// Decisions of one batch.
const BATCH: u64 = 20_000;

/// Batches; the fastest one counts, since what else runs on the machine only adds time.
const BATCHES: usize = 15;

/// The subset of a large service.
const SUBSET: usize = 32;

/// A pick may cost this many times as much at 6,000 targets as at 32: the subset is the same, and
/// the rest is allowed to the noise of a shared machine.
const MAX_GROWTH_BEYOND_SUBSET: f64 = 1.5;

/// Counts allocations.
struct CountingAllocator;

/// Allocations so far.
static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

#[expect(
    unsafe_code,
    reason = "counting allocations needs a global allocator, whose trait is unsafe"
)]
// SAFETY: every call is passed on unchanged to the system's allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

/// What one kind of decision costs.
struct DecisionCost {
    /// Nanoseconds of one.
    nanos: f64,
    /// Allocations of all batches together.
    allocations: u64,
}

/// Times `decide` in batches.
fn measure(mut decide: impl FnMut(u64)) -> DecisionCost {
    (0..BATCH).for_each(&mut decide);
    let allocations = ALLOCATIONS.load(Ordering::Relaxed);
    let mut fastest = Duration::MAX;
    for batch in 1..=BATCHES as u64 {
        let start = Instant::now();
        (batch * BATCH..(batch + 1) * BATCH).for_each(&mut decide);
        fastest = fastest.min(start.elapsed());
    }
    DecisionCost {
        nanos: fastest.as_nanos() as f64 / BATCH as f64,
        allocations: ALLOCATIONS.load(Ordering::Relaxed) - allocations,
    }
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

/// The cost of one pick with the report and the end of its offer.
fn measure_pick(count: u64) -> DecisionCost {
    let mut router = router(count);
    let mut random = Pcg64::seed_from_u64(1);
    let terms = RequestTerms::new("windows".into(), Duration::from_millis(300));
    measure(|index| {
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
    })
}

/// The cost of one admission and its end.
fn measure_admission() -> DecisionCost {
    let plan = GatePlan {
        ramp_time: Duration::ZERO,
        ..GatePlan::default()
    };
    let slots = u64::from(plan.slots);
    let mut gate = TargetGate::new(plan, MonoTime::ZERO);
    let terms = RequestTerms::new("windows".into(), Duration::from_millis(300));
    measure(|index| {
        let now = MonoTime::from_micros(index * 100);
        black_box(gate.offer(now, TicketId(index), &terms));
        let ended = TicketId(index.saturating_sub(slots - 1));
        black_box(gate.finish(now, ended, RunEnd::Answered));
    })
}

fn main() -> ExitCode {
    let picks = [5, 32, 6_000].map(|count| (count, measure_pick(count)));
    let admission = measure_admission();
    println!("decision                    ns  allocations");
    for (count, cost) in &picks {
        let name = format!("pick of {count} targets");
        println!("{name:<22} {:7.0} {:12}", cost.nanos, cost.allocations);
    }
    let name = "admission";
    println!(
        "{name:<22} {:7.0} {:12}",
        admission.nanos, admission.allocations
    );

    let [small, subset, large] = picks.map(|pick| pick.1);
    let in_subset = subset.nanos / small.nanos;
    let beyond = large.nanos / subset.nanos;
    let subset_growth = SUBSET as f64 / 5.0;
    println!("pick at 32 targets / at 5: {in_subset:.2} (bound {subset_growth:.2})");
    println!("pick at 6000 targets / at 32: {beyond:.2} (bound {MAX_GROWTH_BEYOND_SUBSET:.2})");
    let costs = [&small, &subset, &large, &admission];
    let is_free = costs.iter().all(|cost| cost.allocations == 0);
    if is_free && in_subset <= subset_growth && beyond <= MAX_GROWTH_BEYOND_SUBSET {
        return ExitCode::SUCCESS;
    }
    println!("BROKEN: a decision allocates or grows faster than the subset");
    ExitCode::FAILURE
}
