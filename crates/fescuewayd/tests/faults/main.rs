//! Several simultaneous faults over real sockets: in-process nodes, a store and backend servers.
//!
//! Each scenario runs with each of the [`SEEDS`], from which its arrivals and the times of its
//! faults are drawn. It checks invariants, never how long something took.

mod call_record;
mod caller;
mod crash_scenario;
mod domain_scenario;
mod fault_site;
mod invariants;
mod load_plan;
mod operator_scenario;
mod outage_scenario;
mod revision_watch;
mod site_vm;

/// Seeds for the fault schedules and the arrivals.
const SEEDS: [u64; 3] = [61, 62, 63];
