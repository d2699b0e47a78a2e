//! A request that crashes its backend server is refused after at most two crashes.

use std::{collections::BTreeMap, time::Duration};

use fescueway_admission::{
    CrashId, SuspectDecision, SuspectEnd, SuspectList, SuspectMessage, SuspectReply,
};
use fescueway_core::{MonoTime, NodeId};
use quickcheck::{Gen, QuickCheck};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const HOSTS: u64 = 5;
const SERVICE_US: u64 = 20_000;
const RESTART_US: u64 = 1_000_000;

/// Event of the simulation. `request` is the fingerprint of a request, `run` counts the restarts of
/// the backend server.
#[derive(Clone, Debug)]
enum Event {
    Arrive {
        host: NodeId,
        request: u64,
    },
    HandOver {
        host: NodeId,
        request: u64,
    },
    Message {
        to: NodeId,
        from: NodeId,
        message: SuspectMessage,
    },
    TrialReply {
        host: NodeId,
        request: u64,
        reply: SuspectReply,
    },
    End {
        host: NodeId,
        request: u64,
        run: u64,
    },
    Crash {
        host: NodeId,
        request: u64,
        run: u64,
    },
}

/// Simulation of hosts whose backend servers crash on some fingerprints.
struct Fleet {
    now: u64,
    rng: Pcg64Mcg,
    /// Longest time to claim a key, between the decision to run a request and its hand-over, in
    /// microseconds. Zero for no claim.
    claim_us: u64,
    lists: BTreeMap<NodeId, SuspectList>,
    /// Number of restarts of each backend server, and the time until which it is down.
    restarts: BTreeMap<NodeId, (u64, u64)>,
    events: BTreeMap<(u64, u64), Event>,
    /// Number of crashed backend servers, by the fingerprint that crashed them.
    lost: BTreeMap<u64, u32>,
    /// When each harmless request was first answered.
    answered: BTreeMap<u64, u64>,
}

/// Requests whose fingerprint is a multiple of 100 crash their backend server.
fn causes_crash(request: u64) -> bool {
    request.is_multiple_of(100)
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let hosts = || (1..=HOSTS).map(NodeId);
        Self {
            now: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            claim_us: 0,
            lists: hosts().map(|host| (host, SuspectList::new(host))).collect(),
            restarts: hosts().map(|host| (host, (0, 0))).collect(),
            events: BTreeMap::new(),
            lost: BTreeMap::new(),
            answered: BTreeMap::new(),
        }
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    fn random_host(&mut self) -> NodeId {
        NodeId(1 + self.random_below(HOSTS))
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        let number = self.rng.next_u64();
        self.events.insert((self.now + delay, number), event);
    }

    /// Network delay between two hosts in one direction: 1 to 1.5 ms.
    fn network_delay(&mut self) -> u64 {
        1_000 + self.random_below(500)
    }

    /// The caller sends the request again through a random entry, which takes at least three
    /// network delays.
    fn resend(&mut self, request: u64, pause: u64) {
        let host = self.random_host();
        self.schedule(4_000 + pause, Event::Arrive { host, request });
    }

    fn list(&mut self, host: NodeId) -> &mut SuspectList {
        self.lists.get_mut(&host).unwrap()
    }

    fn send(&mut self, from: NodeId, message: &SuspectMessage) {
        let fingerprint = match message {
            SuspectMessage::Strike { .. }
            | SuspectMessage::Cleared { .. }
            | SuspectMessage::Recall => None,
            SuspectMessage::Trial { fingerprint, .. }
            | SuspectMessage::Running { fingerprint, .. }
            | SuspectMessage::TrialEnded { fingerprint, .. } => Some(*fingerprint),
        };
        let hosts = || (1..=HOSTS).map(NodeId);
        let coordinator =
            fingerprint.and_then(|fingerprint| SuspectList::coordinator(fingerprint, hosts()));
        for to in hosts().filter(|to| coordinator.is_none_or(|coordinator| coordinator == *to)) {
            let delay = if to == from { 0 } else { self.network_delay() };
            let message = message.clone();
            self.schedule(delay, Event::Message { to, from, message });
        }
    }

    fn run_until(&mut self, until: u64) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > until {
                return;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = MonoTime::from_micros(self.now);
        match event {
            Event::Arrive { host, request } => {
                if self.restarts[&host].1 > self.now {
                    self.resend(request, 0);
                    return;
                }
                match self.list(host).begin(now, request, 0) {
                    SuspectDecision::Run => self.claim_key(host, request),
                    SuspectDecision::RequestTrial(message) => self.send(host, &message),
                    SuspectDecision::Wait => self.schedule(5_000, Event::Arrive { host, request }),
                    SuspectDecision::Refuse => self.resend(request, 100_000),
                }
            }
            Event::HandOver { host, request } => {
                if self.list(host).may_run(now, request) {
                    self.start(host, request);
                    return;
                }
                let message = self.list(host).finish(request, SuspectEnd::Unused);
                if let Some(message) = message {
                    self.send(host, &message);
                }
                self.resend(request, 100_000);
            }
            Event::Message { to, from, message } => {
                let reply = self.list(to).handle(now, &message);
                match (message, reply) {
                    (SuspectMessage::Trial { fingerprint, .. }, reply) => {
                        let network_delay = self.network_delay();
                        let request = fingerprint;
                        self.schedule(
                            network_delay,
                            Event::TrialReply {
                                host: from,
                                request,
                                reply,
                            },
                        );
                    }
                    (_, SuspectReply::Noted(running)) => {
                        for fingerprint in running {
                            let host = to;
                            self.send(from, &SuspectMessage::Running { fingerprint, host });
                        }
                    }
                    _ => {}
                }
            }
            Event::TrialReply {
                host,
                request,
                reply,
            } => {
                if self.list(host).trial_reply(now, request, Some(&reply)) {
                    self.claim_key(host, request);
                } else {
                    self.resend(request, 100_000);
                }
            }
            Event::End { host, request, run } => {
                if self.restarts[&host].0 == run {
                    let message = self.list(host).finish(request, SuspectEnd::Answered);
                    if let Some(message) = message {
                        self.send(host, &message);
                    }
                    let at = self.now;
                    self.answered.entry(request).or_insert(at);
                } else {
                    // The backend server crashed meanwhile, so the caller sends the request again.
                    self.resend(request, 0);
                }
            }
            Event::Crash { host, request, run } => {
                if self.restarts[&host].0 != run {
                    return;
                }
                *self.lost.entry(request).or_default() += 1;
                self.restarts.insert(host, (run + 1, self.now + RESTART_US));
                for message in self.list(host).settle_loss(now, true) {
                    self.send(host, &message);
                }
            }
        }
    }

    /// Hands the request over, at once or after its key is claimed.
    fn claim_key(&mut self, host: NodeId, request: u64) {
        if self.claim_us == 0 {
            self.start(host, request);
            return;
        }
        let delay = self.random_below(self.claim_us);
        self.schedule(delay, Event::HandOver { host, request });
    }

    fn start(&mut self, host: NodeId, request: u64) {
        self.list(host).hand_over(request);
        let run = self.restarts[&host].0;
        if causes_crash(request) {
            let delay = self.random_below(SERVICE_US);
            self.schedule(delay, Event::Crash { host, request, run });
            self.schedule(delay + 1, Event::End { host, request, run });
        } else {
            self.schedule(SERVICE_US, Event::End { host, request, run });
        }
    }

    /// Runs crashing requests beside harmless ones. All are sent again until they are answered.
    fn run_crashers(seed: u64, crashers: u64, copies: u64) -> Self {
        Self::run_crashers_with_claims(seed, crashers, copies, 0)
    }

    /// As [`Fleet::run_crashers`], with requests that claim a key before they are handed over.
    fn run_crashers_with_claims(seed: u64, crashers: u64, copies: u64, claim_us: u64) -> Self {
        let mut fleet = Self::new(seed);
        fleet.claim_us = claim_us;
        for request in 1..=60 {
            let (host, delay) = (fleet.random_host(), fleet.random_below(60_000));
            fleet.schedule(delay, Event::Arrive { host, request });
        }
        for number in 0..crashers * copies {
            let request = 100 * (1 + number % crashers);
            let (host, delay) = (fleet.random_host(), 20_000 + fleet.random_below(5_000));
            fleet.schedule(delay, Event::Arrive { host, request });
        }
        fleet.run_until(Duration::from_mins(1).as_micros() as u64);
        fleet
    }
}

#[test]
fn a_crasher_crashes_at_most_two_backend_servers() {
    fn loses_at_most_two(seed: u64) -> bool {
        let fleet = Fleet::run_crashers(seed, 1, 1 + seed % 2);
        fleet.lost.values().all(|lost| *lost <= 2)
    }
    let mut check = QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 2))
        .tests(500);
    check.quickcheck(loses_at_most_two as fn(u64) -> bool);
}

/// Copies of a crashing request claim their keys at the same time. A crash of one is a strike
/// against the others before their hand-over, and more than two of them must not run.
#[test]
fn a_request_with_a_strike_during_its_key_claim_is_not_handed_over() {
    let max_lost = |seed| {
        let fleet = Fleet::run_crashers_with_claims(seed, 1, 3, 1_000_000);
        fleet.lost.values().copied().max().unwrap_or(0)
    };
    let lost: Vec<u32> = (0..100).map(max_lost).collect();
    let above = lost.iter().filter(|count| **count > 2).count();
    println!("{above} of 100 seeds lost more than two");
    assert_eq!(above, 0, "{lost:?}");
}

#[test]
fn harmless_requests_are_served_soon_after_a_crash() {
    for seed in 0..100 {
        let fleet = Fleet::run_crashers(seed, 1, 1);
        assert_eq!(fleet.answered.len(), 60, "seed {seed}");
        let latest = fleet.answered.values().max().unwrap();
        assert!(*latest < 3_000_000, "seed {seed}: {latest}");
    }
}

#[test]
fn a_lost_answer_makes_a_suspect_before_the_crash_is_reported() {
    let now = MonoTime::ZERO;
    let mut list = SuspectList::new(NodeId(1));
    assert!(matches!(
        list.begin(now, 7, 1),
        SuspectDecision::RequestTrial(_)
    ));
    assert_eq!(list.begin(now, 8, 1), SuspectDecision::Wait);
    assert_eq!(list.begin(now, 9, 2), SuspectDecision::Refuse);
    assert_eq!(list.begin(now, 10, 0), SuspectDecision::Run);
}

#[test]
fn a_trial_without_a_result_allows_the_next_one() {
    let now = MonoTime::ZERO;
    let mut list = SuspectList::new(NodeId(1));
    assert_eq!(list.begin(now, 7, 0), SuspectDecision::Run);
    list.hand_over(7);
    list.settle_loss(now, true);
    for end in [SuspectEnd::Unused, SuspectEnd::Lost] {
        let SuspectDecision::RequestTrial(message) = list.begin(now, 7, 0) else {
            panic!("a suspect with one strike needs a trial");
        };
        let reply = list.handle(now, &message);
        assert!(list.trial_reply(now, 7, Some(&reply)));
        if end == SuspectEnd::Lost {
            list.hand_over(7);
        }
        let ended = list.finish(7, end).into_iter();
        let ended: Vec<_> = ended.chain(list.settle_loss(now, false)).collect();
        assert_eq!(ended.len(), 1);
        list.handle(now, &ended[0]);
    }
}

#[test]
fn a_new_host_refuses_fingerprints_with_two_earlier_strikes() {
    let now = MonoTime::ZERO;
    let mut existing = SuspectList::new(NodeId(1));
    for serial in [1, 2] {
        let crash = CrashId {
            host: NodeId(2),
            serial,
        };
        existing.handle(
            now,
            &SuspectMessage::Strike {
                crash,
                fingerprints: vec![7],
            },
        );
    }
    let SuspectReply::Struck(suspects) = existing.handle(now, &SuspectMessage::Recall) else {
        panic!("expected the known suspects in reply to the recall");
    };
    let mut new = SuspectList::new(NodeId(3));
    new.learn(now, &suspects);
    assert_eq!(new.begin(now, 7, 0), SuspectDecision::Refuse);
    assert_eq!(new.begin(now, 8, 0), SuspectDecision::Run);
}

#[test]
fn a_trial_waits_for_a_hedge_with_a_strike_from_elsewhere() {
    let now = MonoTime::ZERO;
    let (crasher, hedged) = (100, 1);
    let mut list = SuspectList::new(NodeId(2));
    assert_eq!(list.begin(now, hedged, 0), SuspectDecision::Run);
    list.hand_over(hedged);
    let strike = SuspectMessage::Strike {
        crash: CrashId {
            host: NodeId(1),
            serial: 1,
        },
        fingerprints: vec![crasher, hedged],
    };
    list.handle(now, &strike);
    // A crash now would be a second strike against the hedged read, which would be refused until
    // the strikes expire.
    assert_eq!(list.begin(now, crasher, 1), SuspectDecision::Wait);
    list.finish(hedged, SuspectEnd::Answered);
    let decision = list.begin(now, crasher, 1);
    assert!(
        matches!(decision, SuspectDecision::RequestTrial(_)),
        "{decision:?}"
    );
}

#[test]
fn a_crash_gives_no_strike_to_requests_that_were_not_handed_over() {
    let now = MonoTime::ZERO;
    let mut list = SuspectList::new(NodeId(1));
    assert_eq!(list.begin(now, 100, 0), SuspectDecision::Run);
    assert_eq!(list.begin(now, 1, 0), SuspectDecision::Run);
    list.hand_over(100);
    // The other request still waits for its connection when the backend server crashes.
    let messages = list.settle_loss(now, true);
    assert!(
        matches!(&*messages, [SuspectMessage::Strike { fingerprints, .. }] if *fingerprints == [100]),
        "{messages:?}"
    );
    assert_eq!(list.finish(1, SuspectEnd::Unused), None);
    assert_eq!(list.begin(now, 1, 0), SuspectDecision::Run);
}

/// Hosts whose messages arrive at once.
struct Hosts(BTreeMap<NodeId, SuspectList>);

impl Hosts {
    fn new() -> Self {
        let hosts = (1..=HOSTS).map(NodeId);
        Self(hosts.map(|host| (host, SuspectList::new(host))).collect())
    }

    fn list(&mut self, host: u64) -> &mut SuspectList {
        self.0.get_mut(&NodeId(host)).unwrap()
    }

    fn coordinator(&mut self, fingerprint: u64) -> &mut SuspectList {
        let hosts = self.0.keys().copied();
        let coordinator = SuspectList::coordinator(fingerprint, hosts).unwrap();
        self.list(coordinator.0)
    }

    fn notify_all(&mut self, now: MonoTime, message: &SuspectMessage) {
        for list in self.0.values_mut() {
            list.handle(now, message);
        }
    }

    /// Starts a request. Returns whether it runs.
    fn start(&mut self, now: MonoTime, host: u64, fingerprint: u64) -> bool {
        let is_started = match self.list(host).begin(now, fingerprint, 0) {
            SuspectDecision::Run => true,
            SuspectDecision::Wait | SuspectDecision::Refuse => false,
            SuspectDecision::RequestTrial(message) => {
                let reply = self.coordinator(fingerprint).handle(now, &message);
                self.list(host).trial_reply(now, fingerprint, Some(&reply))
            }
        };
        if is_started {
            self.list(host).hand_over(fingerprint);
        }
        is_started
    }

    fn answer(&mut self, now: MonoTime, host: u64, fingerprint: u64) {
        let message = self.list(host).finish(fingerprint, SuspectEnd::Answered);
        if let Some(message) = message {
            self.notify_all(now, &message);
        }
    }

    fn crash(&mut self, now: MonoTime, host: u64) {
        for message in self.list(host).settle_loss(now, true) {
            self.notify_all(now, &message);
        }
    }

    /// Answers a path at every host, and then crashes all backend servers while they run it.
    fn crash_all_with_popular_path(&mut self, now: MonoTime, fingerprint: u64) {
        for host in 1..=HOSTS {
            assert!(self.start(now, host, fingerprint));
            self.answer(now, host, fingerprint);
            assert!(self.start(now, host, fingerprint));
        }
        for host in 1..=HOSTS {
            self.crash(now, host);
        }
    }
}

/// Guards against a path that is refused everywhere although it crashes nothing: review/5.
#[test]
fn a_path_that_many_read_is_served_again_after_all_backend_servers_crashed_at_once() {
    let mut hosts = Hosts::new();
    let path = 7;
    hosts.crash_all_with_popular_path(MonoTime::ZERO, path);
    let later = MonoTime::ZERO + Duration::from_secs(4);
    assert!(hosts.start(later, 1, path));
    assert!(!hosts.start(later, 2, path), "one trial at a time");
    hosts.answer(later, 1, path);
    for host in 1..=HOSTS {
        assert!(hosts.start(later, host, path));
    }
}

#[test]
fn a_path_that_begins_to_crash_backend_servers_is_refused_after_one_trial() {
    let mut hosts = Hosts::new();
    let path = 7;
    hosts.crash_all_with_popular_path(MonoTime::ZERO, path);
    let later = MonoTime::ZERO + Duration::from_secs(4);
    assert!(hosts.start(later, 1, path));
    hosts.crash(later, 1);
    for host in 1..=HOSTS {
        let soon = later + Duration::from_secs(30);
        assert!(!hosts.start(soon, host, path));
    }
}

#[test]
fn a_refused_request_gets_trials_at_a_falling_rate() {
    let mut hosts = Hosts::new();
    let mut crashes = Vec::new();
    for second in 0..3_600 {
        let now = MonoTime::ZERO + Duration::from_secs(second);
        let host = 1 + second % HOSTS;
        if hosts.start(now, host, 100) {
            hosts.crash(now, host);
            crashes.push(second);
        }
    }
    // One retry within the first minute of refusals, and one for each 10 min in the end.
    assert_eq!(crashes[..5], [0, 1, 61, 181, 421]);
    assert!(crashes.len() <= 11, "{crashes:?}");
}

/// Two crashes of other causes struck it.
#[test]
fn a_harmless_request_with_two_strikes_is_served_after_its_next_trial() {
    let mut hosts = Hosts::new();
    for second in [0, 1] {
        let now = MonoTime::ZERO + Duration::from_secs(second);
        assert!(hosts.start(now, 1, 7));
        hosts.crash(now, 1);
    }
    let refused = MonoTime::ZERO + Duration::from_mins(1);
    assert!(!hosts.start(refused, 2, 7));
    let later = MonoTime::ZERO + Duration::from_secs(61);
    assert!(hosts.start(later, 2, 7));
    hosts.answer(later, 2, 7);
    for host in 1..=HOSTS {
        assert!(hosts.start(later, host, 7));
    }
}

#[test]
fn a_lost_answer_makes_no_suspect_of_a_request_that_was_answered_before() {
    let mut hosts = Hosts::new();
    assert!(hosts.start(MonoTime::ZERO, 1, 7));
    hosts.answer(MonoTime::ZERO, 1, 7);
    let decision = hosts.list(1).begin(MonoTime::ZERO, 7, 1);
    assert_eq!(decision, SuspectDecision::Run);
}
