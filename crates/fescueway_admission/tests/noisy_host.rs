//! Simulates one gate and a backend server that is disturbed by neighbouring VMs, in virtual time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fescueway_admission::{GateAction, GatePlan, GateResult, RunEnd, TargetGate, TicketId};
use fescueway_core::{MonoTime, Priority, RequestTerms, ServerLoad};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Slots of the backend server.
const SLOTS: u32 = 9;

/// Mean service time of a request at normal pace, in microseconds. Service times range from two
/// thirds to four thirds of this.
const MEAN_WORK_US: u64 = 90_000;

/// Latency objective of a request.
const OBJECTIVE: Duration = Duration::from_millis(300);

/// Deadline of a request.
const DEADLINE: Duration = Duration::from_millis(1_200);

/// Interval at which the load of neighbouring VMs may change, in microseconds.
const DISTURBANCE_INTERVAL_US: u64 = 150_000;

/// Share of the time during which neighbouring VMs disturb the backend server.
const DISTURBANCE_SHARE: f64 = 0.25;

/// Pace during a disturbance: the duration of work as a multiple of its normal duration.
const DISTURBED_PACE: u64 = 5;

/// Time from a load query to the report of the pace, in microseconds.
const QUERY_US: u64 = 1_000;

/// Length of a simulation, in microseconds.
const RUN_US: u64 = 60_000_000;

/// Event of the simulation.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SimEvent {
    /// The load of neighbouring VMs may change.
    LoadChange,
    /// The backend server answers a load query with its pace.
    PaceReport,
    /// A request arrives.
    Arrival,
    /// A running request ends.
    End(u64),
    /// The timer of the gate expires.
    Wake,
}

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default)]
struct RequestTally {
    /// Requests that arrived.
    arrived: u64,
    /// Answered within the objective.
    in_time: u64,
    /// Answered after the objective.
    late: u64,
    /// Refused.
    refused: u64,
}

/// Simulation of a gate, its backend server and arriving requests, in virtual time.
struct NoisyHost {
    gate: TargetGate,
    rng: Pcg64Mcg,
    now_us: u64,
    pace: u64,
    events: BTreeSet<(u64, SimEvent)>,
    /// Arrival time of each request, by ticket.
    arrived_us: BTreeMap<u64, u64>,
    is_query_pending: bool,
    tally: RequestTally,
}

impl NoisyHost {
    /// Runs the simulation with a load of `load` times the undisturbed capacity of the slots.
    fn run(seed: u64, load: f64) -> RequestTally {
        let plan = GatePlan {
            slots: SLOTS,
            queue_per_slot: 2.0,
            ramp_time: Duration::ZERO,
            ..GatePlan::default()
        };
        let mut host = Self {
            gate: TargetGate::new(plan, MonoTime::ZERO),
            rng: Pcg64Mcg::seed_from_u64(seed),
            now_us: 0,
            pace: 1,
            events: BTreeSet::from([
                (0, SimEvent::LoadChange),
                (0, SimEvent::PaceReport),
                (1, SimEvent::Arrival),
            ]),
            arrived_us: BTreeMap::new(),
            is_query_pending: false,
            tally: RequestTally::default(),
        };
        let mean_gap_us = MEAN_WORK_US as f64 / (f64::from(SLOTS) * load);
        while let Some((time_us, event)) = host.events.pop_first()
            && time_us < RUN_US
        {
            host.now_us = time_us;
            host.handle(event, mean_gap_us);
            if let Some(wake) = host.gate.next_wake() {
                let wake_us = wake.as_micros().max(time_us + 1);
                host.events.insert((wake_us, SimEvent::Wake));
            }
            host.query_pace();
        }
        host.tally
    }

    /// Schedules a load query if the gate needs one and none is pending.
    fn query_pace(&mut self) {
        let due = self.gate.next_load_query(self.now());
        if let Some(due) = due.filter(|_| !self.is_query_pending) {
            self.is_query_pending = true;
            let report_us = due.as_micros().max(self.now_us) + QUERY_US;
            self.events.insert((report_us, SimEvent::PaceReport));
        }
    }

    fn handle(&mut self, event: SimEvent, mean_gap_us: f64) {
        let now = self.now();
        let actions = match event {
            SimEvent::LoadChange => {
                let is_disturbed = self.uniform() < DISTURBANCE_SHARE;
                self.pace = if is_disturbed { DISTURBED_PACE } else { 1 };
                self.schedule(DISTURBANCE_INTERVAL_US, SimEvent::LoadChange);
                Vec::new()
            }
            SimEvent::PaceReport => {
                self.is_query_pending = false;
                self.report_pace()
            }
            SimEvent::Arrival => {
                let wait_us = -mean_gap_us * (1.0 - self.uniform()).ln();
                self.schedule(wait_us as u64 + 1, SimEvent::Arrival);
                self.arrive();
                Vec::new()
            }
            SimEvent::End(ticket) => {
                let took_us = self.now_us - self.arrived_us[&ticket];
                if took_us <= OBJECTIVE.as_micros() as u64 {
                    self.tally.in_time += 1;
                } else {
                    self.tally.late += 1;
                }
                let mut actions = self.report_pace();
                actions.extend(self.gate.finish(now, TicketId(ticket), RunEnd::Answered));
                actions
            }
            SimEvent::Wake => self.gate.tick(now),
        };
        for action in actions {
            match action {
                GateAction::Run(ticket) => self.start(ticket.0),
                GateAction::Refuse(..) => self.tally.refused += 1,
            }
        }
    }

    fn arrive(&mut self) {
        self.tally.arrived += 1;
        let ticket = self.tally.arrived;
        let terms = RequestTerms {
            objective: Some(OBJECTIVE),
            priority: Priority::Low,
            work_kind: 1,
            ..RequestTerms::new("casts".into(), DEADLINE)
        };
        self.arrived_us.insert(ticket, self.now_us);
        match self.gate.offer(self.now(), TicketId(ticket), &terms) {
            GateResult::Run => self.start(ticket),
            GateResult::Wait => {}
            GateResult::Refuse(_) => self.tally.refused += 1,
        }
    }

    /// Starts a request. Its whole service time is scaled by the pace at its start.
    fn start(&mut self, ticket: u64) {
        let work_us = MEAN_WORK_US as f64 * (2.0 / 3.0 + self.uniform() * 2.0 / 3.0);
        self.schedule(work_us as u64 * self.pace, SimEvent::End(ticket));
    }

    fn report_pace(&mut self) -> Vec<GateAction> {
        let load = ServerLoad {
            running: 0,
            waiting: 0,
            slots: SLOTS,
            work_permille: Some(self.pace as u32 * 1_000),
        };
        self.gate.learn_load(self.now(), &load)
    }

    fn now(&self) -> MonoTime {
        MonoTime::from_micros(self.now_us)
    }

    fn schedule(&mut self, wait_us: u64, event: SimEvent) {
        self.events.insert((self.now_us + wait_us, event));
    }

    fn uniform(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }
}

/// Sum of the tallies of three seeds.
fn total_tally(load: f64) -> RequestTally {
    let tallies = [1, 2, 3].map(|seed| NoisyHost::run(seed, load));
    tallies
        .into_iter()
        .fold(RequestTally::default(), |sum, tally| RequestTally {
            arrived: sum.arrived + tally.arrived,
            in_time: sum.in_time + tally.in_time,
            late: sum.late + tally.late,
            refused: sum.refused + tally.refused,
        })
}

#[test]
fn requests_wait_for_the_end_of_a_disturbance() {
    // At the lowest load, answers rarely report the pace, so it has to be queried.
    for load in [0.05, 0.4, 0.6, 0.75] {
        let tally = total_tally(load);
        let late_share = tally.late as f64 / (tally.in_time + tally.late) as f64;
        assert!(late_share < 0.02, "load {load}: {tally:?}");
    }
}

#[test]
fn disturbances_cost_at_most_a_tenth_of_the_undisturbed_capacity() {
    let tally = total_tally(1.0);
    let feasible = (1.0 - DISTURBANCE_SHARE) * tally.arrived as f64;
    assert!(tally.in_time as f64 >= 0.9 * feasible, "{tally:?}");
}

#[test]
fn requests_that_start_under_overload_meet_the_objective() {
    for load in [1.2, 1.5, 2.0] {
        let tally = total_tally(load);
        let feasible = (1.0 - DISTURBANCE_SHARE) / load * tally.arrived as f64;
        assert!(tally.in_time as f64 >= 0.9 * feasible, "{load}: {tally:?}");
        let late_share = tally.late as f64 / (tally.in_time + tally.late) as f64;
        assert!(late_share < 0.05, "{load}: {tally:?}");
    }
}
