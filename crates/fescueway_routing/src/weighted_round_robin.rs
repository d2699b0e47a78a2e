//! Distributes a route's requests over several services.

/// Smooth weighted round robin: after any number of requests, each part is off its share by at most
/// as many requests as there are parts.
///
/// ```
/// # use fescueway_routing::WeightedRoundRobin;
/// let mut counter = WeightedRoundRobin::default();
/// let parts: Vec<_> = (0..4).map(|_| counter.next(&[3, 1])).collect();
/// assert_eq!(parts.iter().filter(|part| **part == 0).count(), 3);
/// ```
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    /// Credit of each part, in requests times the sum of the weights. The credits add up to zero.
    credits: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Returns the part that gets the next request, as an index into `weights`. Zero if there are
    /// none.
    pub fn next(&mut self, weights: &[u32]) -> usize {
        self.credits.resize(weights.len(), 0);
        for (credits, weight) in self.credits.iter_mut().zip(weights) {
            *credits += i64::from(*weight);
        }
        let sum: i64 = weights.iter().map(|weight| i64::from(*weight)).sum();
        let richest = (0..self.credits.len())
            .rev()
            .max_by_key(|part| self.credits[*part]);
        let part = richest.unwrap_or(0);
        if let Some(credits) = self.credits.get_mut(part) {
            *credits -= sum;
        }
        part
    }
}
