//! A backend server gets no more requests than the rate limit that it states.

use std::{collections::BTreeSet, time::Duration};

use fescueway_admission::{GateAction, GatePlan, GateResult, RunEnd, TargetGate, TicketId};
use fescueway_core::{
    MonoTime, RateLimit, Refusal, RefusalReason, RequestTerms, ServerNotice, ServerStart,
    StatementSource,
};

/// Time that each request runs.
const SERVICE_TIME: Duration = Duration::from_millis(60);

/// Span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Replays offers against a gate whose backend server states its limit in every answer.
struct GateReplay {
    gate: TargetGate,
    now: MonoTime,
    next_ticket: u64,
    /// The limit that answers state.
    limit: Option<RateLimit>,
    /// Ends of running requests.
    running: BTreeSet<(MonoTime, u64)>,
    starts: Vec<MonoTime>,
    /// Tickets in the order of their starts.
    tickets: Vec<u64>,
    refusals: Vec<Refusal>,
}

impl GateReplay {
    fn new(slots: u32) -> Self {
        let plan = GatePlan {
            slots,
            ramp_time: Duration::ZERO,
            ..GatePlan::default()
        };
        Self {
            gate: TargetGate::new(plan, MonoTime::ZERO),
            now: MonoTime::ZERO,
            next_ticket: 0,
            limit: None,
            running: BTreeSet::new(),
            starts: Vec::new(),
            tickets: Vec::new(),
            refusals: Vec::new(),
        }
    }

    /// Offers `per_s` requests a second, evenly spaced, for `time`.
    fn offer(&mut self, per_s: u32, time: Duration) {
        let end = self.now + time;
        let gap = Duration::from_secs(1) / per_s;
        while self.now < end {
            self.offer_one(Duration::from_millis(800));
            self.advance(self.now + gap);
        }
    }

    fn offer_one(&mut self, time_left: Duration) {
        self.next_ticket += 1;
        let ticket = TicketId(self.next_ticket);
        let terms = RequestTerms::new("windows".into(), time_left);
        match self.gate.offer(self.now, ticket, &terms) {
            GateResult::Run => self.start(ticket),
            GateResult::Wait => {}
            GateResult::Refuse(refusal) => self.refusals.push(refusal),
        }
    }

    /// Answers a query of the node.
    fn state_to_query(&mut self) {
        let source = StatementSource::Query;
        let actions = self.gate.learn_limit(self.now, source, self.limit);
        self.apply(actions);
    }

    /// Ends runs and advances the gate's time until `end`.
    fn advance(&mut self, end: MonoTime) {
        loop {
            let next_end = self.running.first().map(|(time, _)| *time);
            let next_wake = self.gate.next_wake();
            let next = next_end.into_iter().chain(next_wake).min();
            let Some(next) = next.filter(|time| *time <= end) else {
                break;
            };
            self.now = self.now.max(next);
            if next_end == Some(next) {
                let (_, ticket) = self.running.pop_first().expect("a running request");
                let source = StatementSource::Request;
                let actions = self.gate.learn_limit(self.now, source, self.limit);
                self.apply(actions);
                let ticket = TicketId(ticket);
                let actions = self.gate.finish(self.now, ticket, RunEnd::Answered);
                self.apply(actions);
            } else {
                let actions = self.gate.tick(self.now);
                self.apply(actions);
            }
        }
        self.now = end;
    }

    fn apply(&mut self, actions: Vec<GateAction>) {
        for action in actions {
            match action {
                GateAction::Run(ticket) => self.start(ticket),
                GateAction::Refuse(_, refusal) => self.refusals.push(refusal),
            }
        }
    }

    fn start(&mut self, ticket: TicketId) {
        self.starts.push(self.now);
        self.tickets.push(ticket.0);
        self.running.insert((self.now + SERVICE_TIME, ticket.0));
    }

    /// Most starts from `from` on in any span of `length`.
    fn most_starts(&self, from: MonoTime, length: Duration) -> usize {
        let starts: Vec<_> = self.starts.iter().filter(|start| **start >= from).collect();
        let count_from = |index: usize| {
            let within = |start: &&&MonoTime| start.since(*starts[index]) < length;
            starts[index..].iter().take_while(within).count()
        };
        (0..starts.len()).map(count_from).max().unwrap_or_default()
    }
}

fn limit(per_s: f64) -> RateLimit {
    RateLimit::try_from(per_s).expect("a valid limit")
}

/// The load of the users' day: a server that answers up to 200 requests/s states much less.
#[test]
fn requests_above_a_stated_limit_do_not_start() {
    for per_s in [28.2, 14.5, 3.0, 0.6] {
        let mut replay = GateReplay::new(12);
        replay.offer(60, Duration::from_secs(2));
        replay.limit = Some(limit(per_s));
        // The runs that were in flight answer within a service time.
        replay.offer(60, SERVICE_TIME * 2);
        let limited_at = replay.now;
        replay.offer(60, Duration::from_secs(20));
        let most = replay.most_starts(limited_at, WINDOW);
        let allowed = per_s * WINDOW.as_secs_f64() + (per_s / 4.0).max(1.0);
        assert!(most as f64 <= allowed + 1.0, "{most} starts at {per_s}/s");
        let total = replay.most_starts(limited_at, Duration::from_secs(20));
        let least = per_s * 20.0 * 0.9 - 1.0;
        assert!(total as f64 >= least, "{total} starts in 20 s at {per_s}/s");
    }
}

#[test]
fn a_limit_of_zero_starts_nothing_and_its_end_is_queried() {
    let mut replay = GateReplay::new(12);
    replay.offer(60, Duration::from_secs(1));
    replay.limit = Some(limit(0.0));
    replay.offer(60, SERVICE_TIME * 2);
    replay.state_to_query();
    let limited_at = replay.now;
    let (refused, offered) = (replay.refusals.len(), replay.next_ticket);
    replay.offer(60, Duration::from_secs(10));
    let offered = replay.next_ticket - offered;
    assert_eq!(replay.most_starts(limited_at, WINDOW), 0);
    let refusals = &replay.refusals[refused..];
    assert_eq!(refusals.len() as u64, offered, "each is refused at once");
    let is_limited = |refusal: &Refusal| refusal.reason == RefusalReason::RateLimited;
    assert!(refusals.iter().all(is_limited), "{refusals:?}");
    assert!(replay.gate.counts().rate_limited >= offered);
    // Without requests there are no answers, so the server is queried.
    let due = replay.gate.next_load_query(replay.now).expect("a query");
    assert!(due <= replay.now, "{due:?}");
    replay.gate.begin_load_query(replay.now);
    let next = replay.gate.next_load_query(replay.now).expect("a query");
    assert_eq!(next, replay.now + Duration::from_secs(1));
    replay.limit = None;
    replay.state_to_query();
    replay.offer(60, Duration::from_secs(3));
    assert!(replay.most_starts(limited_at, WINDOW) > 100);
}

#[test]
fn a_limit_of_zero_that_only_requests_can_tell_is_tried_rarely() {
    let mut replay = GateReplay::new(12);
    replay.limit = Some(limit(0.0));
    replay.offer(60, SERVICE_TIME * 2);
    let limited_at = replay.now;
    replay.offer(60, Duration::from_secs(41));
    let trials = replay.most_starts(limited_at, Duration::from_mins(1));
    assert!((3..=5).contains(&trials), "{trials} starts in 41 s");
}

#[test]
fn the_end_of_a_limit_releases_no_burst() {
    let mut replay = GateReplay::new(12);
    replay.limit = Some(limit(10.0));
    replay.offer(100, Duration::from_secs(4));
    replay.limit = None;
    let ended_at = replay.now;
    replay.offer(100, Duration::from_millis(500));
    let first = replay.most_starts(ended_at, Duration::from_secs(1));
    assert!(first <= 16, "{first} starts in the first 0.5 s");
    replay.offer(100, Duration::from_secs(3));
    let all = replay.most_starts(ended_at + Duration::from_secs(2), Duration::from_secs(1));
    assert!(all >= 95, "{all} starts/s after the recovery");
}

/// An answer may be sent before the limit and read after it, or lack it by mistake.
#[test]
fn answers_without_the_limit_in_between_do_little_harm() {
    let mut replay = GateReplay::new(12);
    replay.limit = Some(limit(14.5));
    replay.offer(60, Duration::from_secs(1));
    let limited_at = replay.now;
    for _ in 0..20 {
        replay.limit = None;
        replay.offer(60, SERVICE_TIME);
        replay.limit = Some(limit(14.5));
        replay.offer(60, Duration::from_millis(440));
    }
    let most = replay.most_starts(limited_at, WINDOW);
    assert!(
        most as f64 <= 1.5 * 14.5 * 4.0 + 5.0,
        "{most} starts in 4 s"
    );
}

/// After a pause of the process the monotonic clock may have jumped ahead.
#[test]
fn a_jump_of_the_clock_releases_no_burst() {
    let mut replay = GateReplay::new(12);
    replay.limit = Some(limit(20.0));
    replay.offer(60, Duration::from_secs(2));
    replay.advance(replay.now + Duration::from_secs(30));
    let resumed_at = replay.now;
    replay.offer(200, Duration::from_secs(4));
    let most = replay.most_starts(resumed_at, WINDOW);
    assert!(most <= 86, "{most} starts in 4 s at 20/s");
}

#[test]
fn a_changed_limit_holds_from_the_next_start_on() {
    let mut replay = GateReplay::new(12);
    replay.limit = Some(limit(40.0));
    replay.offer(100, Duration::from_secs(3));
    replay.limit = Some(limit(4.0));
    replay.offer(100, SERVICE_TIME * 2);
    let lowered_at = replay.now;
    replay.offer(100, Duration::from_secs(8));
    let most = replay.most_starts(lowered_at, WINDOW);
    assert!(most <= 18, "{most} starts in 4 s at 4/s");
    replay.limit = Some(limit(40.0));
    replay.offer(100, Duration::from_secs(1));
    let raised_at = replay.now;
    replay.offer(100, Duration::from_secs(4));
    let most = replay.most_starts(raised_at, WINDOW);
    assert!(most <= 60, "{most} starts in 4 s across the raise from 4/s");
    let raised_at = replay.now;
    replay.offer(100, Duration::from_secs(4));
    let most = replay.most_starts(raised_at, WINDOW);
    assert!((140..=171).contains(&most), "{most} starts in 4 s at 40/s");
}

/// A span of 4 s that has both a low and a high limit in it gets what the low one allows.
#[test]
fn a_raised_limit_does_not_count_for_the_span_before_it() {
    let mut replay = GateReplay::new(12);
    replay.limit = Some(limit(3.8));
    replay.offer(100, Duration::from_secs(4));
    let low_at = replay.now;
    replay.limit = Some(limit(59.5));
    replay.offer(100, Duration::from_secs(4));
    let most = replay.most_starts(low_at, WINDOW);
    assert!(most as f64 <= 3.8 * 6.0 + 5.0, "{most} starts in 4 s");
    // A limit that swings is obeyed at its lowest.
    for _ in 0..8 {
        replay.limit = Some(limit(59.5));
        replay.offer(100, Duration::from_millis(900));
        replay.limit = Some(limit(10.0));
        replay.offer(100, Duration::from_millis(100));
    }
    let swing_at = replay.now;
    for _ in 0..8 {
        replay.limit = Some(limit(59.5));
        replay.offer(100, Duration::from_millis(900));
        replay.limit = Some(limit(10.0));
        replay.offer(100, Duration::from_millis(100));
    }
    let most = replay.most_starts(swing_at, WINDOW);
    assert!(most <= 44, "{most} starts in 4 s");
}

#[test]
fn an_offer_waits_for_its_turn_if_its_entry_accepts_that() {
    let mut replay = GateReplay::new(12);
    replay.limit = Some(limit(10.0));
    replay.offer(10, Duration::from_secs(2));
    replay.advance(replay.now + Duration::from_millis(200));
    replay.starts.clear();
    // Two at once for the burst; then one each 100 ms, the most urgent first.
    for (ticket, time_left) in [(1_001, 800), (1_002, 800), (1_003, 700), (1_004, 400)] {
        let terms = RequestTerms::new("windows".into(), Duration::from_millis(time_left));
        match replay.gate.offer(replay.now, TicketId(ticket), &terms) {
            GateResult::Run => replay.start(TicketId(ticket)),
            GateResult::Wait => {}
            GateResult::Refuse(refusal) => panic!("{ticket}: {refusal:?}"),
        }
    }
    let picky = RequestTerms {
        wait_limit: Duration::from_millis(50),
        ..RequestTerms::new("windows".into(), Duration::from_millis(800))
    };
    let result = replay.gate.offer(replay.now, TicketId(1_005), &picky);
    let GateResult::Refuse(refusal) = result else {
        panic!("{result:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::RateLimited);
    assert!(
        refusal.retry_after >= Duration::from_millis(100),
        "{refusal:?}"
    );
    replay.advance(replay.now + Duration::from_millis(350));
    assert_eq!(replay.starts.len(), 4);
    let order: Vec<_> = replay.tickets.iter().rev().take(2).rev().copied().collect();
    assert_eq!(order, [1_004, 1_003]);
}

/// A start of another backend server under the same address owes nothing to its predecessor.
#[test]
fn another_server_has_no_limit() {
    let mut replay = GateReplay::new(12);
    let first = ServerStart {
        name_digest: 7,
        born_ms: 1_000,
    };
    replay.gate.set_server(first);
    replay.limit = Some(limit(1.0));
    replay.offer(10, Duration::from_secs(1));
    assert!(replay.gate.notice().is_some());
    replay.gate.set_server(ServerStart {
        born_ms: 0,
        ..first
    });
    assert!(replay.gate.notice().is_some(), "the same start");
    replay.gate.set_server(ServerStart {
        born_ms: 2_000,
        ..first
    });
    assert_eq!(replay.gate.notice(), None);
    replay.limit = None;
    let replaced_at = replay.now;
    replay.offer(60, Duration::from_secs(2));
    assert!(replay.most_starts(replaced_at, WINDOW) > 100);
}

/// A host that was restarted learns from entries what its predecessor knew.
#[test]
fn a_notice_of_an_entry_counts_until_the_server_states_its_limit_itself() {
    let server = ServerStart {
        name_digest: 7,
        born_ms: 1_000,
    };
    let notice = ServerNotice {
        server,
        rate_limit: Some(limit(3.0)),
        is_leaving: false,
    };
    let mut replay = GateReplay::new(12);
    replay.gate.set_server(server);
    let other = ServerNotice {
        server: ServerStart {
            born_ms: 900,
            ..server
        },
        ..notice
    };
    replay.gate.learn_notice(replay.now, &other);
    assert_eq!(replay.gate.notice(), None, "of an earlier start");
    let unknown = ServerNotice {
        server: ServerStart {
            born_ms: 0,
            ..server
        },
        ..notice
    };
    replay.gate.learn_notice(replay.now, &unknown);
    assert_eq!(replay.gate.notice(), None, "maybe of an earlier start");
    replay.gate.learn_notice(replay.now, &notice);
    replay.limit = notice.rate_limit;
    replay.offer(60, Duration::from_secs(4));
    assert!(replay.starts.len() <= 14, "{} starts", replay.starts.len());
    replay.limit = None;
    replay.offer(60, Duration::from_secs(4));
    replay.gate.learn_notice(replay.now, &notice);
    let stated = replay.gate.notice().expect("a notice");
    assert_eq!(stated.rate_limit, None, "the server's own statement counts");
}

#[test]
fn a_leaving_server_gets_nothing_more_and_cannot_revoke_it() {
    let server = ServerStart {
        name_digest: 7,
        born_ms: 1_000,
    };
    let mut replay = GateReplay::new(1);
    replay.gate.set_server(server);
    replay.offer_one(Duration::from_millis(800));
    replay.offer_one(Duration::from_millis(800));
    assert_eq!(replay.starts.len(), 1, "the other waits");
    let actions = replay.gate.learn_leaving(replay.now);
    replay.apply(actions);
    assert_eq!(replay.refusals.len(), 1);
    assert_eq!(replay.refusals[0].reason, RefusalReason::Draining);
    replay.gate.undrain(replay.now);
    replay.offer(60, Duration::from_secs(1));
    assert_eq!(replay.starts.len(), 1);
    assert!(replay.gate.report(replay.now).is_draining);
    let mut successor = TargetGate::new(GatePlan::default(), replay.now);
    successor.set_server(server);
    successor.inherit(replay.now, &replay.gate);
    assert!(successor.is_draining(), "the same start, announced anew");
    let mut successor = TargetGate::new(GatePlan::default(), replay.now);
    successor.set_server(ServerStart {
        born_ms: 2_000,
        ..server
    });
    successor.inherit(replay.now, &replay.gate);
    assert!(!successor.is_draining(), "a later start");
}

/// Without a name, a server can't be told from its successor.
#[test]
fn a_server_without_a_name_may_revoke_that_it_is_leaving() {
    let mut gate = TargetGate::new(GatePlan::default(), MonoTime::ZERO);
    gate.learn_leaving(MonoTime::ZERO);
    assert!(gate.is_draining());
    gate.undrain(MonoTime::ZERO);
    assert!(!gate.is_draining());
}
