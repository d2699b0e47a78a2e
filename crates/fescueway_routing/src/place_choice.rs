//! The choice among the targets of a subset.

use fescueway_core::NodeId;
use rand_core::Rng;

use crate::target_view::{PickScene, TargetView};

/// Targets that are compared for one offer. A larger subset is sampled.
const MAX_COMPARED: usize = 6;

/// Share of the reachable targets that has to be trusted; below it all of them get work, since then the
/// cause is likelier to lie elsewhere and the few left would be overrun.
const PANIC_SHARE: f64 = 0.5;

/// Range of a uniform variable of 16 bits.
const UNIFORM_RANGE: f64 = 65_536.0;

/// Scales the sum of four uniform variables from 0 to 1 to a variance of 1.
const UNIFORM_SCALE: f64 = 1.732;

/// The best and the second best place for an offer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlaceChoice {
    /// Index of the best view.
    pub(crate) best: usize,
    /// Score of the second best view, in microseconds; `None` when there is no other.
    pub(crate) next_score_us: Option<f64>,
}

/// Compares targets that are neither draining nor in `tried`. Distrusted ones only count when
/// most are.
pub(crate) fn choose_place(
    views: &mut [TargetView],
    scene: &PickScene<'_>,
    tried: &[NodeId],
    random: &mut impl Rng,
) -> Option<PlaceChoice> {
    let mut reachable = 0_usize;
    let mut trusted = 0_usize;
    for view in views.iter_mut().filter(|view| !view.is_draining) {
        if !view.is_trusted() {
            view.tick(scene.now);
        }
        reachable += usize::from(view.is_reachable() || view.is_trusted());
        trusted += usize::from(view.is_trusted());
    }
    let is_panic = (trusted as f64) < PANIC_SHARE * reachable as f64;
    let may_use = |view: &TargetView| {
        // What can't be reached helps nobody, unless nothing else is there.
        let is_open = view.is_trusted() || (is_panic && view.is_reachable()) || reachable == 0;
        !view.is_draining && !tried.contains(&view.node) && is_open
    };
    let start = random.next_u32() as usize % views.len().max(1);
    // Going round from a random start breaks ties at random and samples large subsets.
    let order = (start..views.len()).chain(0..start);
    let candidates = order
        .filter(|&index| may_use(&views[index]))
        .take(MAX_COMPARED);
    let scores = candidates.map(|index| {
        let noise = standard_normal(random);
        (index, views[index].score_us(scene, noise))
    });
    best_two(scores)
}

/// The lowest score's index and the second lowest score.
fn best_two(scores: impl Iterator<Item = (usize, f64)>) -> Option<PlaceChoice> {
    let mut best: Option<(usize, f64)> = None;
    let mut next_score_us: Option<f64> = None;
    for (index, score_us) in scores {
        match best {
            Some((_, best_us)) if score_us >= best_us => {
                let next_us = next_score_us.unwrap_or(f64::INFINITY);
                next_score_us = Some(next_us.min(score_us));
            }
            _ => {
                next_score_us = best.map(|(_, best_us)| best_us);
                best = Some((index, score_us));
            }
        }
    }
    best.map(|(best, _)| PlaceChoice {
        best,
        next_score_us,
    })
}

/// A nearly standard normal variable: the sum of four uniform ones.
fn standard_normal(random: &mut impl Rng) -> f64 {
    let bits = random.next_u64();
    let sum: f64 = (0..4)
        .map(|part| f64::from((bits >> (16 * part)) as u16))
        .sum();
    (sum / UNIFORM_RANGE - 2.0) * UNIFORM_SCALE
}
