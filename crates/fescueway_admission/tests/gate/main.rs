//! Tests of the gate: queue order, limits, early refusal, drain and slow start.

mod disturbances;

use std::{collections::BTreeMap, time::Duration};

use fescueway_admission::{GateAction, GatePlan, GateResult, RunEnd, TargetGate, TicketId};
use fescueway_core::{MonoTime, Priority, RefusalReason, RequestTerms};
use quickcheck::{QuickCheck, TestResult};

fn millis(value: u64) -> MonoTime {
    MonoTime::from_micros(value * 1_000)
}

fn terms(priority: Priority, time_left_ms: u64) -> RequestTerms {
    RequestTerms {
        priority,
        ..RequestTerms::new("windows".into(), Duration::from_millis(time_left_ms))
    }
}

fn warm_gate(slots: u32) -> TargetGate {
    let plan = GatePlan {
        slots,
        queue_per_slot: 10.0,
        ramp_time: Duration::ZERO,
        ..GatePlan::default()
    };
    TargetGate::new(plan, MonoTime::ZERO)
}

/// A gate of one slot that has measured a service time of 20 ms and is busy from 2 s on.
fn busy_gate() -> TargetGate {
    let mut gate = warm_gate(1);
    for index in 0..100 {
        let ticket = TicketId(1_000 + index);
        let long = terms(Priority::Normal, 10_000);
        assert_eq!(
            gate.offer(millis(index * 20), ticket, &long),
            GateResult::Run
        );
        gate.finish(millis(index * 20 + 20), ticket, RunEnd::Answered);
    }
    let first = gate.offer(millis(2_000), TicketId(0), &terms(Priority::Normal, 10_000));
    assert_eq!(first, GateResult::Run);
    gate
}

/// Tickets in the order in which they run, when each run takes 20 ms.
fn run_order(gate: &mut TargetGate, from_ms: u64) -> Vec<u64> {
    let mut order = Vec::new();
    let mut running = TicketId(0);
    for step in 1..20 {
        let actions = gate.finish(millis(from_ms + step * 20), running, RunEnd::Answered);
        let Some(GateAction::Run(next)) = actions.first() else {
            break;
        };
        order.push(next.0);
        running = *next;
    }
    order
}

#[test]
fn the_queue_is_ordered_by_deadline_and_priority() {
    let mut gate = busy_gate();
    let now = millis(2_000);
    let offers = [
        (1, Priority::Normal, 400),
        (2, Priority::High, 500),
        (3, Priority::High, 300),
        (4, Priority::Low, 400),
    ];
    for (ticket, priority, time_left) in offers {
        let result = gate.offer(now, TicketId(ticket), &terms(priority, time_left));
        assert_eq!(result, GateResult::Wait);
    }
    assert_eq!(run_order(&mut gate, 2_000), [3, 2, 1, 4]);
}

#[test]
fn a_low_priority_request_is_not_starved_by_a_stream_of_high_ones() {
    let mut gate = busy_gate();
    let low = terms(Priority::Low, 30_000);
    assert_eq!(
        gate.offer(millis(2_000), TicketId(1), &low),
        GateResult::Wait
    );
    let mut running = TicketId(0);
    for step in 1..=200 {
        let now = millis(2_000 + step * 20);
        // Two high-priority requests arrive before each release of the slot.
        for ticket in [10 * step, 10 * step + 1] {
            gate.offer(now, TicketId(ticket), &terms(Priority::High, 500));
        }
        let actions = gate.finish(now, running, RunEnd::Answered);
        let next = actions.iter().find_map(|action| match action {
            GateAction::Run(ticket) => Some(*ticket),
            GateAction::Refuse(..) => None,
        });
        match next {
            Some(TicketId(1)) => return,
            Some(ticket) => running = ticket,
            None => panic!("a slot stays free while requests wait"),
        }
    }
    panic!("the low-priority request did not run within 4 s");
}

#[test]
fn an_offer_that_cannot_finish_in_time_is_refused_at_once() {
    let mut gate = busy_gate();
    let GateResult::Refuse(refusal) =
        gate.offer(millis(2_000), TicketId(1), &terms(Priority::High, 30))
    else {
        panic!("20 ms of wait and 20 ms of service don't fit into 30 ms");
    };
    assert_eq!(refusal.reason, RefusalReason::DeadlineTooShort);
    assert!(refusal.retry_after >= Duration::from_millis(100));
}

#[test]
fn a_waiting_request_is_refused_when_its_deadline_is_too_near() {
    let mut gate = busy_gate();
    let waiting = gate.offer(millis(2_000), TicketId(1), &terms(Priority::High, 100));
    assert_eq!(waiting, GateResult::Wait);
    let wake = gate.next_wake().expect("a request waits");
    assert!(wake < millis(2_100));
    let actions = gate.tick(wake);
    assert!(
        matches!(actions[..], [GateAction::Refuse(TicketId(1), refusal)]
            if refusal.reason == RefusalReason::DeadlineTooShort)
    );
    assert_eq!(gate.next_wake(), None);
}

#[test]
fn a_wait_above_the_limit_of_the_entry_is_refused() {
    let mut gate = busy_gate();
    let mut limited_terms = terms(Priority::High, 1_000);
    limited_terms.wait_limit = Duration::from_millis(5);
    let refused = gate.offer(millis(2_000), TicketId(1), &limited_terms);
    assert!(matches!(refused, GateResult::Refuse(refusal)
        if refusal.reason == RefusalReason::QueueFull));
    limited_terms.wait_limit = Duration::from_millis(25);
    let waiting = gate.offer(millis(2_000), TicketId(2), &limited_terms);
    assert_eq!(waiting, GateResult::Wait);
}

#[test]
fn a_drain_refuses_waiting_offers_and_lets_running_requests_finish() {
    let mut gate = busy_gate();
    gate.offer(millis(2_000), TicketId(1), &terms(Priority::High, 1_000));
    let actions = gate.drain(millis(2_001));
    assert!(
        matches!(actions[..], [GateAction::Refuse(TicketId(1), refusal)]
        if refusal.reason == RefusalReason::Draining)
    );
    let late = gate.offer(millis(2_002), TicketId(2), &terms(Priority::High, 1_000));
    assert!(matches!(late, GateResult::Refuse(refusal)
        if refusal.reason == RefusalReason::Draining));
    assert!(!gate.is_idle(), "the running request goes on");
    assert!(gate.report(millis(2_003)).is_draining);
    gate.finish(millis(2_020), TicketId(0), RunEnd::Answered);
    assert!(gate.is_idle());
}

#[test]
fn a_new_target_starts_slowly() {
    let plan = GatePlan::default();
    let gate = TargetGate::new(plan.clone(), MonoTime::ZERO);
    let first = gate.report(MonoTime::ZERO).limit;
    assert!(first >= 1 && first <= plan.slots / 3);
    assert_eq!(
        gate.report(MonoTime::ZERO + plan.ramp_time).limit,
        plan.slots
    );
}

#[test]
fn a_noisy_neighbour_lowers_the_limit_and_its_end_restores_it() {
    let mut gate = warm_gate(10);
    let mut now_us = 0;
    let mut serve = |gate: &mut TargetGate, service_ms: u64, count: u64| {
        for _ in 0..count {
            let ticket = TicketId(now_us);
            gate.offer(
                MonoTime::from_micros(now_us),
                ticket,
                &terms(Priority::High, 1_000),
            );
            now_us += service_ms * 1_000;
            gate.finish(MonoTime::from_micros(now_us), ticket, RunEnd::Answered);
        }
        gate.report(MonoTime::from_micros(now_us)).limit
    };
    assert_eq!(serve(&mut gate, 20, 200), 10);
    assert!(
        serve(&mut gate, 40, 300) <= 8,
        "half speed lowers the limit"
    );
    assert_eq!(serve(&mut gate, 20, 600), 10);
}

#[test]
fn a_failing_target_refuses_offers_that_their_entry_can_place_elsewhere() {
    let mut gate = warm_gate(10);
    let mut limited_terms = terms(Priority::High, 1_000);
    limited_terms.wait_limit = Duration::from_millis(5);
    let mut failed = 0;
    for step in 0..100 {
        let now = millis(step * 10);
        match gate.offer(now, TicketId(step), &limited_terms) {
            GateResult::Run => {
                failed += 1;
                gate.finish(now, TicketId(step), RunEnd::Failed);
            }
            GateResult::Refuse(_) => {}
            GateResult::Wait => panic!("all slots are free"),
        }
    }
    assert!(failed <= 15, "{failed} of 100 requests ran and failed");
    let last = gate.offer(millis(1_001), TicketId(200), &terms(Priority::High, 1_000));
    assert_eq!(last, GateResult::Run, "a last offer has no better place");
}

/// One step of the property test: the kind of event and the delay before it, in milliseconds.
type GateStep = (u8, u8);

#[test]
fn the_limit_holds_and_every_offer_is_resolved_once() {
    /// Runs the steps. Fails when an invariant is broken.
    fn check(steps: Vec<GateStep>, slots: u8) -> TestResult {
        let slots = u32::from(slots % 12) + 1;
        let mut gate = warm_gate(slots);
        let mut running: BTreeMap<u64, MonoTime> = BTreeMap::new();
        let mut waiting: BTreeMap<u64, MonoTime> = BTreeMap::new();
        let mut now = MonoTime::ZERO;
        for (index, (kind, gap)) in steps.into_iter().enumerate() {
            now = now + Duration::from_millis(u64::from(gap));
            let ticket = TicketId(index as u64);
            let oldest = running.keys().next().copied();
            let actions = match (kind % 4, oldest) {
                (0, Some(oldest)) => {
                    running.remove(&oldest);
                    gate.finish(now, TicketId(oldest), RunEnd::Answered)
                }
                (1, _) => gate.tick(now),
                _ => {
                    let offer = terms(Priority::Normal, u64::from(kind) * 4 + 1);
                    match gate.offer(now, ticket, &offer) {
                        GateResult::Run => drop(running.insert(ticket.0, now)),
                        GateResult::Wait => drop(waiting.insert(ticket.0, now)),
                        GateResult::Refuse(_) => {}
                    }
                    Vec::new()
                }
            };
            for action in actions {
                let (GateAction::Run(TicketId(id)) | GateAction::Refuse(TicketId(id), _)) = action;
                if waiting.remove(&id).is_none() {
                    return TestResult::failed();
                }
                if matches!(action, GateAction::Run(_)) {
                    running.insert(id, now);
                }
            }
            let report = gate.report(now);
            let is_consistent = running.len() <= slots as usize
                && report.limit <= slots
                && report.in_flight as usize == running.len()
                && report.queued as usize == waiting.len();
            if !is_consistent {
                return TestResult::failed();
            }
        }
        TestResult::passed()
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(check as fn(Vec<GateStep>, u8) -> TestResult);
}

/// Runs `count` requests of a kind of work, each for `service_ms`.
fn record_kind(gate: &mut TargetGate, kind: u64, service_ms: u64, count: u64) {
    for index in 0..count {
        let ticket = TicketId(50_000 + kind * 1_000 + index);
        let start = millis(index * service_ms);
        let long = RequestTerms {
            work_kind: kind,
            ..terms(Priority::Normal, 60_000)
        };
        assert_eq!(gate.offer(start, ticket, &long), GateResult::Run);
        gate.finish(millis((index + 1) * service_ms), ticket, RunEnd::Answered);
    }
}

#[test]
fn a_short_kind_of_work_is_not_refused_because_of_a_long_one() {
    let mut gate = warm_gate(1);
    record_kind(&mut gate, 1, 640, 20);
    record_kind(&mut gate, 2, 40, 20);
    let call = |kind| RequestTerms {
        work_kind: kind,
        ..terms(Priority::Normal, 150)
    };
    let now = millis(20_000);
    assert_eq!(gate.offer(now, TicketId(1), &call(2)), GateResult::Run);
    gate.finish(millis(20_040), TicketId(1), RunEnd::Answered);
    let long = gate.offer(millis(20_050), TicketId(2), &call(1));
    assert!(matches!(long, GateResult::Refuse(_)), "{long:?}");
}

/// A gate of one slot that is busy from 10 s on with a request of kind 1, which takes 100 ms.
fn busy_gate_with_kind() -> TargetGate {
    let mut gate = warm_gate(1);
    record_kind(&mut gate, 1, 100, 20);
    let first = gate.offer(millis(10_000), TicketId(0), &with_objective(1_000));
    assert_eq!(first, GateResult::Run);
    gate
}

/// An offer of kind 1 with an objective of `objective_ms`.
fn with_objective(objective_ms: u64) -> RequestTerms {
    RequestTerms {
        work_kind: 1,
        objective: Some(Duration::from_millis(objective_ms)),
        ..terms(Priority::Normal, 2_000)
    }
}

#[test]
fn offers_that_can_meet_their_objective_start_before_those_that_cannot() {
    let mut gate = busy_gate_with_kind();
    let late = gate.offer(millis(10_000), TicketId(1), &with_objective(50));
    assert_eq!(late, GateResult::Wait, "nothing else waits");
    let timely = gate.offer(millis(10_010), TicketId(2), &with_objective(500));
    assert_eq!(timely, GateResult::Wait);
    let actions = gate.finish(millis(10_100), TicketId(0), RunEnd::Answered);
    assert_eq!(actions, [GateAction::Run(TicketId(2))]);
    let actions = gate.finish(millis(10_200), TicketId(2), RunEnd::Answered);
    assert_eq!(actions, [GateAction::Run(TicketId(1))]);
}

#[test]
fn late_offers_are_refused_while_others_can_meet_their_objective() {
    let mut gate = busy_gate_with_kind();
    for ticket in [1, 2] {
        let timely = gate.offer(millis(10_000), TicketId(ticket), &with_objective(320));
        assert_eq!(timely, GateResult::Wait);
    }
    for priority in [Priority::High, Priority::Low] {
        let late = RequestTerms {
            priority,
            ..with_objective(90)
        };
        let refused = gate.offer(millis(10_000), TicketId(3), &late);
        assert!(
            matches!(refused, GateResult::Refuse(refusal)
                if refusal.reason == RefusalReason::QueueFull),
            "{refused:?}"
        );
    }
    for ticket in [4, 5] {
        let newer = gate.offer(millis(10_100), TicketId(ticket), &with_objective(700));
        assert_eq!(newer, GateResult::Wait);
    }
    // The run takes longer than expected, so the two that wait longest will be late now.
    let actions = gate.finish(millis(10_250), TicketId(0), RunEnd::Answered);
    assert!(
        matches!(
            actions[..],
            [
                GateAction::Run(TicketId(4)),
                GateAction::Refuse(TicketId(2), _),
                GateAction::Refuse(TicketId(1), _),
            ]
        ),
        "{actions:?}"
    );
}

#[test]
fn the_number_of_waiting_late_offers_is_limited() {
    let mut gate = busy_gate_with_kind();
    let late = with_objective(50);
    let first = gate.offer(millis(10_000), TicketId(1), &late);
    assert_eq!(first, GateResult::Wait);
    let second = gate.offer(millis(10_000), TicketId(2), &late);
    assert!(matches!(second, GateResult::Refuse(_)), "{second:?}");
}

#[test]
fn the_slot_share_limits_running_requests() {
    let mut gate = warm_gate(9);
    gate.set_slot_share(0.8);
    let now = millis(10);
    let long = terms(Priority::Normal, 60_000);
    let results = (0..9).map(|ticket| gate.offer(now, TicketId(ticket), &long));
    let running = results.filter(|result| *result == GateResult::Run).count();
    assert_eq!(running, 7);
}

/// Guards against memory that is reserved for the slots that a backend server states: review/10.
#[test]
fn gate_reserves_no_memory_for_stated_slots() {
    let plan = GatePlan {
        slots: u32::MAX,
        ..GatePlan::default()
    };
    let mut gate = TargetGate::new(plan, MonoTime::ZERO);
    let result = gate.offer(millis(1), TicketId(1), &terms(Priority::Normal, 1_000));
    assert_eq!(result, GateResult::Run);
}
