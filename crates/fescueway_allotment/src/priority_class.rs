//! Indexes counts by the priority of requests.

use fescueway_core::Priority;

/// Number of priorities.
pub const CLASSES: usize = 3;

/// The index of a priority, lowest for the most urgent.
pub const fn class_of(priority: Priority) -> usize {
    match priority {
        Priority::High => 0,
        Priority::Normal => 1,
        Priority::Low => 2,
    }
}
