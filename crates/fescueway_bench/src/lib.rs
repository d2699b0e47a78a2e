//! Fixtures for the benches: a small rig in virtual time that drives the decision crates, and
//! whole nodes on loopback.

pub mod fleet;
mod known_red;
pub mod rig;
mod thread_use;
pub mod whole_node;

pub use self::{
    known_red::is_known_red,
    thread_use::{ThreadUse, resident_bytes},
};
