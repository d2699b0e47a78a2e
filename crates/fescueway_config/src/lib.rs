//! Configuration: a base file and an overlay per site, merged and checked into a [`SitePlan`].
//!
//! Raw documents become checked plans by `TryFrom`; a plan that exists is valid.

mod service_plan;
mod site_plan;

pub use crate::{
    service_plan::{ClaimPlan, ObjectivePlan, ProbePlan, RetryPlan, RoutePlan, ServicePlan},
    site_plan::SitePlan,
};
