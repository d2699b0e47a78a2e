//! Chooses the best target of a subset.

use fescueway_core::NodeId;
use rand_core::Rng;

use crate::target_view::{PickContext, TargetView};

/// Maximum number of targets compared per offer. A larger subset is sampled.
const MAX_COMPARED: usize = 6;

/// Panic threshold: the share of reachable targets that must be eligible. Below it, ejected
/// targets that are reachable get requests too, because the cause is then likely elsewhere and the
/// few remaining targets would be overloaded.
const PANIC_SHARE: f64 = 0.5;

/// Range of a uniform 16-bit variable.
const UNIFORM_RANGE: f64 = 65_536.0;

/// Scales the sum of four uniform variables in 0 to 1 to a variance of 1.
const UNIFORM_SCALE: f64 = 1.732;

/// The best target for an offer, and the score of the runner-up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetChoice {
    /// Index of the best view.
    pub(crate) best: usize,
    /// Score of the second best view, in microseconds; `None` if there is only one candidate.
    pub(crate) runner_up_score_us: Option<f64>,
}

/// Compares the targets that are neither draining, in an evacuated failure domain, nor in `tried`. Ejected targets are candidates
/// only when most are ejected or none is reachable.
pub(crate) fn choose_target(
    views: &mut [TargetView],
    context: &PickContext<'_>,
    tried: &[NodeId],
    random: &mut impl Rng,
) -> Option<TargetChoice> {
    let mut reachable = 0_usize;
    let mut eligible = 0_usize;
    let now = context.now;
    let is_open = |view: &TargetView| !view.is_draining && !view.is_excluded(now);
    for view in views.iter_mut().filter(|view| is_open(view)) {
        if !view.is_eligible() {
            view.tick(context.now);
        }
        reachable += usize::from(view.is_reachable() || view.is_eligible());
        eligible += usize::from(view.is_eligible());
    }
    let is_panic = (eligible as f64) < PANIC_SHARE * reachable as f64;
    let is_candidate = |view: &TargetView| {
        // Unreachable targets are used only if no target is reachable.
        let is_allowed = view.is_eligible() || (is_panic && view.is_reachable()) || reachable == 0;
        is_open(view) && !tried.contains(&view.node) && is_allowed
    };
    let start = random.next_u32() as usize % views.len().max(1);
    // A random starting point breaks ties at random and samples large subsets.
    let order = (start..views.len()).chain(0..start);
    let candidates = order
        .filter(|&index| is_candidate(&views[index]))
        .take(MAX_COMPARED);
    let scores = candidates.map(|index| {
        let noise = standard_normal(random);
        (index, views[index].score_us(context, noise))
    });
    best_two(scores)
}

/// Returns the index of the lowest score, with the second lowest score.
fn best_two(scores: impl Iterator<Item = (usize, f64)>) -> Option<TargetChoice> {
    let mut best: Option<(usize, f64)> = None;
    let mut runner_up_score_us: Option<f64> = None;
    for (index, score_us) in scores {
        match best {
            Some((_, best_us)) if score_us >= best_us => {
                let next_us = runner_up_score_us.unwrap_or(f64::INFINITY);
                runner_up_score_us = Some(next_us.min(score_us));
            }
            _ => {
                runner_up_score_us = best.map(|(_, best_us)| best_us);
                best = Some((index, score_us));
            }
        }
    }
    best.map(|(best, _)| TargetChoice {
        best,
        runner_up_score_us,
    })
}

/// An approximately standard normal variable: the sum of four uniform ones.
fn standard_normal(random: &mut impl Rng) -> f64 {
    let bits = random.next_u64();
    let sum: f64 = (0..4)
        .map(|part| f64::from((bits >> (16 * part)) as u16))
        .sum();
    (sum / UNIFORM_RANGE - 2.0) * UNIFORM_SCALE
}
