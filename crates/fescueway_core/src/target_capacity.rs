//! The capacity that a backend server states.

use std::{
    error::Error,
    fmt::{Display, Formatter, Result as FormatResult},
};

/// Requests and connections that a backend server states, before validation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RawCapacity {
    /// Requests that it can run at once.
    pub slots: u32,
    /// Connections that it accepts at once.
    pub connections: u32,
}

/// Requests that a backend server can run at once, and connections that it accepts at once.
///
/// ```
/// # use fescueway_core::{RawCapacity, TargetCapacity};
/// let raw = |slots| RawCapacity { slots, connections: 250 };
/// assert_eq!(TargetCapacity::try_from(raw(10))?.slots(), 10);
/// assert!(TargetCapacity::try_from(raw(u32::MAX)).is_err());
/// # Ok::<(), fescueway_core::CapacityError>(())
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetCapacity {
    /// From 1 to [`TargetCapacity::MAX`].
    slots: u32,
    /// From 1 to [`TargetCapacity::MAX`].
    connections: u32,
}

/// Why a stated number is no capacity.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CapacityError {
    /// The field that holds the number.
    field: &'static str,
    /// The number.
    found: u32,
}

impl TargetCapacity {
    /// Largest number of slots and of connections: a host has no more ports for connections to one
    /// address, and each running request needs one.
    pub const MAX: u32 = 65_535;

    /// Requests that the backend server can run at once.
    #[must_use]
    pub const fn slots(self) -> u32 {
        self.slots
    }

    /// Connections that the backend server accepts at once.
    #[must_use]
    pub const fn connections(self) -> u32 {
        self.connections
    }
}

impl TryFrom<RawCapacity> for TargetCapacity {
    type Error = CapacityError;

    fn try_from(raw: RawCapacity) -> Result<Self, CapacityError> {
        let check = |field, found| match found {
            1..=Self::MAX => Ok(found),
            _ => Err(CapacityError { field, found }),
        };
        Ok(Self {
            slots: check("slots", raw.slots)?,
            connections: check("connections", raw.connections)?,
        })
    }
}

impl Display for CapacityError {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        let (field, found, max) = (self.field, self.found, TargetCapacity::MAX);
        write!(f, "field {field}: found {found}; allowed: 1 to {max}")
    }
}

impl Error for CapacityError {}
