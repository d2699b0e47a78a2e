//! Bounds on the figures of a bench.

use crate::is_known_red;

/// Upper bound and the measured value.
#[derive(Clone, Debug)]
pub struct BenchBound {
    /// Name, as listed in `KNOWN-RED.txt`.
    pub name: String,
    /// Measured value.
    pub value: f64,
    /// Largest allowed value.
    pub limit: f64,
}

/// Prints the broken bounds. Returns whether one of them isn't listed as known.
#[must_use]
pub fn print_broken(bounds: &[BenchBound]) -> bool {
    let mut has_unknown = false;
    for bound in bounds {
        let is_known = is_known_red(&bound.name);
        let is_broken = bound.value > bound.limit;
        let verdict = match (is_broken, is_known) {
            (true, true) => "known red",
            (true, false) => "BROKEN",
            (false, true) => "holds, but is listed as known red",
            (false, false) => continue,
        };
        has_unknown |= is_broken && !is_known;
        let BenchBound { name, value, limit } = bound;
        println!("{verdict}: {name}: {value:.4}, bound {limit:.4}");
    }
    has_unknown
}
