//! Fixtures for the benches: a small rig in virtual time that drives the decision crates.

pub mod fleet;
pub mod rig;
