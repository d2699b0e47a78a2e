//! A rig in virtual time: fake targets, fixed delays, and the real router and gate.
//!
//! It is a fixture for `benches/policy.rs`. The same seed gives the same figures.

mod event_heap;
mod fake_target;
mod request_trace;
mod rig_figures;
mod rig_policy;
mod rig_run;
mod scenario;

pub use self::{
    request_trace::{RigRequest, generate_trace},
    rig_figures::RigFigures,
    rig_policy::{PickView, RigPolicy, simple_policies},
    rig_run::RigRun,
    scenario::{
        CALLER_TRIP_US, CAPROCK_FEW, CAPROCK_MANY, PWLL_FEW, PWLL_MANY, RigFault, RigScenario,
        RigShape, SECOND_US,
    },
};
