//! An entry's share of limits of the fleet.

use fescueway_core::fnv1a_64;

/// An entry's position among the live entries of the fleet, by which limits of the fleet are divided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetShare {
    /// Number of live entries with a lower id.
    pub rank: u32,
    /// Number of live entries, this one included. At least one.
    pub entries: u32,
}

impl Default for FleetShare {
    fn default() -> Self {
        Self {
            rank: 0,
            entries: 1,
        }
    }
}

impl FleetShare {
    /// This entry's whole part of `total`. Over all entries the parts add up to the whole part of
    /// `total`. Those that get one more than others differ by `salt`.
    #[must_use]
    pub fn part_of(self, total: f64, salt: u64) -> u64 {
        let entries = u64::from(self.entries.max(1));
        (total.max(0.0) as u64 + self.rotated_rank(salt)) / entries
    }

    /// Rounds this entry's own `value` down or up, so that the sum over entries with an equal value is
    /// the whole part of the sum of their values.
    #[must_use]
    pub fn rounded(self, value: f64, salt: u64) -> u64 {
        let phase = self.rotated_rank(salt) as f64 / f64::from(self.entries.max(1));
        (value.max(0.0) + phase) as u64
    }

    /// The rank, rotated by `salt`.
    fn rotated_rank(self, salt: u64) -> u64 {
        let entries = u64::from(self.entries.max(1));
        let mixed = fnv1a_64(&salt.to_le_bytes());
        (u64::from(self.rank) + mixed % entries) % entries
    }
}
