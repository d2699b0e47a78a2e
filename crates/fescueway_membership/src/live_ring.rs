//! A shuffled round of members to ping.

use fescueway_core::NodeId;
use rand_core::Rng;

/// A shuffled round of members: each is pinged once before any is pinged again.
#[derive(Clone, Debug, Default)]
pub struct LiveRing {
    /// May hold members that are gone; the reader skips them and they fall out at the next shuffle.
    nodes: Vec<NodeId>,
    next: usize,
}

impl LiveRing {
    /// Adds a member at a random place of the round.
    pub fn insert(&mut self, node: NodeId, random: &mut impl Rng) {
        self.nodes.push(node);
        let last = self.nodes.len() - 1;
        let place = pick_below(random, self.nodes.len());
        self.nodes.swap(place, last);
    }

    /// The next member of the round; at the end of it only what `is_live` stays, shuffled anew.
    pub fn next(
        &mut self,
        random: &mut impl Rng,
        is_live: impl Fn(NodeId) -> bool,
    ) -> Option<NodeId> {
        for _round in 0..2 {
            while let Some(node) = self.nodes.get(self.next).copied() {
                self.next += 1;
                if is_live(node) {
                    return Some(node);
                }
            }
            self.restart(random, &is_live);
        }
        None
    }

    /// A random member that `is_wanted`, after a bounded number of tries.
    pub fn pick(
        &self,
        random: &mut impl Rng,
        is_wanted: impl Fn(NodeId) -> bool,
    ) -> Option<NodeId> {
        const TRIES: usize = 16;
        if self.nodes.is_empty() {
            return None;
        }
        let mut tries = (0..TRIES).map(|_try| self.nodes[pick_below(random, self.nodes.len())]);
        tries.find(|node| is_wanted(*node))
    }

    fn restart(&mut self, random: &mut impl Rng, is_live: &impl Fn(NodeId) -> bool) {
        self.nodes.retain(|node| is_live(*node));
        self.nodes.sort_unstable();
        self.nodes.dedup();
        for last in (1..self.nodes.len()).rev() {
            let place = pick_below(random, last + 1);
            self.nodes.swap(place, last);
        }
        self.next = 0;
    }
}

/// A random number below `bound`, which is above zero.
pub fn pick_below(random: &mut impl Rng, bound: usize) -> usize {
    let wide = u128::from(random.next_u64()) * bound as u128;
    (wide >> u64::BITS) as usize
}
