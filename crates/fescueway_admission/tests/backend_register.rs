//! Which report of a backend server counts.

use fescueway_admission::{BackendRegistry, BackendReport, ReportOutcome};

fn report(identity: &str, born_ms: u64, sequence: u64) -> BackendReport {
    BackendReport {
        identity: identity.to_owned(),
        born_ms,
        sequence,
        is_draining: false,
    }
}

fn draining(identity: &str, born_ms: u64, sequence: u64) -> BackendReport {
    BackendReport {
        is_draining: true,
        ..report(identity, born_ms, sequence)
    }
}

#[test]
fn a_report_that_was_overtaken_changes_nothing() {
    let mut register = BackendRegistry::default();
    assert_eq!(
        register.report(&draining("a", 10, 5)),
        ReportOutcome::Drains
    );
    assert_eq!(register.report(&report("a", 10, 4)), ReportOutcome::Stale);
    assert_eq!(register.report(&report("a", 10, 5)), ReportOutcome::Stale);
}

#[test]
fn a_drain_is_not_taken_back_by_the_same_start() {
    let mut register = BackendRegistry::default();
    assert_eq!(
        register.report(&draining("a", 10, 5)),
        ReportOutcome::Drains
    );
    assert_eq!(register.report(&report("a", 10, 6)), ReportOutcome::Drains);
    assert_eq!(register.report(&report("a", 11, 1)), ReportOutcome::Serves);
}

#[test]
fn a_late_report_of_a_crashed_predecessor_does_not_replace_its_successor() {
    let mut register = BackendRegistry::default();
    assert_eq!(register.report(&report("a", 10, 5)), ReportOutcome::Serves);
    assert_eq!(register.report(&report("b", 20, 1)), ReportOutcome::Serves);
    assert_eq!(register.report(&report("a", 10, 6)), ReportOutcome::Stale);
    assert!(!register.leave("a"));
    assert!(register.leave("b"));
}

#[test]
fn one_that_left_comes_back_only_with_a_new_start() {
    let mut register = BackendRegistry::default();
    assert_eq!(register.report(&report("a", 10, 5)), ReportOutcome::Serves);
    assert!(register.leave("a"));
    assert_eq!(register.report(&report("a", 10, 6)), ReportOutcome::Stale);
    assert_eq!(register.report(&report("a", 12, 1)), ReportOutcome::Serves);
}

#[test]
fn many_starts_are_forgotten_but_the_latest() {
    let mut register = BackendRegistry::default();
    for start in 1..1_000 {
        let verdict = register.report(&report(&format!("i{start}"), start, 1));
        assert_eq!(verdict, ReportOutcome::Serves);
    }
    assert_eq!(
        register.report(&report("i998", 998, 2)),
        ReportOutcome::Stale
    );
}
