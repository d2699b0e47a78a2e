//! The simple policies that fescueway is measured against.

use rand_core::Rng;
use rand_pcg::Pcg64;

use super::{
    fake_target::FakeTarget,
    scenario::{NEAR_TRIP_US, RigShape},
};

/// What an entry with a simple policy keeps.
#[derive(Clone, Debug)]
pub struct SimpleEntry {
    /// Its open offers at each target.
    pub open: Vec<u32>,
    /// The load that each target last reported.
    pub reported: Vec<u32>,
    /// Offers made so far.
    pub offered: usize,
}

/// What a simple policy picks from.
#[derive(Debug)]
pub struct PickView<'rig> {
    /// The deployment.
    pub shape: &'rig RigShape,
    /// Index of the entry's failure domain.
    pub domain: usize,
    /// What the entry keeps.
    pub entry: &'rig SimpleEntry,
    /// The targets as they are at this instant, for the oracle.
    pub targets: &'rig [FakeTarget],
    /// Requests that wait at each target at this instant, for the oracle.
    pub queued: &'rig [usize],
    /// Offers on their way to each target, for the oracle that sees the wire too.
    pub on_wire: &'rig [usize],
    /// Indices of the targets to choose from. Never empty.
    pub open: &'rig [usize],
}

/// A policy of the rig.
#[derive(Clone, Copy, Debug)]
pub struct RigPolicy {
    /// Its name in the tables.
    pub name: &'static str,
    /// Picks a target; `None` for the router of fescueway.
    pub pick: Option<fn(&PickView<'_>, &mut Pcg64) -> usize>,
    /// Whether every entry leaves a target at the instant that it is told to drain.
    pub is_told_of_drains: bool,
}

impl RigPolicy {
    /// The router and gate of fescueway.
    pub const FESCUEWAY: Self = Self {
        name: "fescueway",
        pick: None,
        is_told_of_drains: false,
    };

    /// Knows every target's load at the instant of the dispatch.
    pub const ORACLE: Self = Self {
        name: "oracle",
        pick: Some(pick_oracle),
        is_told_of_drains: false,
    };

    /// Knows that and every offer that is on its way.
    pub const WIRE_ORACLE: Self = Self {
        name: "oracle + wire",
        pick: Some(pick_wire_oracle),
        is_told_of_drains: false,
    };
}

/// The policies that need no knowledge beyond an entry's own, but that of drains: without it they
/// would go on using the target that leaves, which no policy may.
#[must_use]
pub fn simple_policies() -> [RigPolicy; 4] {
    let policy = |name, pick| RigPolicy {
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

/// Any target.
fn pick_random(view: &PickView<'_>, random: &mut Pcg64) -> usize {
    view.open[random.next_u64() as usize % view.open.len()]
}

/// The better of two random targets by the last report.
fn pick_two_choices(view: &PickView<'_>, random: &mut Pcg64) -> usize {
    let first = pick_random(view, random);
    let second = pick_random(view, random);
    if view.entry.reported[second] < view.entry.reported[first] {
        second
    } else {
        first
    }
}

/// The target of the lowest cost, ties broken at random.
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

/// The target of the least expected completion, by its load at this instant.
fn pick_oracle(view: &PickView<'_>, random: &mut Pcg64) -> usize {
    pick_least(view, random, |index| completion_us(view, index, 0))
}

/// The same with the offers on their way counted as load.
fn pick_wire_oracle(view: &PickView<'_>, random: &mut Pcg64) -> usize {
    pick_least(view, random, |index| {
        completion_us(view, index, view.on_wire[index])
    })
}

/// Expected time from now to the answer, in microseconds; then the share of the slots in use.
fn completion_us(view: &PickView<'_>, index: usize, on_wire: usize) -> (f64, f64) {
    let target = &view.targets[index];
    let load = target.running() + view.queued[index] + on_wire;
    let waiting = (load + 1).saturating_sub(target.slots) as f64;
    let busy = target.slots.min(load + 1) as f64;
    let rate = target.speed * (target.cores / busy).min(1.0);
    let service_us = view.shape.mean_us / rate;
    let trip_us = if target.domain == view.domain {
        NEAR_TRIP_US
    } else {
        view.shape.far_trip_us
    };
    let wait_us = waiting * service_us / target.slots as f64;
    let failing_us = if target.is_failing { 1e9 } else { 0.0 };
    let cost = wait_us + service_us + 2.0 * trip_us as f64 + failing_us;
    (cost, load as f64 / target.slots as f64)
}
