//! A failure domain renews its proofs, in virtual time and without network: whom each node asks, who reads
//! the store, and how old the proofs get.

use std::{cell::Cell, time::Duration};

use fescueway_core::BootTime;
use fescueway_rollout::{
    FreshnessProof, ProofAnswer, ProofRole, ProofSchedule, ProofStep, ProofTimes, asked_rank,
};
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;

/// The bound of the deployment with strict revocation.
const BOUND: Duration = Duration::from_secs(5);

/// Nodes of a failure domain that watch the store.
const WATCHERS: usize = 8;

/// Granularity of the virtual time.
const TICK: Duration = Duration::from_millis(5);

/// Time of a call that is answered.
const CALL_TIME: Duration = Duration::from_millis(10);

/// The start of the virtual time.
const START: BootTime = BootTime::from_micros(3_600_000_000);

/// One node.
struct SimNode {
    proof: FreshnessProof,
    schedule: ProofSchedule,
    /// The call in flight: when it ends, when it began, and its result.
    call: Option<(BootTime, BootTime, CallEnd)>,
    /// Whether it answers and takes steps.
    is_alive: bool,
    /// Whether its path to the store works.
    has_store: bool,
    /// Whether its paths to other nodes work.
    has_peers: bool,
    reads: u32,
    asks: u32,
    answers: u32,
}

/// How a call ends.
enum CallEnd {
    Read { is_answered: bool },
    Ask(Option<fescueway_rollout::ProofReply>),
}

/// The nodes of a failure domain, lowest id first.
struct SimDomain {
    times: ProofTimes,
    nodes: Vec<SimNode>,
    now: BootTime,
    random: Pcg64Mcg,
    /// Share of the answers that are lost.
    loss: f64,
    /// The oldest proof of a living node since it was last taken.
    oldest: Cell<Duration>,
}

impl SimDomain {
    /// Nodes without proofs.
    fn new(count: usize) -> Self {
        let mut random = Pcg64Mcg::new(0x5eed);
        let times = ProofTimes::for_bound(BOUND);
        let nodes = (0..count).map(|_| {
            let mut proof = FreshnessProof::default();
            proof.set_held(5);
            let jitter = f64::from(random.next_u32()) / f64::from(u32::MAX);
            SimNode {
                proof,
                schedule: ProofSchedule::new(START, times, jitter),
                call: None,
                is_alive: true,
                has_store: true,
                has_peers: true,
                reads: 0,
                asks: 0,
                answers: 0,
            }
        });
        Self {
            times,
            nodes: nodes.collect(),
            now: START,
            random,
            loss: 0.0,
            oldest: Cell::default(),
        }
    }

    /// Nodes that have had proofs for a while.
    fn settled(count: usize) -> Self {
        let mut domain = Self::new(count);
        domain.run(Duration::from_secs(10));
        domain.reset();
        domain
    }

    /// Forgets the counts.
    fn reset(&mut self) {
        self.oldest.take();
        for node in &mut self.nodes {
            (node.reads, node.asks, node.answers) = (0, 0, 0);
        }
    }

    /// Lets time pass.
    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + TICK;
            for rank in 0..self.nodes.len() {
                self.advance(rank);
            }
            let ages = self.nodes.iter().filter(|node| node.is_alive);
            let ages = ages.map(|node| node.proof.age(self.now).unwrap_or(Duration::MAX));
            self.oldest
                .set(self.oldest.get().max(ages.max().unwrap_or_default()));
        }
    }

    /// Ends a node's call if it is due, and makes its next steps.
    fn advance(&mut self, rank: usize) {
        let now = self.now;
        if !self.nodes[rank].is_alive {
            return;
        }
        if let Some((end, begin, _)) = &self.nodes[rank].call {
            if *end > now {
                return;
            }
            let begin = *begin;
            let node = &mut self.nodes[rank];
            match node.call.take().map(|(_, _, end)| end) {
                Some(CallEnd::Read { is_answered: true }) => {
                    node.proof.prove(begin, 5);
                }
                Some(CallEnd::Ask(reply)) => {
                    let answer = match &reply {
                        None => ProofAnswer::Silence,
                        Some(reply) => match reply.age_us {
                            None => ProofAnswer::None,
                            Some(age_us) => {
                                node.proof.prove_by_peer(begin, reply);
                                ProofAnswer::Age(Duration::from_micros(age_us) + now.since(begin))
                            }
                        },
                    };
                    node.schedule.on_answer(begin, answer);
                }
                Some(CallEnd::Read { is_answered: false }) | None => {}
            }
        }
        let role = ProofRole {
            rank: Some(rank),
            watchers: WATCHERS,
        };
        let node = &mut self.nodes[rank];
        match node.schedule.next(now, node.proof.proven_at(), role) {
            ProofStep::Wait(_) => {}
            ProofStep::Read => {
                node.reads += 1;
                let is_answered = node.has_store && !self.is_lost();
                self.begin(rank, is_answered, CallEnd::Read { is_answered });
            }
            ProofStep::Ask(number) => {
                node.asks += 1;
                let count = self.nodes.len();
                let asked = asked_rank(number, rank, count, WATCHERS);
                let asked = asked.unwrap_or_else(|| self.random.next_u32() as usize % count);
                let is_reached = asked != rank
                    && self.nodes[rank].has_peers
                    && self.nodes[asked].has_peers
                    && self.nodes[asked].is_alive;
                let reply = (is_reached && !self.is_lost()).then(|| {
                    self.nodes[asked].answers += 1;
                    self.nodes[asked].proof.reply(now, None)
                });
                self.begin(rank, reply.is_some(), CallEnd::Ask(reply));
            }
        }
    }

    /// Begins a call.
    fn begin(&mut self, rank: usize, is_answered: bool, end: CallEnd) {
        let time = if is_answered {
            CALL_TIME
        } else {
            self.times.timeout
        };
        self.nodes[rank].call = Some((self.now + time, self.now, end));
    }

    /// Whether the next answer is lost.
    fn is_lost(&mut self) -> bool {
        f64::from(self.random.next_u32()) < self.loss * f64::from(u32::MAX)
    }

    /// Whether all living nodes accept keys.
    fn are_all_fresh(&self) -> bool {
        let mut ages = self.nodes.iter().filter(|node| node.is_alive);
        ages.all(|node| {
            let age = node.proof.age(self.now);
            age.is_some_and(|age| age < self.times.limit)
        })
    }

    fn set_store(&mut self, has_store: impl Fn(usize) -> bool) {
        for (rank, node) in self.nodes.iter_mut().enumerate() {
            node.has_store = has_store(rank);
        }
    }

    fn reads(&self) -> u32 {
        self.nodes.iter().map(|node| node.reads).sum()
    }
}

/// Guards against proofs that are so old in normal operation that a short outage exhausts the bound, and
/// against reads of more than one node.
#[test]
fn only_the_first_watcher_reads_while_everything_works() {
    let mut domain = SimDomain::settled(23);
    domain.run(Duration::from_mins(1));
    println!("{:?}, {} reads", domain.oldest, domain.reads());
    assert!(
        domain.oldest.get() < BOUND.mul_f64(0.26),
        "{:?}",
        domain.oldest
    );
    assert_eq!(domain.reads(), domain.nodes[0].reads);
    assert!(domain.reads() <= 121, "{}", domain.reads());
    let asks = domain.nodes.iter().map(|node| node.asks).max();
    assert!(asks <= Some(97), "{asks:?}");
}

/// Guards against messages and store calls of a node that grow with the failure domain.
#[test]
fn no_node_answers_more_than_a_bounded_number_of_others() {
    let mut domain = SimDomain::settled(353);
    domain.run(Duration::from_secs(20));
    let answers = domain.nodes.iter().map(|node| node.answers).max();
    println!("{:?}, {answers:?} answers", domain.oldest);
    // 24 nodes that ask every 0.625 s, for 20 s.
    assert!(answers <= Some(800), "{answers:?}");
    assert!(domain.reads() <= 41, "{}", domain.reads());
    assert!(
        domain.oldest.get() < BOUND.mul_f64(0.4),
        "{:?}",
        domain.oldest
    );
}

/// Guards against refusals after the first watcher was killed or frozen, until the membership has noticed.
#[test]
fn loss_of_the_first_watchers_does_not_exhaust_the_bound() {
    for lost in 1..4 {
        let mut domain = SimDomain::settled(23);
        for node in &mut domain.nodes[..lost] {
            node.is_alive = false;
        }
        domain.run(Duration::from_secs(30));
        let share = if lost == 1 { 0.7 } else { 0.9 };
        println!("{lost} lost: {:?}", domain.oldest);
        assert!(
            domain.oldest.get() < BOUND.mul_f64(share),
            "{lost}: {:?}",
            domain.oldest
        );
    }
}

#[test]
fn lost_answers_do_not_exhaust_the_bound() {
    let mut domain = SimDomain::settled(23);
    domain.loss = 0.1;
    domain.run(Duration::from_mins(2));
    println!("{:?} with lost answers", domain.oldest);
    assert!(
        domain.oldest.get() < BOUND.mul_f64(0.8),
        "{:?}",
        domain.oldest
    );
}

/// Guards against refusals at machines without a path to the store for less than 0.6 of the bound.
#[test]
fn outage_of_less_than_six_tenths_of_the_bound_causes_no_refusal() {
    for offset_ms in (0..700).step_by(35) {
        let mut domain = SimDomain::settled(23);
        domain.run(Duration::from_millis(offset_ms));
        domain.set_store(|_| false);
        domain.run(Duration::from_millis(2_980));
        domain.set_store(|_| true);
        domain.run(Duration::from_secs(3));
        println!("outage at {offset_ms} ms: {:?}", domain.oldest);
        assert!(
            domain.oldest.get() < domain.times.limit,
            "{:?}",
            domain.oldest
        );
    }
}

/// Guards against a fleet that all reads the store when it is down, and against a slow return.
#[test]
fn only_watchers_read_while_the_store_is_down_for_all() {
    let mut domain = SimDomain::settled(353);
    domain.set_store(|_| false);
    domain.run(Duration::from_mins(1));
    assert!(!domain.are_all_fresh());
    let others: u32 = domain.nodes[WATCHERS..].iter().map(|node| node.reads).sum();
    assert_eq!(others, 0);
    assert!(domain.reads() <= 60 * (4 + 7), "{}", domain.reads());
    domain.set_store(|_| true);
    domain.run(Duration::from_secs(2));
    assert!(domain.are_all_fresh());
}

/// Guards against refusals at nodes that have a path to the store by way of others only.
#[test]
fn half_of_the_nodes_without_the_store_get_proofs_from_the_others() {
    for parity in [0, 1] {
        let mut domain = SimDomain::settled(24);
        domain.set_store(|rank| rank % 2 == parity);
        domain.run(Duration::from_secs(30));
        assert!(
            domain.oldest.get() < domain.times.limit,
            "{:?}",
            domain.oldest
        );
    }
    // No watcher has a path, but others have: nodes of other domains stand for them here.
    let mut domain = SimDomain::settled(24);
    domain.set_store(|rank| rank >= WATCHERS);
    domain.nodes[9].has_peers = false;
    domain.run(Duration::from_secs(30));
    let isolated = domain.nodes[9].proof.age(domain.now);
    assert!(
        isolated.is_some_and(|age| age < domain.times.limit),
        "{isolated:?}"
    );
}

/// Guards against refusals at a node that reaches the store but no other node.
#[test]
fn node_that_reaches_no_other_reads_the_store_itself() {
    let mut domain = SimDomain::settled(23);
    for rank in [0, 3, 15] {
        domain.nodes[rank].has_peers = false;
    }
    domain.run(Duration::from_mins(1));
    assert!(
        domain.oldest.get() < BOUND.mul_f64(0.85),
        "{:?}",
        domain.oldest
    );
    assert!(domain.nodes[15].reads <= 60, "{}", domain.nodes[15].reads);
}

/// Guards against a start at which every node reads the store, and against one that takes long.
#[test]
fn nodes_that_start_together_get_proofs_by_one_read() {
    let mut domain = SimDomain::new(23);
    domain.run(Duration::from_secs(1));
    assert!(domain.are_all_fresh());
    assert_eq!(domain.reads(), domain.nodes[0].reads);
    // A node that joins later asks at once.
    domain.nodes[20].proof = FreshnessProof::default();
    domain.nodes[20].proof.set_held(5);
    domain.nodes[20].schedule = ProofSchedule::new(domain.now, domain.times, 0.5);
    domain.run(Duration::from_millis(50));
    assert!(domain.are_all_fresh());
}
