//! Simple routing policies that fescueway is compared with.

use rand_core::Rng;
use rand_pcg::Pcg64;

use super::{
    fake_target::FakeTarget,
    scenario::{NEAR_TRIP_US, SimDeployment},
};

/// State of an entry that uses a simple policy.
#[derive(Clone, Debug)]
pub struct EntryState {
    /// Number of open offers at each target.
    pub open: Vec<u32>,
    /// Last reported load of each target, in requests.
    pub reported: Vec<u32>,
    /// Number of offers made so far.
    pub offered: usize,
}

/// Input of a simple policy's choice.
#[derive(Debug)]
pub struct PickView<'sim> {
    /// The deployment.
    pub deployment: &'sim SimDeployment,
    /// Index of the entry's failure domain.
    pub domain: usize,
    /// State of the entry.
    pub entry: &'sim EntryState,
    /// Current state of the targets, for the oracles.
    pub targets: &'sim [FakeTarget],
    /// Number of requests waiting at each target now, for the oracles.
    pub queued: &'sim [usize],
    /// Number of offers in transit to each target, for the oracle that also sees these.
    pub on_wire: &'sim [usize],
    /// Indices of the eligible targets. Never empty.
    pub open: &'sim [usize],
}

/// Routing policy of the simulation.
#[derive(Clone, Copy, Debug)]
pub struct SimPolicy {
    /// Its name in the tables.
    pub name: &'static str,
    /// Picks a target; `None` for fescueway's router.
    pub pick: Option<fn(&PickView<'_>, &mut Pcg64) -> usize>,
    /// Whether entries stop using a target as soon as its drain begins.
    pub is_told_of_drains: bool,
}

impl SimPolicy {
    /// Router and gate of fescueway.
    pub const FESCUEWAY: Self = Self {
        name: "fescueway",
        pick: None,
        is_told_of_drains: false,
    };

    /// Knows every target's load at the time of dispatch.
    pub const ORACLE: Self = Self {
        name: "oracle",
        pick: Some(pick_oracle),
        is_told_of_drains: false,
    };

    /// Also knows every offer in transit.
    pub const WIRE_ORACLE: Self = Self {
        name: "oracle + wire",
        pick: Some(pick_wire_oracle),
        is_told_of_drains: false,
    };
}

/// Returns the policies that use only what the entry itself knows, and drains: without these they
/// would keep using a target that leaves, which no policy may do.
#[must_use]
pub fn simple_policies() -> [SimPolicy; 4] {
    let policy = |name, pick| SimPolicy {
        name,
        pick: Some(pick),
        is_told_of_drains: true,
    };
    [
        policy("random", pick_random),
        policy("round robin", |view, _| {
            view.open[view.entry.offered % view.open.len()]
        }),
        policy("least in flight", |view, random| {
            pick_least(view, random, |index| view.entry.open[index])
        }),
        policy("two choices", pick_two_choices),
    ]
}

/// Picks a random target.
fn pick_random(view: &PickView<'_>, random: &mut Pcg64) -> usize {
    view.open[random.next_u64() as usize % view.open.len()]
}

/// Picks the less loaded of two random targets by their last reports.
fn pick_two_choices(view: &PickView<'_>, random: &mut Pcg64) -> usize {
    let first = pick_random(view, random);
    let second = pick_random(view, random);
    if view.entry.reported[second] < view.entry.reported[first] {
        second
    } else {
        first
    }
}

/// Picks the target of the lowest cost; the random start of the scan breaks ties.
fn pick_least<C: PartialOrd>(
    view: &PickView<'_>,
    random: &mut Pcg64,
    cost: impl Fn(usize) -> C,
) -> usize {
    let start = random.next_u64() as usize % view.open.len();
    let (before, after) = view.open.split_at(start);
    let mut best = after[0];
    for &index in after.iter().chain(before) {
        if cost(index) < cost(best) {
            best = index;
        }
    }
    best
}

/// Picks the target of the earliest expected completion by its current load.
fn pick_oracle(view: &PickView<'_>, random: &mut Pcg64) -> usize {
    pick_least(view, random, |index| completion_us(view, index, 0))
}

/// Picks like [`pick_oracle`], with offers in transit counted as load.
fn pick_wire_oracle(view: &PickView<'_>, random: &mut Pcg64) -> usize {
    pick_least(view, random, |index| {
        completion_us(view, index, view.on_wire[index])
    })
}

/// Returns the expected time until the answer in microseconds, and the target's load per slot.
fn completion_us(view: &PickView<'_>, index: usize, on_wire: usize) -> (f64, f64) {
    let target = &view.targets[index];
    let load = target.running() + view.queued[index] + on_wire;
    let waiting = (load + 1).saturating_sub(target.slots) as f64;
    let busy = target.slots.min(load + 1) as f64;
    let rate = target.speed * (target.cores / busy).min(1.0);
    let service_us = view.deployment.mean_service_us / rate;
    let trip_us = if target.domain == view.domain {
        NEAR_TRIP_US
    } else {
        view.deployment.far_trip_us
    };
    let wait_us = waiting * service_us / target.slots as f64;
    let failing_us = if target.is_failing { 1e9 } else { 0.0 };
    let cost = wait_us + service_us + 2.0 * trip_us as f64 + failing_us;
    (cost, load as f64 / target.slots as f64)
}
