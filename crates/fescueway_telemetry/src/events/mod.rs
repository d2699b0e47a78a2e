//! The catalogue of events, a module for each area.

pub mod claim;
pub mod control;
pub mod operator;
pub mod path;
pub mod request;

use crate::EventKind;

/// All events of all areas, ordered by number.
#[must_use]
pub fn all() -> Vec<&'static EventKind> {
    let areas = [
        path::ALL,
        request::ALL,
        control::ALL,
        operator::ALL,
        claim::ALL,
    ];
    let mut kinds: Vec<_> = areas.into_iter().flatten().copied().collect();
    kinds.sort_by_key(|kind| kind.number);
    kinds
}
