//! The order in which members are pinged.

use fescueway_core::NodeId;
use rand_core::Rng;

/// A shuffled list of members: each is pinged once before any is pinged again.
#[derive(Clone, Debug, Default)]
pub struct ProbeOrder {
    /// May contain members that are gone. They are skipped, and removed at the next shuffle.
    nodes: Vec<NodeId>,
    position: usize,
}

impl ProbeOrder {
    /// Inserts a member at a random position.
    pub fn insert(&mut self, node: NodeId, random: &mut impl Rng) {
        self.nodes.push(node);
        let last = self.nodes.len() - 1;
        let index = random_below(random, self.nodes.len());
        self.nodes.swap(index, last);
    }

    /// Returns the next live member. At the end of the list, removes members that are not live and
    /// shuffles the rest.
    pub fn next_member(
        &mut self,
        random: &mut impl Rng,
        is_live: impl Fn(NodeId) -> bool,
    ) -> Option<NodeId> {
        for _pass in 0..2 {
            while let Some(node) = self.nodes.get(self.position).copied() {
                self.position += 1;
                if is_live(node) {
                    return Some(node);
                }
            }
            self.reshuffle(random, &is_live);
        }
        None
    }

    /// Samples a random member for which `is_wanted` holds; gives up after a bounded number of
    /// samples.
    pub fn pick(
        &self,
        random: &mut impl Rng,
        is_wanted: impl Fn(NodeId) -> bool,
    ) -> Option<NodeId> {
        const MAX_ATTEMPTS: usize = 16;
        if self.nodes.is_empty() {
            return None;
        }
        let mut samples =
            (0..MAX_ATTEMPTS).map(|_sample| self.nodes[random_below(random, self.nodes.len())]);
        samples.find(|node| is_wanted(*node))
    }

    fn reshuffle(&mut self, random: &mut impl Rng, is_live: &impl Fn(NodeId) -> bool) {
        self.nodes.retain(|node| is_live(*node));
        self.nodes.sort_unstable();
        self.nodes.dedup();
        for last in (1..self.nodes.len()).rev() {
            let index = random_below(random, last + 1);
            self.nodes.swap(index, last);
        }
        self.position = 0;
    }
}

/// A random number below `bound`, which must be above zero.
pub fn random_below(random: &mut impl Rng, bound: usize) -> usize {
    let wide = u128::from(random.next_u64()) * bound as u128;
    (wide >> u64::BITS) as usize
}
