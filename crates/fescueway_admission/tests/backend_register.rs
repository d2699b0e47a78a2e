//! Outdated reports of backend servers are ignored.

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
fn an_out_of_order_report_is_ignored() {
    let mut registry = BackendRegistry::default();
    assert_eq!(
        registry.report(&draining("a", 10, 5)),
        ReportOutcome::Drains
    );
    assert_eq!(registry.report(&report("a", 10, 4)), ReportOutcome::Stale);
    assert_eq!(registry.report(&report("a", 10, 5)), ReportOutcome::Stale);
}

#[test]
fn an_instance_cannot_revoke_its_drain() {
    let mut registry = BackendRegistry::default();
    assert_eq!(
        registry.report(&draining("a", 10, 5)),
        ReportOutcome::Drains
    );
    assert_eq!(registry.report(&report("a", 10, 6)), ReportOutcome::Drains);
    assert_eq!(registry.report(&report("a", 11, 1)), ReportOutcome::Serves);
}

#[test]
fn a_late_report_of_a_crashed_instance_does_not_replace_its_successor() {
    let mut registry = BackendRegistry::default();
    assert_eq!(registry.report(&report("a", 10, 5)), ReportOutcome::Serves);
    assert_eq!(registry.report(&report("b", 20, 1)), ReportOutcome::Serves);
    assert_eq!(registry.report(&report("a", 10, 6)), ReportOutcome::Stale);
    assert!(!registry.leave("a"));
    assert!(registry.leave("b"));
}

#[test]
fn an_instance_that_left_is_accepted_again_only_after_a_restart() {
    let mut registry = BackendRegistry::default();
    assert_eq!(registry.report(&report("a", 10, 5)), ReportOutcome::Serves);
    assert!(registry.leave("a"));
    assert_eq!(registry.report(&report("a", 10, 6)), ReportOutcome::Stale);
    assert_eq!(registry.report(&report("a", 12, 1)), ReportOutcome::Serves);
}

#[test]
fn the_latest_instances_are_remembered_among_many() {
    let mut registry = BackendRegistry::default();
    for born_ms in 1..1_000 {
        let outcome = registry.report(&report(&format!("i{born_ms}"), born_ms, 1));
        assert_eq!(outcome, ReportOutcome::Serves);
    }
    assert_eq!(
        registry.report(&report("i998", 998, 2)),
        ReportOutcome::Stale
    );
}
