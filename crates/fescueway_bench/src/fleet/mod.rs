//! What control costs: membership, configuration and the store, measured in virtual time and
//! worked out for the size that the system has to carry.

mod alloc_count;
mod capacity_page;
mod capacity_row;
mod claim_load;
mod config_cost;
mod fleet_figures;
mod fleet_target;
mod gossip_cost;
mod news_time;
mod one_instance;
mod store_load;

pub use self::{
    alloc_count::CountingAllocator,
    capacity_page::CapacityPage,
    capacity_row::CapacityRow,
    claim_load::ClaimLoad,
    config_cost::ConfigCost,
    fleet_figures::filled_share,
    fleet_target::FleetTarget,
    gossip_cost::{GossipCost, slope},
    news_time::NewsTime,
    one_instance::InstanceCost,
    store_load::StoreLoad,
};
