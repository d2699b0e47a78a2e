//! Which of several services gets a route's next request.

/// Deals requests out by weight: after any number of them each part is off its share by no more
/// requests than there are parts.
///
/// ```
/// # use fescueway_routing::WeightedRoundRobin;
/// let mut counter = WeightedRoundRobin::default();
/// let parts: Vec<_> = (0..4).map(|_| counter.next(&[3, 1])).collect();
/// assert_eq!(parts.iter().filter(|part| **part == 0).count(), 3);
/// ```
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    /// What each part is owed, in requests times the sum of the weights. The sum is zero.
    owed: Vec<i64>,
}

impl WeightedRoundRobin {
    /// The part that gets the next request, as an index into `weights`. Zero when there are none.
    pub fn next(&mut self, weights: &[u32]) -> usize {
        self.owed.resize(weights.len(), 0);
        for (owed, weight) in self.owed.iter_mut().zip(weights) {
            *owed += i64::from(*weight);
        }
        let sum: i64 = weights.iter().map(|weight| i64::from(*weight)).sum();
        let most = (0..self.owed.len())
            .rev()
            .max_by_key(|part| self.owed[*part]);
        let part = most.unwrap_or(0);
        if let Some(owed) = self.owed.get_mut(part) {
            *owed -= sum;
        }
        part
    }
}
