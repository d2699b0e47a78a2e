//! Control-plane cost of a whole node, with real daemons, sockets and timers on loopback.

mod call_bytes;
mod counting_proxy;
mod fleet_thread;
mod node_cost;
mod store_thread;

pub use self::{
    call_bytes::CallBytes,
    counting_proxy::CountingProxy,
    fleet_thread::{FleetSample, FleetThread},
    node_cost::{NodeCost, NodeRates},
    store_thread::StoreThread,
};
