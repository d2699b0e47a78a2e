//! Simulation in virtual time of several services that call each other, with a node beside each
//! target: the real routers and gates, fake targets, fixed network delays.
//!
//! Used by `benches/mesh.rs`. The same seed gives the same results.

mod mesh_deployment;
mod mesh_event;
mod mesh_results;
mod mesh_run;
mod mesh_scenario;
mod repeat_ledger;

pub use self::{
    mesh_deployment::{
        CAPROCK_LARGE, CAPROCK_LARGE_TWIN, MeshDeployment, MeshService, NestedCall, RequestKind,
    },
    mesh_results::{KindTally, MeshResults, SecondTally, SlotAccount},
    mesh_run::MeshRun,
    mesh_scenario::{MeshFault, MeshScenario},
};
