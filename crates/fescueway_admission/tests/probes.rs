//! Probes stay within their budget and give way to traffic.

use std::time::Duration;

use fescueway_admission::{HealthStatus, HealthTracker, ProbeBudget, ProbeEnd, ProbeScheduler};
use fescueway_core::MonoTime;
use quickcheck::{Gen, QuickCheck};

const SECOND_US: u64 = 1_000_000;

/// Backend time spent on probes, in order and not overlapping.
type Spans = Vec<(u64, u64)>;

/// Probes as fast as is allowed. Each step is a pause, a probe's length in 1/10 ms, and whether
/// the process restarts before it.
fn probe_spans(budget_ms_per_s: f64, timeout_ms: u64, steps: &[(u16, u16, u8)]) -> Spans {
    let fresh = |now| ProbeBudget::new(now, budget_ms_per_s, Duration::from_millis(timeout_ms));
    let mut now = MonoTime::ZERO;
    let mut budget = fresh(now);
    let mut spans = Spans::new();
    for (pause, length, restart) in steps {
        if restart % 16 == 0 {
            budget = fresh(now);
        }
        let allowed_at = budget.next_begin().unwrap();
        now = now.max(allowed_at) + Duration::from_micros(u64::from(*pause % 64));
        let cut_off = budget.begin(now).expect("allowed at its own time");
        let wanted = Duration::from_micros(u64::from(*length) * 100);
        let end = now + wanted.min(cut_off);
        spans.push((now.as_micros(), end.as_micros()));
        now = end;
        budget.end(now);
    }
    spans
}

/// The largest use of any window of `window_us`, in microseconds. One of its ends is at an end
/// of a span.
fn largest_use(spans: &Spans, window_us: u64) -> u64 {
    let used = |from: u64| -> u64 {
        let until = from + window_us;
        let part = |(start, end): &(u64, u64)| end.min(&until).saturating_sub(*start.max(&from));
        spans.iter().map(part).sum()
    };
    let edges = spans.iter().flat_map(|(start, end)| [*start, *end]);
    edges
        .flat_map(|edge| [used(edge), used(edge.saturating_sub(window_us))])
        .max()
        .unwrap_or(0)
}

#[test]
fn no_window_exceeds_the_budget() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck hands its values over"
    )]
    fn holds(tenths: u16, timeout: u8, steps: Vec<(u16, u16, u8)>) -> bool {
        let budget_ms_per_s = f64::from(tenths % 5_000 + 1) / 10.0;
        let spans = probe_spans(budget_ms_per_s, u64::from(timeout) + 1, &steps);
        let windows_ms = [1_000, 1_300, 2_000, 10_000, 60_000_u64];
        windows_ms.into_iter().all(|window_ms| {
            let allowed_us = budget_ms_per_s * window_ms as f64;
            largest_use(&spans, window_ms * 1_000) as f64 <= allowed_us + 0.5
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 4))
        .tests(400)
        .quickcheck(holds as fn(u16, u8, Vec<(u16, u16, u8)>) -> bool);
}

#[test]
fn slow_probes_mean_fewer_probes() {
    let fast = probe_spans(10.0, 1_000, &[(0, 20, 1); 100]);
    let slow = probe_spans(10.0, 1_000, &[(0, 60_000, 1); 100]);
    let spent = |spans: &Spans| spans.iter().map(|(start, end)| end - start).sum::<u64>() as f64;
    let elapsed = |spans: &Spans| spans.last().unwrap().1 as f64;
    assert!(elapsed(&slow) > 2.0 * elapsed(&fast));
    assert!(spent(&slow) >= 0.45 * 10.0 * elapsed(&slow) / 1e3);
}

#[test]
fn probes_give_way_to_traffic_and_stay_under_one_percent_of_the_slots() {
    let slots_ms_per_s = 12.0 * 1e3;
    let share = |is_busy: bool| {
        let budget = ProbeBudget::new(MonoTime::ZERO, 12.0, Duration::from_millis(50));
        let mut scheduler = ProbeScheduler::new(MonoTime::ZERO, budget);
        for step in 1..=600 * 20 {
            let now = MonoTime::from_micros(step * SECOND_US / 20);
            if is_busy {
                scheduler.record_traffic(now, true);
            }
            if scheduler.begin(now).is_some() {
                scheduler.end(now + Duration::from_millis(5), ProbeEnd::Healthy);
            }
        }
        scheduler.charged().as_millis() as f64 / 600.0 / slots_ms_per_s
    };
    assert!(share(false) > 0.0);
    assert!(share(false) < 0.001);
    assert!(share(true) < share(false) / 20.0);
}

#[test]
fn traffic_overrules_a_health_endpoint_in_both_directions() {
    let at = |step: u64| MonoTime::from_micros(step * SECOND_US / 10);
    for (is_healthy, truth) in [
        (true, HealthStatus::Healthy),
        (false, HealthStatus::Failing),
    ] {
        let mut belief = HealthTracker::default();
        belief.record_probe(at(0), !is_healthy);
        assert_ne!(belief.status(at(0)), truth);
        for step in 1..20 {
            belief.record_traffic(at(step), is_healthy);
        }
        assert_eq!(belief.status(at(20)), truth);
        assert!(belief.record_probe(at(20), !is_healthy));
        belief.record_probe(at(21), !is_healthy);
        assert!(!belief.is_probe_trusted());
        assert_eq!(belief.status(at(21)), truth);
        assert_eq!(belief.status(at(200)), HealthStatus::Unsure);
    }
}

#[test]
fn a_load_report_with_an_answer_spares_the_next_probe() {
    let probes = |is_reporting: bool| {
        let budget = ProbeBudget::new(MonoTime::ZERO, 20.0, Duration::from_millis(5));
        let mut scheduler = ProbeScheduler::new(MonoTime::ZERO, budget);
        for second in 1..=600 {
            let now = MonoTime::from_micros(second * SECOND_US);
            scheduler.record_traffic(now, true);
            if is_reporting {
                scheduler.record_load_report(now);
            }
            if scheduler.begin(now).is_some() {
                scheduler.end(now + Duration::from_millis(5), ProbeEnd::Healthy);
            }
        }
        scheduler.probes()
    };
    assert_eq!(probes(false), 20);
    assert_eq!(probes(true), 0);
}

#[test]
fn an_endpoint_that_is_not_there_says_nothing_and_is_rarely_looked_for() {
    let budget = ProbeBudget::new(MonoTime::ZERO, 20.0, Duration::from_millis(5));
    let mut scheduler = ProbeScheduler::new(MonoTime::ZERO, budget);
    for second in 1..=600 {
        let now = MonoTime::from_micros(second * SECOND_US);
        if scheduler.begin(now).is_some() {
            assert!(!scheduler.end(now + Duration::from_millis(5), ProbeEnd::Absent));
        }
        assert_eq!(scheduler.status(now), HealthStatus::Unsure);
    }
    assert_eq!(scheduler.probes(), 20);
}
