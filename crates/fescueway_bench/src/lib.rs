//! Fixtures for the benches: a simulation in virtual time that drives the routing and admission
//! crates, models of the fleet's control traffic, and whole nodes on loopback.

mod bench_bound;
mod event_queue;
pub mod fleet;
mod known_red;
pub mod mesh;
pub mod simulation;
mod thread_usage;
pub mod whole_node;

pub use self::{
    bench_bound::{BenchBound, print_broken},
    known_red::is_known_red,
    thread_usage::{ThreadUsage, resident_bytes},
};
