//! A fleet in virtual time: entries, owners, messages with a delay, and what each node sees of the others.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fescueway_allotment::{
    AccountAnswer, AllotmentEntry, AllotmentOwner, EntryDecision, FleetView, OwnerQuestion,
    WaitEnd, WaitId,
};
use fescueway_config::AllotmentPlan;
use fescueway_core::{AccountName, MonoTime, NodeId, Priority};
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;

/// Time limit of a message and of a waiting request.
const TIME_LIMIT: Duration = Duration::from_millis(250);

/// Interval of the updates of a node's view.
const TICK: Duration = Duration::from_millis(200);

/// A request whose decision is known.
#[derive(Clone, Debug)]
pub struct Decided {
    /// When it was decided.
    pub at: MonoTime,
    /// How long it waited for that.
    pub waited: Duration,
    /// The account.
    pub account: AccountName,
    /// The priority.
    pub priority: Priority,
    /// `Ok` if it ran, else when it is to come again.
    pub result: Result<(), Duration>,
}

/// A stream of requests with Poisson arrivals.
#[derive(Clone, Debug)]
pub struct Load {
    /// The account.
    pub account: AccountName,
    /// Requests per second.
    pub per_s: f64,
    /// The share of each entry, of any sum.
    pub weights: Vec<f64>,
    /// The priority.
    pub priority: Priority,
    /// First and last second.
    pub seconds: (f64, f64),
}

/// One node.
struct Node {
    id: NodeId,
    view: FleetView,
    owner: AllotmentOwner,
    entry: AllotmentEntry,
    started_at: MonoTime,
    down_at: Option<MonoTime>,
    frozen_at: MonoTime,
    frozen_until: MonoTime,
    /// Nodes of different groups don't reach each other.
    group: usize,
    grouped_at: MonoTime,
}

#[derive(Clone, Debug)]
enum Event {
    Tick(usize),
    Arrival(usize, AccountName, Priority),
    GiveUp(usize, AccountName, WaitId),
    Question(u64),
    Answer(u64, Vec<AccountAnswer>),
    TimeOut(u64),
}

/// A message without an answer yet.
#[derive(Clone, Debug)]
struct Message {
    from: usize,
    to: NodeId,
    question: OwnerQuestion,
}

/// A fleet in virtual time.
pub struct Fleet {
    pub now: MonoTime,
    pub plans: BTreeMap<AccountName, AllotmentPlan>,
    pub decided: Vec<Decided>,
    /// Number of messages received by each node.
    pub received: BTreeMap<NodeId, u64>,
    pub random: Pcg64Mcg,
    nodes: Vec<Node>,
    events: BTreeMap<(MonoTime, u64), Event>,
    messages: BTreeMap<u64, Message>,
    waits: BTreeMap<(usize, WaitId), (MonoTime, AccountName, Priority)>,
    sequence: u64,
}

impl Fleet {
    /// A fleet that has run for long.
    pub fn new(count: usize, seed: u64) -> Self {
        let mut fleet = Self {
            now: MonoTime::ZERO,
            plans: BTreeMap::new(),
            decided: Vec::new(),
            received: BTreeMap::new(),
            random: Pcg64Mcg::new(u128::from(seed) << 1 | 1),
            nodes: Vec::new(),
            events: BTreeMap::new(),
            messages: BTreeMap::new(),
            waits: BTreeMap::new(),
            sequence: 0,
        };
        for _ in 0..count {
            fleet.start_node();
        }
        fleet.run_until(100.0);
        fleet
    }

    /// Starts a node and returns its index.
    pub fn start_node(&mut self) -> usize {
        let id = NodeId(self.random.next_u64());
        let index = self.nodes.len();
        self.nodes.push(Node {
            id,
            view: FleetView::new(id),
            owner: AllotmentOwner::default(),
            entry: AllotmentEntry::new(id.0),
            started_at: self.now,
            down_at: None,
            frozen_at: MonoTime::ZERO,
            frozen_until: MonoTime::ZERO,
            group: 0,
            grouped_at: MonoTime::ZERO,
        });
        let offset = Duration::from_millis(self.random.next_u64() % 200);
        self.push(self.now + offset, Event::Tick(index));
        index
    }

    /// Kills a node.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].down_at = Some(self.now);
    }

    /// Freezes a node for a time.
    pub fn freeze(&mut self, index: usize, time: Duration) {
        self.nodes[index].frozen_at = self.now;
        self.nodes[index].frozen_until = self.now + time;
    }

    /// Puts nodes into a group that doesn't reach the others.
    pub fn set_group(&mut self, indexes: impl IntoIterator<Item = usize>, group: usize) {
        for index in indexes {
            self.nodes[index].group = group;
            self.nodes[index].grouped_at = self.now;
        }
    }

    /// The node that owns an account by the view of the node `index`.
    pub fn owner_of(&self, account: &AccountName, index: usize) -> usize {
        let owner = self.nodes[index].view.owner(account).expect("an owner");
        let mut ids = self.nodes.iter().map(|node| node.id);
        ids.position(|id| id == owner).expect("a node")
    }

    /// The entry of a node.
    pub fn entry(&self, index: usize) -> &AllotmentEntry {
        &self.nodes[index].entry
    }

    /// Number of accounts that have a bucket at any node.
    pub fn owned_accounts(&self) -> usize {
        self.nodes.iter().map(|node| node.owner.len()).sum()
    }

    /// Sets the limit of an account.
    pub fn set_plan(&mut self, name: &str, rate_per_s: f64, burst: f64) -> AccountName {
        let account = AccountName::from(name);
        let plan = AllotmentPlan { rate_per_s, burst };
        self.plans.insert(account.clone(), plan);
        account
    }

    /// Adds the arrivals of a load.
    pub fn add_load(&mut self, load: &Load) {
        let total: f64 = load.weights.iter().sum();
        let mut at = load.seconds.0;
        loop {
            at += -(1.0 - self.fraction()).ln() / load.per_s;
            if at > load.seconds.1 {
                return;
            }
            let mut point = self.fraction() * total;
            let chosen = load.weights.iter().position(|weight| {
                point -= weight;
                point < 0.0
            });
            let entry = chosen.unwrap_or_default();
            let event = Event::Arrival(entry, load.account.clone(), load.priority);
            self.push(MonoTime::ZERO + Duration::from_secs_f64(at), event);
        }
    }

    /// Runs until a time in seconds.
    pub fn run_until(&mut self, seconds: f64) {
        let end = MonoTime::ZERO + Duration::from_secs_f64(seconds);
        while let Some(entry) = self.events.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let event = entry.remove();
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Asserts the bound in each window of 5 s.
    pub fn assert_bound(&self, account: &AccountName, plan: &AllotmentPlan) {
        let limit = (plan.rate_per_s * 5.0 + plan.burst) * 1.1 + 20.0;
        let runs = self.runs(account, 0.0, f64::MAX);
        let mut first = 0;
        for (last, at) in runs.iter().enumerate() {
            while at - runs[first] >= 5.0 {
                first += 1;
            }
            let ran = last + 1 - first;
            assert!(
                ran as f64 <= limit,
                "{account}: {ran} ran within 5 s before {at} s, {limit} may"
            );
        }
    }

    /// Most requests that ran in a window of 5 s that began after `from_s`.
    pub fn most_in_window(&self, account: &AccountName, from_s: f64) -> usize {
        let runs = self.runs(account, from_s, f64::MAX);
        let mut first = 0;
        let mut most = 0;
        for (last, at) in runs.iter().enumerate() {
            while at - runs[first] >= 5.0 {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }

    /// The times in seconds at which requests ran.
    pub fn runs(&self, account: &AccountName, from_s: f64, to_s: f64) -> Vec<f64> {
        let runs = self
            .decided
            .iter()
            .filter(|one| one.account == *account && one.result.is_ok());
        let times = runs.map(|one| one.at.as_micros() as f64 / 1e6);
        times.filter(|at| *at >= from_s && *at < to_s).collect()
    }

    /// Number of refused requests.
    pub fn refused(&self) -> usize {
        self.decided
            .iter()
            .filter(|one| one.result.is_err())
            .count()
    }

    /// A random number from 0 to below 1.
    pub fn fraction(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn push(&mut self, at: MonoTime, event: Event) {
        self.sequence += 1;
        self.events.insert((at.max(self.now), self.sequence), event);
    }

    fn is_running(&self, index: usize) -> bool {
        self.nodes[index].down_at.is_none()
    }

    /// Whether messages pass between two nodes.
    fn is_reachable(&self, from: usize, to: usize) -> bool {
        self.is_running(to) && self.nodes[from].group == self.nodes[to].group
    }

    /// What a node sees of another: `None` if it isn't live, else whether it is suspected. A loss is
    /// suspected after 1 to 2.5 s and certain after 3.5 to 4 s; a new node is known after 0.2 to 1 s.
    fn sees(&self, from: usize, to: usize) -> Option<bool> {
        let (own, other) = (&self.nodes[from], &self.nodes[to]);
        if from == to {
            return Some(false);
        }
        let spread = (own.id.0 ^ other.id.0.rotate_left(7)) % 1_000;
        let spread = Duration::from_millis(spread);
        let grouped_at = own.grouped_at.max(other.grouped_at);
        let lost_at = match other.down_at {
            Some(at) => Some(at),
            None if own.group != other.group => Some(grouped_at),
            None => None,
        };
        // A node that starts hears only of nodes that are still there.
        if other.down_at.is_some_and(|at| at <= own.started_at) {
            return None;
        }
        let is_frozen = other.frozen_until > self.now;
        let lost_at = lost_at.or_else(|| is_frozen.then_some(other.frozen_at));
        let was_gone = other.frozen_until.since(other.frozen_at) >= Duration::from_millis(3_500);
        let thawed_at = if was_gone {
            other.frozen_until
        } else {
            MonoTime::ZERO
        };
        let Some(lost_at) = lost_at else {
            let since = other
                .started_at
                .max(grouped_at)
                .max(own.started_at)
                .max(thawed_at);
            let is_first = since == MonoTime::ZERO;
            let known_at = since + Duration::from_millis(200) + spread.mul_f64(0.8);
            return (is_first || self.now >= known_at).then_some(false);
        };
        let lost_for = self.now.since(lost_at);
        // Many nodes that are cut off at once are noticed more slowly than one.
        let slowness = if own.group == other.group { 1.0 } else { 2.5 };
        let lost_for = lost_for.div_f64(slowness);
        let is_suspect = lost_for >= Duration::from_secs(1) + spread.mul_f64(1.5);
        let is_gone = lost_for >= Duration::from_millis(3_500) + spread / 2;
        (!is_gone).then_some(is_suspect)
    }

    /// The node that a frozen one's event is delayed for.
    fn node_of(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Tick(index) | Event::Arrival(index, ..) | Event::GiveUp(index, ..) => {
                Some(*index)
            }
            Event::Question(id) => {
                let to = self.messages.get(id)?.to;
                self.nodes.iter().position(|node| node.id == to)
            }
            Event::Answer(id, _) | Event::TimeOut(id) => Some(self.messages.get(id)?.from),
        }
    }

    fn handle(&mut self, event: Event) {
        let Some(index) = self.node_of(&event) else {
            return;
        };
        let frozen_until = self.nodes[index].frozen_until;
        if frozen_until > self.now {
            self.push(frozen_until, event);
            return;
        }
        if !self.is_running(index) {
            return;
        }
        let now = self.now;
        match event {
            Event::Tick(_) => self.tick(index),
            Event::Arrival(_, account, priority) => self.arrive(index, account, priority),
            Event::GiveUp(_, account, id) => {
                let plan = self.plans[&account];
                let node = &mut self.nodes[index];
                let decision = node.entry.give_up(now, &node.view, (&account, &plan), id);
                let result = match decision {
                    None => return,
                    Some(EntryDecision::Refused(retry_after)) => Err(retry_after),
                    Some(_) => Ok(()),
                };
                self.end_waits(index, vec![WaitEnd { id, result }]);
            }
            Event::Question(id) => {
                let message = self.messages[&id].clone();
                let answers = self.answer(index, &message.question);
                *self.received.entry(message.to).or_default() += 1;
                if self.is_reachable(index, message.from) {
                    let delay = self.delay();
                    self.push(now + delay, Event::Answer(id, answers));
                }
            }
            Event::Answer(id, answers) => {
                let Some(Message { to, question, .. }) = self.messages.remove(&id) else {
                    return;
                };
                self.answered(index, to, &question, &answers);
            }
            Event::TimeOut(id) => {
                let Some(Message { to, question, .. }) = self.messages.remove(&id) else {
                    return;
                };
                let plans = &self.plans;
                let node = &mut self.nodes[index];
                let plan_of = |name: &AccountName| plans.get(name).copied();
                let ends = node.entry.failed(now, &node.view, (to, &question), plan_of);
                self.end_waits(index, ends);
            }
        }
        self.send(index);
    }

    fn tick(&mut self, index: usize) {
        let now = self.now;
        let seen = (0..self.nodes.len()).filter_map(|other| {
            let is_suspect = self.sees(index, other)?;
            Some((self.nodes[other].id, is_suspect))
        });
        let seen: Vec<_> = seen.collect();
        let has_searched = now.since(self.nodes[index].started_at) >= Duration::from_millis(1_200);
        let plans = &self.plans;
        let node = &mut self.nodes[index];
        node.view.update(now, has_searched, seen);
        node.owner.sweep(now, |name| plans.get(name).copied());
        node.entry.sweep(now, &node.view);
        self.push(now + TICK, Event::Tick(index));
    }

    fn arrive(&mut self, index: usize, account: AccountName, priority: Priority) {
        let (now, plan) = (self.now, self.plans[&account]);
        let node = &mut self.nodes[index];
        let decision = node
            .entry
            .request(now, &node.view, (&account, &plan), priority);
        let result = match decision {
            EntryDecision::Admitted => Ok(()),
            EntryDecision::Refused(retry_after) => Err(retry_after),
            EntryDecision::Wait(id) => {
                self.waits
                    .insert((index, id), (now, account.clone(), priority));
                self.push(now + TIME_LIMIT, Event::GiveUp(index, account, id));
                return;
            }
        };
        self.decided.push(Decided {
            at: now,
            waited: Duration::ZERO,
            account,
            priority,
            result,
        });
    }

    fn answer(&mut self, index: usize, question: &OwnerQuestion) -> Vec<AccountAnswer> {
        let (now, plans) = (self.now, &self.plans);
        let node = &mut self.nodes[index];
        let answers = question.accounts.iter().map(|asked| {
            let plan = plans[&asked.account];
            node.owner.answer(now, &node.view, &plan, asked)
        });
        answers.collect()
    }

    fn answered(
        &mut self,
        index: usize,
        owner: NodeId,
        question: &OwnerQuestion,
        answers: &[AccountAnswer],
    ) {
        let (now, plans) = (self.now, &self.plans);
        let node = &mut self.nodes[index];
        let plan_of = |name: &AccountName| plans.get(name).copied();
        let asked = (owner, question);
        let ends = node
            .entry
            .answered(now, &node.view, asked, answers, plan_of);
        self.end_waits(index, ends);
    }

    fn send(&mut self, index: usize) {
        loop {
            let now = self.now;
            let node = &mut self.nodes[index];
            let questions = node.entry.next_questions(now, &node.view);
            if questions.is_empty() {
                return;
            }
            for (to, question) in questions {
                if to == self.nodes[index].id {
                    let answers = self.answer(index, &question);
                    self.answered(index, to, &question, &answers);
                    continue;
                }
                self.sequence += 1;
                let id = self.sequence;
                let from = index;
                self.messages.insert(id, Message { from, to, question });
                let target = self.nodes.iter().position(|node| node.id == to);
                if target.is_some_and(|target| self.is_reachable(index, target)) {
                    let delay = self.delay();
                    self.push(now + delay, Event::Question(id));
                }
                self.push(now + TIME_LIMIT, Event::TimeOut(id));
            }
        }
    }

    fn end_waits(&mut self, index: usize, ends: Vec<WaitEnd>) {
        for end in ends {
            let wait = self.waits.remove(&(index, end.id));
            let Some((arrived_at, account, priority)) = wait else {
                continue;
            };
            self.decided.push(Decided {
                at: self.now,
                waited: self.now.since(arrived_at),
                account,
                priority,
                result: end.result,
            });
        }
    }

    /// The delay of a message: 0.5 to 1.5 ms.
    fn delay(&mut self) -> Duration {
        Duration::from_micros(500 + self.random.next_u64() % 1_000)
    }
}

/// Weights of callers that are spread unevenly: a few entries get most requests.
pub fn uneven_weights(count: usize) -> Vec<f64> {
    (0..count).map(|index| 1.0 / (index as f64 + 2.0)).collect()
}

/// Weights of callers at the first `used` entries only.
pub fn few_entries(count: usize, used: usize) -> Vec<f64> {
    let weights = (0..count).map(|index| if index < used { 1.0 } else { 0.0 });
    weights.collect()
}

/// The distinct values of some items.
pub fn distinct<T: Ord>(items: impl IntoIterator<Item = T>) -> usize {
    items.into_iter().collect::<BTreeSet<T>>().len()
}
