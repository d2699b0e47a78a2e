//! Counts of an entry's decisions.

/// Counts of an entry's decisions since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AllotmentTotals {
    /// Requests admitted with a token of the account's owner.
    pub admitted: u64,
    /// Requests refused because the account had used its allotment.
    pub refused: u64,
    /// Requests admitted from the entry's fixed share, for lack of an owner.
    pub admitted_by_share: u64,
    /// Requests refused because the entry's fixed share was used up, for lack of an owner.
    pub refused_by_share: u64,
    /// Messages sent to owners on other nodes.
    pub questions: u64,
}
