//! What control costs a whole node: real daemons with their sockets and timers, on loopback.

mod byte_counter;
mod call_bytes;
mod fleet_thread;
mod node_cost;
mod store_thread;

pub use self::{
    byte_counter::ByteCounter,
    call_bytes::CallBytes,
    fleet_thread::{FleetSample, FleetThread},
    node_cost::{NodeCost, NodeFigures},
    store_thread::StoreThread,
};
