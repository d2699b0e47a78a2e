//! One gate under a mix of short calls and long uploads whose shares change, in virtual time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fescueway_admission::{GateAction, GatePlan, GateResult, RunEnd, TargetGate, TicketId};
use fescueway_core::{Idempotency, MonoTime, Priority, RequestTerms};

/// One kind of work.
#[derive(Clone, Copy, Debug)]
struct WorkKind {
    id: u64,
    priority: Priority,
    service_us: u64,
    objective: Duration,
    deadline: Duration,
}

const CALL: WorkKind = WorkKind {
    id: 1,
    priority: Priority::Normal,
    service_us: 64_000,
    objective: Duration::from_millis(200),
    deadline: Duration::from_millis(800),
};

const UPLOAD: WorkKind = WorkKind {
    id: 2,
    priority: Priority::Low,
    service_us: 310_000,
    objective: Duration::from_millis(2_500),
    deadline: Duration::from_secs(8),
};

/// A gate and its backend server, whose service times never change.
struct MixedHost {
    gate: TargetGate,
    now_us: u64,
    /// Ends of running requests.
    ends: BTreeSet<(u64, u64)>,
    /// Kind of each offer that waits or runs.
    kinds: BTreeMap<u64, WorkKind>,
    next_ticket: u64,
    /// Calls that were refused.
    refused_calls: u32,
}

impl MixedHost {
    fn new() -> Self {
        let plan = GatePlan {
            slots: 18,
            slot_share: 0.8,
            queue_per_slot: 2.0,
            ramp_time: Duration::ZERO,
            ..GatePlan::default()
        };
        Self {
            gate: TargetGate::new(plan, MonoTime::ZERO),
            now_us: 0,
            ends: BTreeSet::new(),
            kinds: BTreeMap::new(),
            next_ticket: 0,
            refused_calls: 0,
        }
    }

    /// Offers `calls_per_s` calls and `uploads_per_s` uploads a second, evenly spaced.
    fn offer_until(&mut self, end_s: u64, calls_per_s: u64, uploads_per_s: u64) {
        let (from_us, until_us) = (self.now_us, end_s * 1_000_000);
        let arrivals = |kind: WorkKind, per_s: u64| {
            let gap_us = 1_000_000 / per_s;
            (0..(until_us - from_us) / gap_us).map(move |index| (from_us + index * gap_us, kind))
        };
        let mut due: Vec<_> = arrivals(CALL, calls_per_s)
            .chain(arrivals(UPLOAD, uploads_per_s))
            .collect();
        due.sort_by_key(|(time_us, kind)| (*time_us, kind.id));
        for (time_us, kind) in due {
            self.advance(time_us);
            self.offer(kind);
        }
        self.advance(until_us);
    }

    /// Ends the runs that are due by `time_us`.
    fn advance(&mut self, time_us: u64) {
        while let Some(&(end_us, ticket)) = self.ends.first()
            && end_us <= time_us
        {
            self.ends.pop_first();
            self.now_us = end_us;
            self.kinds.remove(&ticket);
            let now = MonoTime::from_micros(end_us);
            let actions = self.gate.finish(now, TicketId(ticket), RunEnd::Answered);
            self.execute(actions);
        }
        self.now_us = time_us;
        let actions = self.gate.tick(MonoTime::from_micros(time_us));
        self.execute(actions);
    }

    fn offer(&mut self, kind: WorkKind) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let terms = RequestTerms {
            idempotency: Idempotency::Idempotent,
            priority: kind.priority,
            objective: Some(kind.objective),
            work_kind: kind.id,
            ..RequestTerms::new("records".into(), kind.deadline)
        };
        self.kinds.insert(ticket, kind);
        let now = MonoTime::from_micros(self.now_us);
        match self.gate.offer(now, TicketId(ticket), &terms) {
            GateResult::Run => self.start(ticket),
            GateResult::Wait => {}
            GateResult::Refuse(_) => self.refuse(ticket),
        }
    }

    fn execute(&mut self, actions: Vec<GateAction>) {
        for action in actions {
            match action {
                GateAction::Run(TicketId(ticket)) => self.start(ticket),
                GateAction::Refuse(TicketId(ticket), _) => self.refuse(ticket),
            }
        }
    }

    fn start(&mut self, ticket: u64) {
        self.ends
            .insert((self.now_us + self.kinds[&ticket].service_us, ticket));
    }

    fn refuse(&mut self, ticket: u64) {
        let kind = self.kinds.remove(&ticket);
        self.refused_calls += u32::from(kind.is_some_and(|kind| kind.id == CALL.id));
    }
}

/// Guards against a limit that stays low after a burst of long requests: they raise the mean service
/// time, which is no slowdown of the backend server. With a limit of 4 the usual load of 5.4 slots no
/// longer fits, and the calls that are refused keep the mean high.
#[test]
fn burst_of_long_requests_does_not_lower_the_limit() {
    let mut host = MixedHost::new();
    host.offer_until(20, 60, 5);
    assert_eq!(host.refused_calls, 0);
    host.offer_until(25, 100, 40);
    host.offer_until(27, 60, 5);
    host.refused_calls = 0;
    host.offer_until(40, 60, 5);
    let report = host.gate.report(MonoTime::from_micros(host.now_us));
    assert_eq!(report.limit, 14);
    assert_eq!(host.refused_calls, 0, "of {} calls", 13 * 60);
}
