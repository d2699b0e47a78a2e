//! Measures the allocations and the time of one pick, one admission and one account check, how the
//! time of a pick grows with the number of targets, and that of an account check with the number of
//! accounts.
//!
//! Times are printed; only allocations and ratios of times are bounded.

#[path = "added_latency/alloc_count.rs"]
mod alloc_count;

use std::{
    hint::black_box,
    process::ExitCode,
    sync::Arc,
    time::{Duration, Instant},
};

use criterion::Criterion;
use fescueway_admission::{GatePlan, RunEnd, TargetGate, TicketId};
use fescueway_config::{AccountDirectory, AccountKey, AccountPlan, ConfigSet, Document, SitePlan};
use fescueway_core::{
    AccountName, DomainName, LoadReport, MonoTime, NodeId, RequestTerms, TargetRecord, TargetState,
};
use fescueway_proxy::{AccountRequest, EdgeProfile, PresentedKey};
use fescueway_routing::{OfferEnd, PickResult, RouteEvent, RoutingPlan, ServiceRouter};
use http::{HeaderMap, HeaderValue};
use rand_core::SeedableRng;
use rand_pcg::Pcg64;

/// Number of failure domains of the required fleet.
const DOMAINS: u64 = 17;

/// Numbers of targets of a small, a medium and a large service.
const SIZES: [u64; 3] = [5, 32, 6_000];

/// Subset size of a large service.
const SUBSET_SIZE: usize = 32;

/// Number of decisions whose allocations are counted, after as many of warm-up.
const COUNTED_DECISIONS: u64 = 20_000;

/// Most allocations that a decision may make.
const MAX_ALLOCATIONS: u64 = 0;

/// Maximum ratio of a pick's time at 6,000 targets to that at 32. The subset is the same; the
/// margin allows for noise on a shared machine.
const MAX_GROWTH_BEYOND_SUBSET: f64 = 1.5;

/// Numbers of accounts of today's largest site and of the required one.
const ACCOUNTS: [u64; 2] = [76, 10_000];

/// Maximum ratio of an account check's time at 10,000 accounts to that at 76. The key's digest takes the
/// same time at both.
const MAX_GROWTH_OF_ACCOUNTS: f64 = 1.5;

/// Maximum ratio between the times of checks with wrong keys of equal length, of which one shares most of
/// its text with a known key. A lookup that compares texts takes longer for that one.
const MAX_KEY_DIFFERENCE: f64 = 1.25;

/// Number of rounds. Each round times every kind of decision, so that other load on the machine
/// slows all of them; the fastest round of each counts.
const ROUNDS: u64 = 100;

/// Number of decisions of each kind per round.
const ROUND_DECISIONS: u64 = 2_000;

/// Returns the allocations of `decide`, which is called with increasing numbers.
fn count_allocations(decide: &mut impl FnMut(u64)) -> u64 {
    (0..COUNTED_DECISIONS).for_each(&mut *decide);
    let before = alloc_count::allocations();
    (COUNTED_DECISIONS..2 * COUNTED_DECISIONS).for_each(decide);
    alloc_count::allocations() - before
}

/// Returns the time of one decision of each kind in its fastest round, in nanoseconds.
fn fastest_nanos<const KINDS: usize>(decisions: &mut [impl FnMut(u64); KINDS]) -> [f64; KINDS] {
    let mut fastest = [f64::INFINITY; KINDS];
    let mut next = 2 * COUNTED_DECISIONS;
    for _ in 0..ROUNDS {
        let round = next..next + ROUND_DECISIONS;
        next = round.end;
        for (nanos, decide) in fastest.iter_mut().zip(decisions.iter_mut()) {
            let start = Instant::now();
            round.clone().for_each(decide);
            let elapsed_nanos = start.elapsed().as_nanos() as f64;
            *nanos = nanos.min(elapsed_nanos / ROUND_DECISIONS as f64);
        }
    }
    fastest
}

/// Measures and prints the time of `decide`, which is called with increasing numbers from `next`.
fn measure_time(criterion: &mut Criterion, name: &str, mut next: u64, mut decide: impl FnMut(u64)) {
    criterion.bench_function(name, |bencher| {
        bencher.iter(|| {
            decide(next);
            next += 1;
        });
    });
}

/// Creates a router with `count` targets.
fn router(count: u64) -> ServiceRouter {
    let plan = RoutingPlan {
        subset_size: SUBSET_SIZE,
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

/// Returns the name of a failure domain.
fn domain(index: u64) -> DomainName {
    DomainName::new(format!("domain-{index}"))
}

/// Returns a decision that picks a target among `count`, then reports its load and the end of the
/// offer.
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

/// Returns a decision that admits one request and finishes an earlier one. A gate has one target,
/// whatever the service's size.
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

/// Returns the key of the account with this number.
fn account_key(number: u64) -> String {
    format!("key-of-account-{number:016}")
}

/// Returns a site with `count` accounts.
fn site_of(count: u64) -> SitePlan {
    let base = r#"{ "services": { "windows": { "path_prefixes": ["/"] } } }"#;
    let base = Document::parse("base.json", base).expect("valid JSON");
    let overlay = Document::parse("site.json", r#"{ "site": "site" }"#).expect("valid JSON");
    let config = ConfigSet::check(&base, &[overlay]).expect("a valid configuration");
    let accounts = (0..count).map(|number| AccountPlan {
        name: AccountName::new(format!("account-{number}")),
        keys: vec![AccountKey::new(&account_key(number))],
        priority: None,
        allotment: None,
    });
    let accounts = AccountDirectory::try_new(accounts).expect("distinct keys");
    SitePlan {
        accounts: Some(Arc::new(accounts)),
        ..config.sites()["site"].clone()
    }
}

/// Returns a decision that checks a request with `key` at a site with `count` accounts, and sets its
/// header fields.
fn account_check(count: u64, key: &str) -> impl FnMut(u64) + use<> {
    let plan = site_of(count);
    let profile = EdgeProfile::default();
    let name = profile.api_key.clone().expect("a field for keys");
    let key = HeaderValue::from_str(key).expect("a header value");
    let mut headers = HeaderMap::new();
    headers.insert("accept", HeaderValue::from_static("application/json"));
    move |_index| {
        headers.insert(name.clone(), key.clone());
        let presented = PresentedKey::read(&headers, Some(&name));
        let request = AccountRequest {
            plan: &plan,
            route: plan
                .route_for("windows", "GET", "/windows/7")
                .expect("a route")
                .route,
            key: &presented,
            is_call: false,
            is_plan_current: true,
            is_key_proven: true,
        };
        black_box(request.check(&profile, &mut headers));
    }
}

/// Prints one check. Returns whether it holds.
fn check(name: &str, value: f64, bound: f64) -> bool {
    let is_met = value <= bound;
    let verdict = if is_met { "holds" } else { "BROKEN" };
    println!("{verdict}: {name}: {value:.2}, bound {bound:.2}");
    is_met
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
    let mut known = ACCOUNTS.map(|count| account_check(count, &account_key(7)));
    let [_, most] = ACCOUNTS;
    let wrong_keys = [
        String::from("key-of-account-000000000000000x"),
        "x".repeat(31),
    ];
    let mut wrong = wrong_keys.map(|key| account_check(most, &key));
    let account_allocations = known.iter_mut().map(count_allocations).sum::<u64>()
        + wrong.iter_mut().map(count_allocations).sum::<u64>();
    let [few_accounts, many_accounts] = fastest_nanos(&mut known);
    let [near_key, far_key] = fastest_nanos(&mut wrong);
    let [small, subset, large] = fastest_nanos(&mut picks);
    for (count, pick) in SIZES.iter().zip(picks) {
        let next = 2 * COUNTED_DECISIONS + ROUNDS * ROUND_DECISIONS;
        let name = format!("pick of {count} targets");
        measure_time(&mut criterion, &name, next, pick);
    }
    measure_time(
        &mut criterion,
        "admission",
        2 * COUNTED_DECISIONS,
        admission,
    );
    for (count, check) in ACCOUNTS.iter().zip(known) {
        measure_time(
            &mut criterion,
            &format!("account check of {count}"),
            0,
            check,
        );
    }
    criterion.final_summary();

    println!("fastest rounds of picks: {small:.0}, {subset:.0} and {large:.0} ns");
    println!(
        "fastest rounds of account checks: {few_accounts:.0} and {many_accounts:.0} ns; wrong keys \
         {near_key:.0} and {far_key:.0} ns"
    );
    let checks = [
        check(
            "allocations of account checks",
            account_allocations as f64,
            MAX_ALLOCATIONS as f64,
        ),
        check(
            "account check at 10000 accounts / at 76",
            many_accounts / few_accounts,
            MAX_GROWTH_OF_ACCOUNTS,
        ),
        check(
            "wrong keys of equal length, slower / faster",
            near_key.max(far_key) / near_key.min(far_key),
            MAX_KEY_DIFFERENCE,
        ),
        check("allocations", allocations as f64, MAX_ALLOCATIONS as f64),
        check(
            "pick at 32 targets / at 5",
            subset / small,
            SUBSET_SIZE as f64 / SIZES[0] as f64,
        ),
        check(
            "pick at 6000 targets / at 32",
            large / subset,
            MAX_GROWTH_BEYOND_SUBSET,
        ),
    ];
    if checks.iter().all(|is_met| *is_met) {
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}
