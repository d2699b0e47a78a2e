//! A cold backend server gets no more requests than its warm-up rate allows.

use std::{collections::BTreeSet, time::Duration};

use fescueway_admission::{
    GateAction, GatePlan, GateResult, RunEnd, TargetGate, TicketId, WarmupPace,
};
use fescueway_core::{
    MonoTime, RateLimit, RefusalReason, RequestTerms, ServerLoad, ServerStart, StatementSource,
};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Warm-up rate of the users' targets, in requests a second.
const RATE_PER_S: f64 = 15.0;

/// Most requests that a cold target may get in any second: 1.5 times the rate plus 8.
const MOST_IN_A_SECOND: usize = 30;

/// How long a target is cold after its start.
const WARMUP: Duration = Duration::from_secs(3);

/// Time that each request runs.
const SERVICE_TIME: Duration = Duration::from_millis(64);

/// Time from a query to its answer; the target states what holds in the middle.
const QUERY_TIME: Duration = Duration::from_millis(6);

/// Span in which requests are counted.
const SECOND: Duration = Duration::from_secs(1);

/// Offered load, in requests a second.
const OFFERED_PER_S: u32 = 60;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(millis: u64) -> MonoTime {
    MonoTime::ZERO + ms(millis)
}

fn pace() -> WarmupPace {
    WarmupPace {
        rate: RateLimit::try_from(RATE_PER_S).expect("a valid rate"),
        duration: WARMUP,
    }
}

fn new_gate(now: MonoTime) -> TargetGate {
    let plan = GatePlan {
        slots: 18,
        ramp_time: Duration::ZERO,
        warmup: Some(pace()),
        ..GatePlan::default()
    };
    let mut gate = TargetGate::new(plan, now);
    gate.set_server(ServerStart {
        name_digest: 7,
        born_ms: 1_000,
    });
    gate
}

/// Replays offers at a gate whose target states its cold time in the answers to queries.
struct ColdReplay {
    gate: TargetGate,
    now: MonoTime,
    /// Spans in which the target is cold.
    cold_spans: Vec<(MonoTime, MonoTime)>,
    /// Whether queries are answered.
    is_answering: bool,
    /// Whether the answers report the pace of work, for which starts wait too.
    has_pace: bool,
    /// When the query in flight was sent.
    asked_at: Option<MonoTime>,
    next_ticket: u64,
    running: BTreeSet<(MonoTime, u64)>,
    starts: Vec<MonoTime>,
    refusals: Vec<RefusalReason>,
    queries: usize,
}

impl ColdReplay {
    fn new(cold_spans: &[(u64, u64)]) -> Self {
        let spans = cold_spans.iter();
        Self {
            gate: new_gate(MonoTime::ZERO),
            now: MonoTime::ZERO,
            cold_spans: spans.map(|(from, to)| (at(*from), at(*to))).collect(),
            is_answering: true,
            has_pace: true,
            asked_at: None,
            next_ticket: 0,
            running: BTreeSet::new(),
            starts: Vec::new(),
            refusals: Vec::new(),
            queries: 0,
        }
    }

    /// Another process of the node takes over. What waits or runs is lost with the old one.
    fn restart_host(&mut self) {
        self.gate = new_gate(self.now);
        self.running.clear();
        self.asked_at = None;
    }

    /// Time for which the target stays cold at `time`.
    fn cold_left(&self, time: MonoTime) -> Duration {
        let mut spans = self.cold_spans.iter();
        let span = spans.find(|(from, to)| *from <= time && time < *to);
        span.map_or(Duration::ZERO, |(_, to)| to.since(time))
    }

    /// Offers requests evenly spaced until `end`.
    fn offer_until(&mut self, end: MonoTime, per_s: u32) {
        let gap = SECOND / per_s;
        while self.now < end {
            self.offer_one();
            self.advance(self.now + gap);
        }
    }

    fn offer_one(&mut self) {
        self.next_ticket += 1;
        let ticket = TicketId(self.next_ticket);
        let terms = RequestTerms::new("records".into(), ms(800));
        match self.gate.offer(self.now, ticket, &terms) {
            GateResult::Run => self.start(ticket),
            GateResult::Wait => {}
            GateResult::Refuse(refusal) => self.refusals.push(refusal.reason),
        }
    }

    /// Advances the time in steps of a millisecond.
    fn advance(&mut self, end: MonoTime) {
        while self.now < end {
            self.now = (self.now + ms(1)).min(end);
            self.answer_query();
            let is_due = self.gate.next_load_query(self.now);
            if self.asked_at.is_none() && is_due.is_some_and(|due| due <= self.now) {
                self.gate.begin_load_query(self.now);
                self.asked_at = Some(self.now);
                self.queries += 1;
            }
            while let Some((ended, ticket)) = self.running.first().copied()
                && ended <= self.now
            {
                self.running.pop_first();
                let actions = self
                    .gate
                    .finish(self.now, TicketId(ticket), RunEnd::Answered);
                self.apply(actions);
            }
            let actions = self.gate.tick(self.now);
            self.apply(actions);
        }
    }

    fn answer_query(&mut self) {
        let Some(asked_at) = self.asked_at else {
            return;
        };
        if self.now < asked_at + QUERY_TIME {
            return;
        }
        self.asked_at = None;
        if !self.is_answering {
            return;
        }
        let left = self.cold_left(asked_at + QUERY_TIME / 2);
        let source = StatementSource::Query;
        let actions = self
            .gate
            .learn_warmup(self.now, asked_at, source, Some(left));
        self.apply(actions);
        let load = ServerLoad {
            running: self.running.len() as u32,
            waiting: 0,
            slots: 18,
            work_permille: self.has_pace.then_some(1_000),
        };
        let actions = self.gate.learn_load(self.now, &load);
        self.apply(actions);
    }

    fn apply(&mut self, actions: Vec<GateAction>) {
        for action in actions {
            match action {
                GateAction::Run(ticket) => self.start(ticket),
                GateAction::Refuse(_, refusal) => self.refusals.push(refusal.reason),
            }
        }
    }

    fn start(&mut self, ticket: TicketId) {
        self.starts.push(self.now);
        self.running.insert((self.now + SERVICE_TIME, ticket.0));
    }

    /// Most starts in any second, of those while the target is cold.
    fn most_cold_starts(&self) -> usize {
        let starts = self.starts.iter();
        let cold: Vec<_> = starts
            .filter(|start| !self.cold_left(**start).is_zero())
            .collect();
        let count_from = |index: usize| {
            let first: MonoTime = *cold[index];
            let rest = cold[index..].iter();
            rest.take_while(|start| start.since(first) < SECOND).count()
        };
        (0..cold.len()).map(count_from).max().unwrap_or_default()
    }

    fn starts_between(&self, from: MonoTime, to: MonoTime) -> usize {
        let starts = self.starts.iter();
        starts
            .filter(|start| **start >= from && **start < to)
            .count()
    }

    fn assert_bound(&self) {
        let most = self.most_cold_starts();
        println!("most starts in a second: {most}");
        assert!(most <= MOST_IN_A_SECOND, "{most} starts in a second");
    }
}

/// The users' load: a target that takes 60 requests a second when it is warm.
#[test]
fn cold_target_gets_no_more_than_its_rate_at_its_start() {
    let mut replay = ColdReplay::new(&[(0, 3_000)]);
    replay.offer_until(at(8_000), OFFERED_PER_S);
    replay.assert_bound();
    let cold = replay.starts_between(at(0), at(3_000));
    assert!((40..=50).contains(&cold), "{cold} starts in 3 s at 15/s");
    let warm = replay.starts_between(at(5_000), at(8_000));
    assert!(warm >= 175, "{warm} starts in 3 s after the cold time");
    let refused = replay.refusals.iter();
    let refused = refused.filter(|reason| **reason == RefusalReason::TargetCold);
    let counts = replay.gate.counts();
    assert_eq!(counts.cold_limited, refused.count() as u64);
    assert!(counts.cold_limited > 60, "{counts:?}");
    assert_eq!(counts.rate_limited, 0);
}

/// Guards against a pace that is only set by an announcement: targets become cold at any time.
#[test]
fn target_that_becomes_cold_in_mid_traffic_is_paced_at_once() {
    let mut replay = ColdReplay::new(&[(4_013, 7_013), (7_400, 10_400), (10_900, 13_900)]);
    replay.offer_until(at(18_000), OFFERED_PER_S);
    replay.assert_bound();
    let warm = replay.starts_between(at(1_000), at(4_000));
    assert!(warm >= 175, "{warm} starts in 3 s while warm");
    let warm = replay.starts_between(at(15_000), at(18_000));
    assert!(warm >= 175, "{warm} starts in 3 s after the cold times");
}

/// A warm target serves more than the unconfirmed starts of one query interval.
#[test]
fn warm_target_is_not_slowed_down_by_the_checks() {
    for has_pace in [true, false] {
        let mut replay = ColdReplay::new(&[]);
        replay.has_pace = has_pace;
        replay.offer_until(at(5_000), 180);
        let warm = replay.starts_between(at(1_000), at(5_000));
        println!("{warm} starts, {} queries", replay.queries);
        assert!(warm >= 710, "{warm} starts in 4 s at 180/s");
        // Those for the pace of work included.
        assert!(replay.queries <= 500, "{} queries in 5 s", replay.queries);
    }
}

/// Guards against a burst at an idle target that became cold since it was last asked.
#[test]
fn idle_target_that_became_cold_gets_few_requests_before_the_host_knows() {
    let mut replay = ColdReplay::new(&[(30_000, 33_000)]);
    replay.offer_until(at(2_000), OFFERED_PER_S);
    replay.advance(at(30_500));
    for _ in 0..18 {
        replay.offer_one();
    }
    replay.offer_until(at(34_000), OFFERED_PER_S);
    replay.assert_bound();
}

/// A new process knows nothing of the starts of its predecessor.
#[test]
fn restarted_host_does_not_exceed_the_rate_beside_a_cold_target() {
    for restart in [150, 700, 1_300, 2_950] {
        let mut replay = ColdReplay::new(&[(2_000, 5_000)]);
        replay.offer_until(at(2_000 + restart), OFFERED_PER_S);
        replay.restart_host();
        replay.offer_until(at(2_400 + restart), OFFERED_PER_S);
        replay.restart_host();
        replay.offer_until(at(8_000), OFFERED_PER_S);
        replay.assert_bound();
    }
}

/// It paces until the first answer, and not longer.
#[test]
fn restarted_host_beside_a_warm_target_paces_only_until_it_knows() {
    let mut replay = ColdReplay::new(&[]);
    replay.is_answering = false;
    replay.offer_until(at(1_000), OFFERED_PER_S);
    let unknown = replay.starts.len();
    assert!(unknown <= 19, "{unknown} starts before an answer");
    replay.is_answering = true;
    replay.offer_until(at(4_000), OFFERED_PER_S);
    let warm = replay.starts_between(at(1_200), at(4_000));
    assert!(warm >= 160, "{warm} starts in 2.8 s");
}

/// Heartbeats may be seconds old; the answer to a query is not.
#[test]
fn old_heartbeat_does_not_make_a_cold_target_warm() {
    let mut gate = new_gate(at(0));
    let query = StatementSource::Query;
    gate.learn_warmup(at(10), at(5), query, Some(ms(3_000)));
    gate.learn_cold_report(at(20), Duration::ZERO);
    assert_eq!(gate.cold_left(at(20)), ms(2_990));
    gate.learn_cold_report(at(30), ms(400));
    assert_eq!(gate.cold_left(at(30)), ms(2_980));
    // Nor does an answer that was asked for before.
    gate.learn_warmup(at(40), at(9), query, Some(Duration::ZERO));
    assert_eq!(gate.cold_left(at(40)), ms(2_970));
    gate.learn_warmup(at(60), at(50), query, Some(Duration::ZERO));
    assert_eq!(gate.cold_left(at(60)), Duration::ZERO);
    // A longer time counts at once, wherever it is stated.
    gate.learn_cold_report(at(70), ms(2_000));
    assert_eq!(gate.cold_left(at(70)), ms(2_000));
    let request = StatementSource::Request;
    gate.learn_warmup(at(80), at(15), request, Some(ms(2_500)));
    assert_eq!(gate.cold_left(at(80)), ms(2_500));
}

/// Without a statement a new start counts as cold for the configured time.
#[test]
fn target_without_statements_is_paced_for_the_configured_time() {
    let mut gate = new_gate(at(0));
    gate.learn_warmup(at(10), at(5), StatementSource::Query, None);
    assert_eq!(gate.cold_left(at(10)), ms(2_990));
    let mut gate = new_gate(at(0));
    gate.set_cold_left(at(0), Duration::ZERO);
    assert_eq!(gate.cold_left(at(0)), Duration::ZERO);
}

/// An announcement may be old, as heartbeats are: the host of a restarted node asks first.
#[test]
fn announced_warm_target_is_paced_until_it_confirms_that() {
    let mut replay = ColdReplay::new(&[(0, 3_000)]);
    replay.gate.set_cold_left(at(0), Duration::ZERO);
    replay.is_answering = false;
    replay.offer_until(at(400), 180);
    replay.assert_bound();
    let unknown = replay.starts.len();
    assert!(unknown <= 10, "{unknown} starts in 400 ms");
    replay.is_answering = true;
    replay.offer_until(at(3_000), 180);
    replay.assert_bound();
}

/// A gate is replaced when the same start announces other slots.
#[test]
fn gate_that_replaces_another_keeps_what_the_target_stated() {
    let mut replay = ColdReplay::new(&[(2_000, 5_000)]);
    replay.offer_until(at(1_500), OFFERED_PER_S);
    let mut warm = new_gate(replay.now);
    warm.inherit(replay.now, &replay.gate);
    assert_eq!(warm.cold_left(replay.now), Duration::ZERO);
    let terms = RequestTerms::new("records".into(), ms(800));
    let result = warm.offer(replay.now, TicketId(1), &terms);
    assert_eq!(result, GateResult::Run);
    replay.offer_until(at(2_500), OFFERED_PER_S);
    let mut cold = new_gate(replay.now);
    cold.inherit(replay.now, &replay.gate);
    replay.gate = cold;
    replay.running.clear();
    assert!(replay.gate.cold_left(replay.now) < ms(2_510));
    replay.offer_until(at(8_000), OFFERED_PER_S);
    replay.assert_bound();
    // Another start of it is asked first.
    let mut successor = new_gate(replay.now);
    successor.set_server(ServerStart {
        name_digest: 7,
        born_ms: 9_000,
    });
    successor.inherit(replay.now, &replay.gate);
    assert_eq!(successor.cold_left(replay.now), WARMUP);
}

#[test]
fn lower_of_a_stated_limit_and_the_warmup_rate_holds() {
    for (stated, most_cold, most_warm) in [(4.0, 6, 6), (40.0, MOST_IN_A_SECOND, 51)] {
        let mut replay = ColdReplay::new(&[(0, 3_000)]);
        let limit = RateLimit::try_from(stated).expect("a valid limit");
        let source = StatementSource::Query;
        replay.gate.learn_limit(replay.now, source, Some(limit));
        replay.offer_until(at(7_000), OFFERED_PER_S);
        let most = replay.most_cold_starts();
        assert!(most <= most_cold, "{most} starts in a second, cold");
        let warm = replay.starts_between(at(5_500), at(6_500));
        assert!(warm <= most_warm, "{warm} starts in a second, warm");
        assert!(warm as f64 >= stated * 0.8, "{warm} starts, warm");
    }
}

/// Guards against full traffic to a target that was restarted under its old name.
#[test]
fn lost_connection_is_followed_by_a_question() {
    let mut replay = ColdReplay::new(&[]);
    replay.offer_until(at(1_000), OFFERED_PER_S);
    replay.advance(at(2_000));
    assert_eq!(replay.gate.next_load_query(at(2_000)), None);
    replay.offer_one();
    replay.advance(at(2_050));
    let (_, ticket) = replay.running.pop_first().expect("a running request");
    let now = replay.now;
    let actions = replay.gate.finish(now, TicketId(ticket), RunEnd::Lost);
    assert!(actions.is_empty());
    let due = replay.gate.next_load_query(now).expect("a query");
    assert!(due <= now + ms(50), "{due:?}");
    // Until it is answered, starts are paced.
    replay.is_answering = false;
    let before = replay.starts.len();
    replay.offer_until(now + SECOND, OFFERED_PER_S);
    let doubted = replay.starts.len() - before;
    assert!(doubted <= 19, "{doubted} starts before an answer");
}

/// The entries learn the pause from load reports and send the excess elsewhere.
#[test]
fn load_report_of_a_cold_target_asks_entries_to_pause() {
    let mut replay = ColdReplay::new(&[(1_000, 4_000)]);
    replay.offer_until(at(900), OFFERED_PER_S);
    assert_eq!(replay.gate.report(replay.now).offer_pause_us, 0);
    replay.offer_until(at(2_000), OFFERED_PER_S);
    assert!(replay.gate.report(replay.now).offer_pause_us > 0);
    replay.offer_until(at(7_000), OFFERED_PER_S);
    assert_eq!(replay.gate.report(replay.now).offer_pause_us, 0);
}

/// Nothing changes for services without a warm-up rate.
#[test]
fn gate_without_a_warmup_rate_ignores_cold_times() {
    let plan = GatePlan {
        ramp_time: Duration::ZERO,
        ..GatePlan::default()
    };
    let mut gate = TargetGate::new(plan, at(0));
    gate.learn_warmup(at(1), at(0), StatementSource::Query, Some(WARMUP));
    gate.learn_cold_report(at(1), WARMUP);
    assert_eq!(gate.cold_left(at(1)), Duration::ZERO);
    assert_eq!(gate.next_load_query(at(1)), None);
    let terms = RequestTerms::new("records".into(), ms(800));
    for ticket in 0..10 {
        let result = gate.offer(at(2), TicketId(ticket), &terms);
        assert_eq!(result, GateResult::Run);
    }
}

#[test]
fn evacuated_gate_refuses_waiting_and_new_offers_and_lets_running_ones_finish() {
    let mut replay = ColdReplay::new(&[]);
    replay.offer_until(at(500), OFFERED_PER_S);
    for _ in 0..22 {
        replay.offer_one();
    }
    let report = replay.gate.report(replay.now);
    assert!(report.in_flight > 0 && report.queued > 0, "{report:?}");
    replay.refusals.clear();
    let before = replay.starts.len();
    let now = replay.now;
    let actions = replay.gate.set_evacuated(now, true);
    assert_eq!(actions.len(), report.queued as usize);
    replay.apply(actions);
    replay.offer_until(at(1_500), OFFERED_PER_S);
    assert_eq!(replay.starts.len(), before);
    assert!(replay.gate.is_idle());
    let evacuated = RefusalReason::DomainEvacuated;
    assert!(replay.refusals.iter().all(|reason| *reason == evacuated));
    assert!(replay.refusals.len() >= 60);
    assert!(!replay.gate.report(replay.now).is_draining);
}

/// A target may have become cold while nothing was sent to it.
#[test]
fn end_of_an_evacuation_lets_a_cold_target_return_at_its_pace() {
    let mut replay = ColdReplay::new(&[(1_800, 4_800)]);
    replay.offer_until(at(1_000), OFFERED_PER_S);
    let actions = replay.gate.set_evacuated(replay.now, true);
    replay.apply(actions);
    replay.offer_until(at(2_000), OFFERED_PER_S);
    let actions = replay.gate.set_evacuated(replay.now, false);
    replay.apply(actions);
    // It is asked before anything is offered.
    let due = replay.gate.next_load_query(replay.now).expect("a query");
    assert!(due <= replay.now, "{due:?}");
    // A third of the slots at first.
    assert!(replay.gate.report(replay.now).limit <= 6);
    replay.offer_until(at(8_000), OFFERED_PER_S);
    replay.assert_bound();
    let cold = replay.starts_between(at(2_000), at(4_800));
    assert!((30..=50).contains(&cold), "{cold} starts in 2.8 s at 15/s");
    assert_eq!(replay.gate.report(replay.now).limit, 18);
}

/// Any order of cold times, restarts, lost queries and evacuations, at any offered load.
#[test]
fn bound_holds_in_random_histories() {
    let mut most = 0;
    for seed in 0..200 {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut spans = Vec::new();
        let mut time = 0;
        while time < 20_000 {
            let from = time + u64::from(random.next_u32() % 3_000);
            let to = from + 500 + u64::from(random.next_u32() % 4_000);
            spans.push((from, to));
            time = to;
        }
        let mut replay = ColdReplay::new(&spans);
        replay.has_pace = seed % 2 == 0;
        while replay.now < at(20_000) {
            let end = replay.now + ms(u64::from(random.next_u32() % 700));
            replay.is_answering = !random.next_u32().is_multiple_of(10);
            match random.next_u32() % 8 {
                0 => replay.restart_host(),
                1 => {
                    let actions = replay.gate.set_evacuated(replay.now, true);
                    replay.apply(actions);
                }
                2 => replay.advance(end),
                _ => {
                    let actions = replay.gate.set_evacuated(replay.now, false);
                    replay.apply(actions);
                }
            }
            replay.offer_until(end, 20 + random.next_u32() % 180);
        }
        let seed_most = replay.most_cold_starts();
        assert!(
            seed_most <= MOST_IN_A_SECOND,
            "seed {seed}: {seed_most} starts in a second"
        );
        most = most.max(seed_most);
    }
    println!("most starts in a second: {most}");
}
