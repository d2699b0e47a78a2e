//! Simulation in virtual time: fake targets, fixed network delays, and the real router and gate.
//!
//! Used by `benches/policy.rs`. The same seed gives the same results.

mod fake_target;
mod request_trace;
mod scenario;
mod sim_event;
mod sim_policy;
mod sim_results;
mod sim_run;

pub use self::{
    request_trace::{SimRequest, generate_trace},
    scenario::{
        CALLER_TRIP_US, CAPROCK_FEW, CAPROCK_MANY, PWLL_FEW, PWLL_MANY, SECOND_US, SimDeployment,
        SimFault, SimScenario,
    },
    sim_policy::{PickView, SimPolicy, simple_policies},
    sim_results::SimResults,
    sim_run::SimRun,
};
