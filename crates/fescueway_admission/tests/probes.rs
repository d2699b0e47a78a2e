//! Probes stay within their budget and are sent rarely while there is traffic.

use std::time::Duration;

use fescueway_admission::{HealthStatus, HealthTracker, ProbeBudget, ProbeEnd, ProbeScheduler};
use fescueway_core::MonoTime;
use quickcheck::{Gen, QuickCheck};

const SECOND_US: u64 = 1_000_000;

/// Start and end of each probe in microseconds, in order and not overlapping.
type ProbeSpans = Vec<(u64, u64)>;

/// Runs probes as early as the budget allows. Each step holds a pause in microseconds, the length
/// of the probe in 1/10 ms, and whether the process restarts before it.
fn probe_spans(budget_ms_per_s: f64, timeout_ms: u64, steps: &[(u16, u16, u8)]) -> ProbeSpans {
    let new_budget =
        |now| ProbeBudget::new(now, budget_ms_per_s, Duration::from_millis(timeout_ms));
    let mut now = MonoTime::ZERO;
    let mut budget = new_budget(now);
    let mut spans = ProbeSpans::new();
    for (pause, length, restart) in steps {
        if restart % 16 == 0 {
            budget = new_budget(now);
        }
        let allowed_at = budget.next_begin().unwrap();
        now = now.max(allowed_at) + Duration::from_micros(u64::from(*pause % 64));
        let timeout = budget
            .begin(now)
            .expect("the budget allows a probe at `next_begin`");
        let probe_length = Duration::from_micros(u64::from(*length) * 100);
        let end = now + probe_length.min(timeout);
        spans.push((now.as_micros(), end.as_micros()));
        now = end;
        budget.end(now);
    }
    spans
}

/// Largest probe time in any window of `window_us`, in microseconds. It is enough to try windows
/// that begin or end at an edge of a span.
fn max_usage_us(spans: &ProbeSpans, window_us: u64) -> u64 {
    let used_us = |from: u64| -> u64 {
        let until = from + window_us;
        let overlap_us =
            |(start, end): &(u64, u64)| end.min(&until).saturating_sub(*start.max(&from));
        spans.iter().map(overlap_us).sum()
    };
    let edges = spans.iter().flat_map(|(start, end)| [*start, *end]);
    edges
        .flat_map(|edge| [used_us(edge), used_us(edge.saturating_sub(window_us))])
        .max()
        .unwrap_or(0)
}

#[test]
fn no_window_exceeds_the_budget() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck hands its values over"
    )]
    fn is_within_budget(tenths: u16, timeout: u8, steps: Vec<(u16, u16, u8)>) -> bool {
        let budget_ms_per_s = f64::from(tenths % 5_000 + 1) / 10.0;
        let spans = probe_spans(budget_ms_per_s, u64::from(timeout) + 1, &steps);
        let windows_ms = [1_000, 1_300, 2_000, 10_000, 60_000_u64];
        windows_ms.into_iter().all(|window_ms| {
            let allowed_us = budget_ms_per_s * window_ms as f64;
            max_usage_us(&spans, window_ms * 1_000) as f64 <= allowed_us + 0.5
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 4))
        .tests(400)
        .quickcheck(is_within_budget as fn(u16, u8, Vec<(u16, u16, u8)>) -> bool);
}

#[test]
fn slow_probes_run_less_often() {
    let fast = probe_spans(10.0, 1_000, &[(0, 20, 1); 100]);
    let slow = probe_spans(10.0, 1_000, &[(0, 60_000, 1); 100]);
    let spent =
        |spans: &ProbeSpans| spans.iter().map(|(start, end)| end - start).sum::<u64>() as f64;
    let elapsed = |spans: &ProbeSpans| spans.last().unwrap().1 as f64;
    assert!(elapsed(&slow) > 2.0 * elapsed(&fast));
    assert!(spent(&slow) >= 0.45 * 10.0 * elapsed(&slow) / 1e3);
}

#[test]
fn probes_yield_to_traffic_and_stay_under_one_percent_of_the_slots() {
    let slots_ms_per_s = 12.0 * 1e3;
    let slot_share = |is_busy: bool| {
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
    assert!(slot_share(false) > 0.0);
    assert!(slot_share(false) < 0.001);
    assert!(slot_share(true) < slot_share(false) / 20.0);
}

#[test]
fn traffic_overrules_a_health_endpoint_in_both_directions() {
    let at = |step: u64| MonoTime::from_micros(step * SECOND_US / 10);
    for (is_healthy, actual_status) in [
        (true, HealthStatus::Healthy),
        (false, HealthStatus::Failing),
    ] {
        let mut tracker = HealthTracker::default();
        tracker.record_probe(at(0), !is_healthy);
        assert_ne!(tracker.status(at(0)), actual_status);
        for step in 1..20 {
            tracker.record_traffic(at(step), is_healthy);
        }
        assert_eq!(tracker.status(at(20)), actual_status);
        assert!(tracker.record_probe(at(20), !is_healthy));
        tracker.record_probe(at(21), !is_healthy);
        assert!(!tracker.is_probe_trusted());
        assert_eq!(tracker.status(at(21)), actual_status);
        assert_eq!(tracker.status(at(200)), HealthStatus::Unsure);
    }
}

#[test]
fn a_load_report_replaces_the_next_probe() {
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
fn a_missing_endpoint_leaves_the_status_unsure_and_is_rarely_probed() {
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
