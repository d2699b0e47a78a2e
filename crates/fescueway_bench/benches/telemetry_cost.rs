//! Measures the cost of recording a request in the metrics and the error budget burn.
//!
//! Only allocations are bounded, since they are the same in every run; times are printed.

#[path = "added_latency/alloc_count.rs"]
mod alloc_count;

use std::{hint::black_box, process::ExitCode, time::Duration};

use criterion::Criterion;
use fescueway_core::{MonoTime, Outcome, ServiceName};
use fescueway_telemetry::{BurnTracker, MetricSet, RequestEnd};

/// Number of requests whose allocations are counted.
const COUNTED_REQUESTS: u32 = 10_000;

/// Most allocations for recording all requests: the request path must not allocate for it.
const MAX_ALLOCATIONS: u64 = 0;

/// Interval between two requests in virtual time.
const REQUEST_PERIOD: Duration = Duration::from_millis(1);

fn main() -> ExitCode {
    let mut criterion = Criterion::default()
        .configure_from_args()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    let service = ServiceName::new("cap-bands");
    let set = MetricSet::new().expect("metrics");
    let metrics = set.service(&service);
    let mut tracker = BurnTracker::new("wales".into());
    tracker.set_objective(&service, 0.999);
    let end = RequestEnd {
        outcome: Outcome::Ran,
        status: 200,
        latency: Duration::from_millis(3),
        offers: 1,
        hedges: 0,
        hedge_wins: 0,
        hedge_waste: Duration::ZERO,
    };
    let mut now = MonoTime::ZERO;
    let mut count = || {
        now = now + REQUEST_PERIOD;
        let is_good = black_box(&end).is_good(Duration::from_millis(200));
        metrics.request_ended(&end);
        metrics.objective_counted(is_good);
        tracker.record(now, &service, is_good);
    };
    // The first request registers its label sets.
    count();
    let before = alloc_count::allocations();
    (0..COUNTED_REQUESTS).for_each(|_| count());
    let allocations = alloc_count::allocations() - before;
    criterion.bench_function("count one request", |bencher| bencher.iter(&mut count));
    criterion.bench_function("render the metrics of one service", |bencher| {
        bencher.iter(|| set.render());
    });
    criterion.bench_function("report the burn of one service", |bencher| {
        bencher.iter(|| tracker.report(now));
    });
    criterion.final_summary();
    println!(
        "allocations for {COUNTED_REQUESTS} requests: {allocations}, allowed {MAX_ALLOCATIONS}"
    );
    if allocations > MAX_ALLOCATIONS {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
