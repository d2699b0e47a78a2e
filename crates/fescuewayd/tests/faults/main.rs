//! Several faults at once on real sockets: in-process nodes, a store and backend servers.
//!
//! Each scenario draws its arrivals and the times of its faults from each of [`SEEDS`], and checks
//! what must hold at all times, never how long something took.

mod call_record;
mod caller;
mod crash_scenario;
mod domain_scenario;
mod fault_site;
mod load_plan;
mod operator_scenario;
mod outage_scenario;
mod revision_watch;
mod site_vm;
mod verdict;

/// Seeds of the schedules and the arrivals.
const SEEDS: [u64; 3] = [61, 62, 63];
