//! One gate before a backend server whose VM has neighbours, in virtual time.

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

/// Work of a request at the usual pace, in microseconds: from two thirds to four thirds of this.
const WORK_US: u64 = 90_000;

/// Objective of a request.
const OBJECTIVE: Duration = Duration::from_millis(300);

/// Time that a caller waits.
const DEADLINE: Duration = Duration::from_millis(1_200);

/// How often neighbours come or go.
const NOISE_US: u64 = 150_000;

/// Share of the time in which they disturb.
const NOISE_SHARE: f64 = 0.25;

/// How long work takes meanwhile, as a multiple of the usual time.
const NOISE_PACE: u64 = 5;

/// Time from a question for the pace of work to its answer, in microseconds.
const ASK_US: u64 = 1_000;

/// Length of a run, in microseconds.
const LENGTH_US: u64 = 60_000_000;

/// What happens next.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum HostEvent {
    /// Neighbours come or go.
    Noise,
    /// The backend server answers a question for its pace.
    Told,
    /// A request comes.
    Arrival,
    /// A run ends.
    End(u64),
    /// The gate's own timer.
    Wake,
}

/// What became of the requests.
#[derive(Clone, Copy, Debug, Default)]
struct HostTally {
    /// Requests that came.
    asked: u64,
    /// Answered within the objective.
    in_time: u64,
    /// Answered later.
    late: u64,
    /// Refused.
    refused: u64,
}

/// A gate, its backend server and the requests that come, in virtual time.
struct NoisyHost {
    gate: TargetGate,
    random: Pcg64Mcg,
    now_us: u64,
    pace: u64,
    events: BTreeSet<(u64, HostEvent)>,
    /// When each request came that runs or waits.
    arrived_us: BTreeMap<u64, u64>,
    is_asked: bool,
    tally: HostTally,
}

impl NoisyHost {
    /// Runs requests of `load` times what the slots do undisturbed.
    fn run(seed: u64, load: f64) -> HostTally {
        let plan = GatePlan {
            slots: SLOTS,
            queue_per_slot: 2.0,
            ramp_time: Duration::ZERO,
            ..GatePlan::default()
        };
        let mut host = Self {
            gate: TargetGate::new(plan, MonoTime::ZERO),
            random: Pcg64Mcg::seed_from_u64(seed),
            now_us: 0,
            pace: 1,
            events: BTreeSet::from([
                (0, HostEvent::Noise),
                (0, HostEvent::Told),
                (1, HostEvent::Arrival),
            ]),
            arrived_us: BTreeMap::new(),
            is_asked: false,
            tally: HostTally::default(),
        };
        let gap_us = WORK_US as f64 / (f64::from(SLOTS) * load);
        while let Some((time_us, event)) = host.events.pop_first()
            && time_us < LENGTH_US
        {
            host.now_us = time_us;
            host.handle(event, gap_us);
            if let Some(wake) = host.gate.next_wake() {
                let wake_us = wake.as_micros().max(time_us + 1);
                host.events.insert((wake_us, HostEvent::Wake));
            }
            host.ask();
        }
        host.tally
    }

    /// Asks for the pace when the gate wants it.
    fn ask(&mut self) {
        let due = self.gate.next_question(self.now());
        if let Some(due) = due.filter(|_| !self.is_asked) {
            self.is_asked = true;
            let told_us = due.as_micros().max(self.now_us) + ASK_US;
            self.events.insert((told_us, HostEvent::Told));
        }
    }

    fn handle(&mut self, event: HostEvent, gap_us: f64) {
        let now = self.now();
        let actions = match event {
            HostEvent::Noise => {
                let is_disturbed = self.uniform() < NOISE_SHARE;
                self.pace = if is_disturbed { NOISE_PACE } else { 1 };
                self.later(NOISE_US, HostEvent::Noise);
                Vec::new()
            }
            HostEvent::Told => {
                self.is_asked = false;
                self.tell_pace()
            }
            HostEvent::Arrival => {
                let wait_us = -gap_us * (1.0 - self.uniform()).ln();
                self.later(wait_us as u64 + 1, HostEvent::Arrival);
                self.arrive();
                Vec::new()
            }
            HostEvent::End(ticket) => {
                let took_us = self.now_us - self.arrived_us[&ticket];
                if took_us <= OBJECTIVE.as_micros() as u64 {
                    self.tally.in_time += 1;
                } else {
                    self.tally.late += 1;
                }
                let mut actions = self.tell_pace();
                actions.extend(self.gate.finish(now, TicketId(ticket), RunEnd::Answered));
                actions
            }
            HostEvent::Wake => self.gate.tick(now),
        };
        for action in actions {
            match action {
                GateAction::Run(ticket) => self.start(ticket.0),
                GateAction::Refuse(..) => self.tally.refused += 1,
            }
        }
    }

    fn arrive(&mut self) {
        self.tally.asked += 1;
        let ticket = self.tally.asked;
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

    /// Work that begins now takes as long as the pace of this moment says, to its end.
    fn start(&mut self, ticket: u64) {
        let work_us = WORK_US as f64 * (2.0 / 3.0 + self.uniform() * 2.0 / 3.0);
        self.later(work_us as u64 * self.pace, HostEvent::End(ticket));
    }

    fn tell_pace(&mut self) -> Vec<GateAction> {
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

    fn later(&mut self, wait_us: u64, event: HostEvent) {
        self.events.insert((self.now_us + wait_us, event));
    }

    fn uniform(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }
}

/// The tallies of three seeds together.
fn tally_seeds(load: f64) -> HostTally {
    let tallies = [1, 2, 3].map(|seed| NoisyHost::run(seed, load));
    tallies
        .into_iter()
        .fold(HostTally::default(), |sum, tally| HostTally {
            asked: sum.asked + tally.asked,
            in_time: sum.in_time + tally.in_time,
            late: sum.late + tally.late,
            refused: sum.refused + tally.refused,
        })
}

#[test]
fn work_waits_for_the_end_of_a_disturbance() {
    // At the lowest load answers hardly tell the pace: it has to be asked for.
    for load in [0.05, 0.4, 0.6, 0.75] {
        let tally = tally_seeds(load);
        let late_share = tally.late as f64 / (tally.in_time + tally.late) as f64;
        assert!(late_share < 0.02, "load {load}: {tally:?}");
    }
}

#[test]
fn disturbances_cost_no_more_slot_time_than_they_last() {
    let tally = tally_seeds(1.0);
    let possible = (1.0 - NOISE_SHARE) * tally.asked as f64;
    assert!(tally.in_time as f64 >= 0.9 * possible, "{tally:?}");
}

#[test]
fn under_overload_what_begins_is_in_time() {
    for load in [1.2, 1.5, 2.0] {
        let tally = tally_seeds(load);
        let possible = (1.0 - NOISE_SHARE) / load * tally.asked as f64;
        assert!(tally.in_time as f64 >= 0.9 * possible, "{load}: {tally:?}");
        let late_share = tally.late as f64 / (tally.in_time + tally.late) as f64;
        assert!(late_share < 0.05, "{load}: {tally:?}");
    }
}
