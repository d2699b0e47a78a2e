//! Tests of the gate while neighbouring VMs disturb its backend server.

use std::time::Duration;

use fescueway_admission::{GateAction, GateResult, TargetGate, TicketId};
use fescueway_core::{Priority, RefusalReason, RequestTerms, ServerLoad};

use super::{millis, record_kind, terms, warm_gate};

/// Load report with a pace of `permille`: the duration of work in 1/1000 of its normal duration.
fn pace_report(permille: u32) -> ServerLoad {
    ServerLoad {
        running: 0,
        waiting: 0,
        slots: 4,
        work_permille: Some(permille),
    }
}

/// An offer of kind 1 whose entry accepts a wait of `wait_limit_ms`.
fn with_wait_limit(wait_limit_ms: u64) -> RequestTerms {
    RequestTerms {
        work_kind: 1,
        wait_limit: Duration::from_millis(wait_limit_ms),
        ..terms(Priority::Normal, 2_000)
    }
}

/// A gate whose backend server works at normal pace until 9.99 s and takes four times as long
/// from 10 s. Kind 1 takes 100 ms, kind 2 takes 10 ms.
fn disturbed_gate() -> TargetGate {
    let mut gate = warm_gate(4);
    record_kind(&mut gate, 1, 100, 20);
    record_kind(&mut gate, 2, 10, 20);
    disturb(&mut gate);
    gate
}

/// Reports the normal pace at 9.99 s and four times that at 10 s.
fn disturb(gate: &mut TargetGate) {
    for (time_ms, permille) in [(9_990, 1_000), (10_000, 4_000)] {
        let actions = gate.learn_load(millis(time_ms), &pace_report(permille));
        assert!(actions.is_empty(), "{actions:?}");
    }
}

#[test]
fn a_disturbed_target_refuses_offers_that_are_better_placed_elsewhere() {
    let mut gate = disturbed_gate();
    assert_eq!(gate.report(millis(10_010)).work_permille, 4_000);
    let refused = gate.offer(millis(10_010), TicketId(2), &with_wait_limit(40));
    assert!(
        matches!(refused, GateResult::Refuse(refusal)
            if refusal.reason == RefusalReason::BetterElsewhere),
        "{refused:?}"
    );
    assert!(
        gate.learn_load(millis(10_200), &pace_report(1_000))
            .is_empty()
    );
    let after = gate.offer(millis(10_210), TicketId(4), &with_wait_limit(40));
    assert_eq!(after, GateResult::Run);
}

#[test]
fn a_last_offer_waits_for_the_end_of_a_disturbance() {
    let mut gate = disturbed_gate();
    let last_offer = with_wait_limit(2_000);
    let result = gate.offer(millis(10_010), TicketId(3), &last_offer);
    assert_eq!(result, GateResult::Wait);
    assert!(
        gate.learn_load(millis(10_050), &pace_report(4_000))
            .is_empty()
    );
    let actions = gate.learn_load(millis(10_100), &pace_report(1_000));
    assert_eq!(actions, [GateAction::Run(TicketId(3))]);
}

#[test]
fn a_deadline_that_is_met_after_a_disturbance_is_no_reason_to_refuse() {
    let mut gate = disturbed_gate();
    // Enough for the disturbance and 100 ms of work, not for work that takes four times as long.
    let last_offer = RequestTerms {
        time_left: Duration::from_millis(400),
        ..with_wait_limit(400)
    };
    let result = gate.offer(millis(10_010), TicketId(3), &last_offer);
    assert_eq!(result, GateResult::Wait);
}

#[test]
fn a_delayed_offer_runs_when_the_last_pace_report_expires() {
    let mut gate = disturbed_gate();
    let result = gate.offer(millis(10_010), TicketId(3), &with_wait_limit(2_000));
    assert_eq!(result, GateResult::Wait);
    let mut actions = Vec::new();
    while actions.is_empty() {
        let wake = gate.next_wake().expect("a request waits");
        assert!(wake <= millis(10_320), "{wake:?}");
        actions = gate.tick(wake);
    }
    assert_eq!(actions, [GateAction::Run(TicketId(3))]);
}

#[test]
fn a_request_that_ends_before_the_disturbance_starts_at_once() {
    let mut gate = disturbed_gate();
    let short = RequestTerms {
        work_kind: 2,
        ..with_wait_limit(2_000)
    };
    let result = gate.offer(millis(10_010), TicketId(3), &short);
    assert_eq!(result, GateResult::Run);
}

#[test]
fn an_offer_waits_for_a_new_pace_report() {
    let mut gate = disturbed_gate();
    gate.learn_load(millis(10_200), &pace_report(1_000));
    assert_eq!(gate.next_load_query(millis(10_250)), None, "nothing waits");
    let waiting = gate.offer(millis(10_250), TicketId(3), &with_wait_limit(40));
    assert_eq!(waiting, GateResult::Wait);
    let question = gate.next_load_query(millis(10_250));
    assert!(
        question.is_some_and(|due| due <= millis(10_250)),
        "{question:?}"
    );
    let actions = gate.learn_load(millis(10_251), &pace_report(1_000));
    assert_eq!(actions, [GateAction::Run(TicketId(3))]);
}

#[test]
fn a_backend_server_that_does_not_report_delays_only_one_request() {
    let mut gate = disturbed_gate();
    gate.learn_load(millis(10_200), &pace_report(1_000));
    let waiting = gate.offer(millis(10_250), TicketId(3), &with_wait_limit(40));
    assert_eq!(waiting, GateResult::Wait);
    let wake = gate.next_wake().expect("a request waits");
    assert!(wake <= millis(10_270), "{wake:?}");
    assert_eq!(gate.tick(wake), [GateAction::Run(TicketId(3))]);
    let next = gate.offer(millis(10_280), TicketId(4), &with_wait_limit(40));
    assert_eq!(next, GateResult::Run);
}

/// Reports the disturbed pace every 50 ms from 10 s to `end_ms`.
fn report_disturbance(gate: &mut TargetGate, end_ms: u64) {
    for time_ms in (10_000..=end_ms).step_by(50) {
        gate.learn_load(millis(time_ms), &pace_report(4_000));
    }
}

#[test]
fn a_disturbance_of_a_second_is_no_baseline() {
    let mut gate = disturbed_gate();
    report_disturbance(&mut gate, 11_000);
    let refused = gate.offer(millis(11_010), TicketId(3), &with_wait_limit(40));
    assert!(
        matches!(refused, GateResult::Refuse(refusal)
            if refusal.reason == RefusalReason::BetterElsewhere),
        "{refused:?}"
    );
}

#[test]
fn a_lasting_slowdown_delays_nothing() {
    let mut gate = disturbed_gate();
    report_disturbance(&mut gate, 12_000);
    let last_offer = with_wait_limit(2_000);
    let result = gate.offer(millis(12_010), TicketId(3), &last_offer);
    assert_eq!(result, GateResult::Run);
}

#[test]
fn a_slowdown_that_lasts_for_seconds_is_the_baseline() {
    let mut gate = disturbed_gate();
    report_disturbance(&mut gate, 14_000);
    let result = gate.offer(millis(14_010), TicketId(3), &with_wait_limit(40));
    assert_eq!(result, GateResult::Run);
}

#[test]
fn waiting_offers_are_refused_when_a_disturbance_begins() {
    let mut gate = warm_gate(1);
    record_kind(&mut gate, 1, 100, 20);
    gate.learn_load(millis(9_990), &pace_report(1_000));
    let first = gate.offer(millis(9_990), TicketId(1), &with_wait_limit(2_000));
    assert_eq!(first, GateResult::Run);
    let second = gate.offer(millis(9_995), TicketId(2), &with_wait_limit(120));
    assert_eq!(second, GateResult::Wait);
    let actions = gate.learn_load(millis(10_000), &pace_report(4_000));
    assert!(
        matches!(actions[..], [GateAction::Refuse(TicketId(2), refusal)]
            if refusal.reason == RefusalReason::BetterElsewhere),
        "{actions:?}"
    );
}

#[test]
fn a_kind_that_never_ran_is_assumed_to_take_a_share_of_its_objective() {
    let mut gate = warm_gate(4);
    disturb(&mut gate);
    let unknown = RequestTerms {
        work_kind: 3,
        objective: Some(Duration::from_millis(800)),
        ..with_wait_limit(40)
    };
    let refused = gate.offer(millis(10_010), TicketId(3), &unknown);
    assert!(
        matches!(refused, GateResult::Refuse(refusal)
            if refusal.reason == RefusalReason::BetterElsewhere),
        "{refused:?}"
    );
}

#[test]
fn runs_that_began_at_a_slow_pace_do_not_look_stalled() {
    let mut gate = warm_gate(4);
    record_kind(&mut gate, 1, 100, 20);
    gate.learn_load(millis(10_000), &pace_report(8_000));
    for ticket in 0..4 {
        let result = gate.offer(millis(10_000), TicketId(ticket), &with_wait_limit(2_000));
        assert_eq!(result, GateResult::Run);
    }
    let report = gate.report(millis(10_500));
    assert_eq!(report.service_time_us, 100_000);
}
