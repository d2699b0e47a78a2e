//! Cost of the control plane: membership, configuration and the store, measured in virtual time and
//! extrapolated to the fleet size that the system must support.

mod capacity_page;
mod capacity_row;
mod claim_load;
mod config_cost;
mod counting_allocator;
mod fleet_measurements;
mod fleet_requirements;
mod gossip_cost;
mod instance_cost;
mod propagation_time;
mod store_load;

pub use self::{
    capacity_page::CapacityPage,
    capacity_row::CapacityRow,
    claim_load::ClaimLoad,
    config_cost::ConfigCost,
    counting_allocator::CountingAllocator,
    fleet_measurements::filled_share,
    fleet_requirements::FleetRequirements,
    gossip_cost::{GossipCost, slope},
    instance_cost::InstanceCost,
    propagation_time::PropagationTime,
    store_load::StoreLoad,
};
