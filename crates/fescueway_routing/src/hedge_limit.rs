//! Operator's limit on the hedges of a service or route.

/// Operator's limit on the hedges of a service or route. A service or route without one hedges only
/// requests at targets that are known to be slow.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HedgeLimit {
    /// Hedges as a share of the first offers, from 0 to 1; `None` for no limit of this kind.
    pub share: Option<f64>,
    /// Hedges per second of all entries together; `None` for no limit of this kind.
    pub per_s: Option<f64>,
}
