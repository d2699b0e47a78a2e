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
    assert!(!registry.leave("a", None));
    assert!(registry.leave("b", None));
}

#[test]
fn an_instance_that_left_is_accepted_again_only_after_a_restart() {
    let mut registry = BackendRegistry::default();
    assert_eq!(registry.report(&report("a", 10, 5)), ReportOutcome::Serves);
    assert!(registry.leave("a", None));
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

/// The clock of the VM is ahead at the first start and set back before the second one.
#[test]
fn a_restart_after_the_clock_was_set_back_is_in_use_once_confirmed() {
    let mut registry = BackendRegistry::default();
    assert_eq!(registry.report(&report("a", 34, 9)), ReportOutcome::Serves);
    let restarted = report("a", 28, 1);
    assert_eq!(registry.report(&restarted), ReportOutcome::Unconfirmed);
    assert!(!registry.is_in_force(&restarted));
    assert_eq!(registry.confirm(&restarted), ReportOutcome::Serves);
    assert!(registry.is_in_force(&restarted));
    let leaving = draining("a", 28, 2);
    assert_eq!(registry.report(&leaving), ReportOutcome::Drains);
    assert!(registry.is_in_force(&leaving));
    assert!(!registry.is_serving("a"));
    // A delayed report of the first start doesn't end the drain.
    assert_eq!(
        registry.report(&report("a", 34, 10)),
        ReportOutcome::Unconfirmed
    );
    assert!(registry.is_in_force(&leaving));
}

#[test]
fn a_restart_under_another_name_after_the_clock_was_set_back_is_in_use_once_confirmed() {
    let mut registry = BackendRegistry::default();
    assert_eq!(registry.report(&report("a", 34, 9)), ReportOutcome::Serves);
    let restarted = report("b", 28, 1);
    assert_eq!(registry.report(&restarted), ReportOutcome::Unconfirmed);
    assert_eq!(registry.confirm(&restarted), ReportOutcome::Serves);
    assert_eq!(
        registry.report(&report("a", 34, 10)),
        ReportOutcome::Unconfirmed
    );
    assert!(registry.is_serving("b"));
}

#[test]
fn a_restart_that_keeps_reporting_is_in_use_without_a_confirmation() {
    let mut registry = BackendRegistry::default();
    assert_eq!(registry.report(&report("a", 34, 9)), ReportOutcome::Serves);
    for sequence in 1..3 {
        let outcome = registry.report(&report("a", 28, sequence));
        assert_eq!(outcome, ReportOutcome::Unconfirmed);
    }
    assert_eq!(registry.report(&report("a", 28, 3)), ReportOutcome::Serves);
    assert_eq!(
        registry.report(&draining("a", 28, 4)),
        ReportOutcome::Drains
    );
}

#[test]
fn delayed_reports_of_an_unknown_earlier_start_do_not_replace_one_that_keeps_reporting() {
    let mut registry = BackendRegistry::default();
    assert_eq!(registry.report(&report("a", 34, 1)), ReportOutcome::Serves);
    for number in 0..8 {
        let delayed = registry.report(&report("a", 28, 10 + number));
        assert_eq!(delayed, ReportOutcome::Unconfirmed);
        let current = registry.report(&report("a", 34, 2 + number));
        assert_eq!(current, ReportOutcome::Serves);
    }
}

#[test]
fn delayed_reports_of_a_replaced_instance_never_end_a_drain() {
    let mut registry = BackendRegistry::default();
    assert_eq!(registry.report(&report("a", 10, 5)), ReportOutcome::Serves);
    assert_eq!(registry.report(&report("a", 20, 1)), ReportOutcome::Serves);
    assert_eq!(
        registry.report(&draining("a", 20, 2)),
        ReportOutcome::Drains
    );
    for sequence in 6..16 {
        let outcome = registry.report(&report("a", 10, sequence));
        assert_ne!(outcome, ReportOutcome::Serves);
    }
    assert!(!registry.is_serving("a"));
}

/// The clock is set forward and back, and the only report of the start in between arrives last.
#[test]
fn an_instance_replaced_by_a_delayed_report_of_an_earlier_one_is_in_use_again() {
    let mut registry = BackendRegistry::default();
    assert_eq!(registry.report(&report("a", 28, 1)), ReportOutcome::Serves);
    assert_eq!(registry.report(&report("a", 34, 3)), ReportOutcome::Serves);
    assert_eq!(registry.report(&report("a", 28, 2)), ReportOutcome::Stale);
    assert_eq!(registry.report(&report("a", 28, 3)), ReportOutcome::Stale);
    let third = report("a", 28, 4);
    assert_eq!(registry.report(&third), ReportOutcome::Unconfirmed);
    assert_eq!(registry.confirm(&third), ReportOutcome::Serves);
    assert_eq!(registry.report(&report("a", 28, 5)), ReportOutcome::Serves);
}

#[test]
fn a_delayed_leave_of_an_earlier_start_does_not_end_the_next_one_for_good() {
    let mut registry = BackendRegistry::default();
    assert_eq!(registry.report(&report("a", 10, 5)), ReportOutcome::Serves);
    assert_eq!(registry.report(&report("a", 20, 1)), ReportOutcome::Serves);
    // It doesn't tell which of the two left.
    assert!(registry.leave("a", None));
    assert!(!registry.is_serving("a"));
    let next = report("a", 20, 2);
    assert_eq!(registry.report(&next), ReportOutcome::Unconfirmed);
    assert_eq!(registry.confirm(&next), ReportOutcome::Serves);
    // One that tells is clear.
    assert!(!registry.leave("a", Some(10)));
    assert!(registry.is_serving("a"));
    assert!(registry.leave("a", Some(20)));
    assert_eq!(registry.report(&report("a", 20, 3)), ReportOutcome::Stale);
}

#[test]
fn ignored_reports_are_not_in_force() {
    let mut registry = BackendRegistry::default();
    registry.report(&report("a", 10, 5));
    registry.report(&report("b", 20, 1));
    let late = draining("a", 10, 6);
    assert_eq!(registry.report(&late), ReportOutcome::Stale);
    assert!(!registry.is_in_force(&late));
    assert!(registry.is_in_force(&report("b", 20, 1)));
    assert!(registry.leave("b", None));
    assert!(!registry.is_in_force(&report("b", 20, 2)));
    assert!(registry.is_in_force(&draining("b", 20, 2)));
}

/// Guards against a report that was overtaken by the leave of its sender, and brings it back: found with
/// review/9.
#[test]
fn report_that_arrives_after_the_leave_of_an_unknown_instance_is_outdated() {
    let mut registry = BackendRegistry::default();
    let report = |identity: &str, born_ms, sequence| BackendReport {
        identity: identity.to_owned(),
        born_ms,
        sequence,
        is_draining: false,
    };
    registry.report(&report("a", 1_000, 7));
    assert!(!registry.leave("b", Some(2_000)));
    assert_eq!(
        registry.report(&report("b", 2_000, 1)),
        ReportOutcome::Stale
    );
    assert!(registry.is_serving("a"));
    // Another start of that name is another instance.
    assert_eq!(
        registry.report(&report("b", 3_000, 1)),
        ReportOutcome::Serves
    );
}
