//! Service-level burn compared with values calculated by hand.

use std::time::Duration;

use fescueway_core::{MonoTime, Outcome, ServiceName};
use fescueway_telemetry::{
    BURN_ALARMS, BurnReport, BurnTracker, BurnWindow, HedgeCount, RequestEnd, WindowCount, burn_svg,
};
use quickcheck::{Gen, QuickCheck};

const MINUTE: Duration = Duration::from_mins(1);

fn minute(count: u32) -> MonoTime {
    MonoTime::ZERO + MINUTE * count
}

fn tracker() -> (BurnTracker, ServiceName) {
    let service = ServiceName::new("bands");
    let mut tracker = BurnTracker::new("bala".into());
    tracker.set_objective(&service, 0.999);
    (tracker, service)
}

/// Records `good` and `bad` requests in each minute of `minutes`.
fn record_each_minute(
    tracker: &mut BurnTracker,
    minutes: std::ops::Range<u32>,
    good: u32,
    bad: u32,
) {
    let service = ServiceName::new("bands");
    for at in minutes {
        for index in 0..good + bad {
            tracker.record(minute(at), &service, index < good);
        }
    }
}

fn assert_near(left: f64, right: f64) {
    assert!((left - right).abs() < 1e-6, "{left} is not {right}");
}

#[test]
fn burn_is_the_bad_share_divided_by_the_error_budget() {
    let (mut tracker, _) = tracker();
    // An hour with 2% bad, then 5 minutes without: 2% / 0.1% = 20.
    record_each_minute(&mut tracker, 0..60, 98, 2);
    let report = tracker.report(minute(59));
    for window in [
        BurnWindow::Minutes5,
        BurnWindow::Minutes30,
        BurnWindow::Hours1,
    ] {
        assert_near(report.services[0].burn(window), 20.0);
    }
    record_each_minute(&mut tracker, 60..65, 100, 0);
    let burn = &tracker.report(minute(64)).services[0];
    assert_near(burn.burn(BurnWindow::Minutes5), 0.0);
    // 25 of 30 minutes at 2%: 50 of 3,000 is 1.6667%.
    assert_near(burn.burn(BurnWindow::Minutes30), 50.0 / 3.0);
    // All 65 minutes: 120 of 6,500.
    assert_near(burn.burn(BurnWindow::Hours6), 120.0 / 6_500.0 / 0.001);
    assert_eq!(
        burn.hours[0],
        WindowCount {
            good: 500 + 980 * 5,
            bad: 100
        }
    );
}

#[test]
fn alarms_begin_and_end_with_both_windows() {
    let (mut tracker, _) = tracker();
    record_each_minute(&mut tracker, 0..60, 98, 2);
    let began = tracker.check_alarms(minute(59));
    // A burn of 20 is above every threshold in every window.
    assert_eq!(began.len(), BURN_ALARMS.len());
    assert!(began.iter().all(|change| change.is_active));
    assert!(
        tracker.check_alarms(minute(59)).is_empty(),
        "reported twice"
    );
    record_each_minute(&mut tracker, 60..65, 100, 0);
    let ended = tracker.check_alarms(minute(64));
    // Only the 5-minute window has no bad requests any more.
    assert_eq!(ended.len(), 1);
    assert!(!ended[0].is_active);
    assert_eq!(ended[0].alarm.short, BurnWindow::Minutes5);
}

#[test]
fn a_few_bad_requests_raise_no_alarm() {
    let (mut tracker, service) = tracker();
    for _ in 0..4 {
        tracker.record(minute(0), &service, false);
    }
    assert!(tracker.check_alarms(minute(0)).is_empty());
    tracker.record(minute(0), &service, false);
    assert_eq!(tracker.check_alarms(minute(0)).len(), BURN_ALARMS.len());
}

#[test]
fn counts_expire_when_the_clock_jumps_forward() {
    let (mut tracker, _) = tracker();
    record_each_minute(&mut tracker, 0..10, 0, 10);
    let burn = &tracker.report(minute(24 * 60)).services[0];
    assert_near(burn.burn(BurnWindow::Hours6), 0.0);
    assert_near(burn.burn(BurnWindow::Days3), 1_000.0);
    let burn = &tracker.report(minute(400 * 24 * 60)).services[0];
    assert_near(burn.burn(BurnWindow::Days3), 0.0);
    assert!(burn.hours.is_empty());
}

#[test]
fn good_means_ran_in_time_without_a_server_error() {
    let limit = Duration::from_millis(100);
    let end = RequestEnd {
        outcome: Outcome::Ran,
        status: 404,
        latency: limit,
        offers: 1,
        hedges: 0,
        hedge_wins: 0,
        hedge_waste: Duration::ZERO,
    };
    assert!(end.is_good(limit));
    let late = limit + Duration::from_micros(1);
    assert!(
        !RequestEnd {
            latency: late,
            ..end
        }
        .is_good(limit)
    );
    assert!(!RequestEnd { status: 500, ..end }.is_good(limit));
    for outcome in [Outcome::NotRun, Outcome::Unknown] {
        assert!(!RequestEnd { outcome, ..end }.is_good(limit));
    }
}

#[test]
fn plot_and_table_name_every_service() {
    let (mut tracker, _) = tracker();
    record_each_minute(&mut tracker, 0..60, 98, 2);
    let report = tracker.report(minute(59));
    let svg = burn_svg(&report).expect("a plot");
    assert!(
        svg.starts_with("<svg") && svg.contains("bala bands"),
        "{svg}"
    );
    let empty = burn_svg(&BurnReport::default()).expect("a plot without services");
    assert!(!empty.contains("bala"));
    let rows = report.table();
    assert_eq!(rows[1][..4], ["bala", "bands", "99.9%", "20.00"]);
    assert!(rows[1].last().expect("a cell").starts_with("page"));
}

#[test]
fn merged_reports_count_each_request_once_in_any_order() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck gives owned values"
    )]
    fn property(left: Vec<(u8, bool)>, right: Vec<(u8, bool)>) -> bool {
        let service = ServiceName::new("bands");
        let count = |requests: &[&[(u8, bool)]]| {
            let (mut tracker, _) = tracker();
            let mut all: Vec<_> = requests.concat();
            all.sort_unstable();
            for (at, is_good) in all {
                tracker.record(minute(at.into()), &service, is_good);
            }
            tracker.report(minute(255))
        };
        let whole = count(&[&left, &right]);
        let mut forward = count(&[&left]);
        forward.merge(&count(&[&right]));
        let mut backward = count(&[&right]);
        backward.merge(&count(&[&left]));
        whole == forward && whole == backward
    }
    type Requests = Vec<(u8, bool)>;
    let mut checker = QuickCheck::new().rng(Gen::from_size_and_seed(60, 0x00fe_5c0e));
    checker.quickcheck(property as fn(Requests, Requests) -> bool);
}

#[test]
fn hedges_are_summed_over_nodes_and_shown_where_there_are_any() {
    let (mut one, service) = tracker();
    let (mut other, _) = tracker();
    let without = one.report(MonoTime::ZERO);
    assert!(!without.table()[0].contains(&"HEDGES".to_owned()));
    let json = serde_json::to_string(&without).expect("JSON");
    // Commands of earlier versions read the report of a service without hedges as before.
    assert!(!json.contains("hedges"), "{json}");
    let hedges = |started, won, wasted_ms| HedgeCount {
        started,
        won,
        wasted_ms,
    };
    one.record_hedges(&service, hedges(2, 1, 700));
    one.record_hedges(&service, hedges(1, 1, 300));
    other.record_hedges(&service, hedges(4, 0, 250));
    let mut report = one.report(MonoTime::ZERO);
    report.merge(&other.report(MonoTime::ZERO));
    assert_eq!(report.services[0].hedges, hedges(7, 2, 1_250));
    let table = report.table();
    let ends: Vec<_> = table
        .iter()
        .map(|row| row[row.len() - 3..].join(" "))
        .collect();
    assert_eq!(ends, ["HEDGES WON WASTED S", "7 2 1.2"]);
}
