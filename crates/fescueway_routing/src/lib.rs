//! Routing at the entry: which target gets a request next.
//!
//! A [`ServiceRouter`] holds one service's targets as this entry sees them. It takes the time, a
//! random generator and events, and answers with an [`OfferPermit`] or a refusal. It does no I/O.

mod body_sizes;
mod caller_patience;
mod latency_quantile;
mod offer_budget;
mod offer_permit;
mod place_choice;
mod pool_view;
mod route_event;
mod routing_plan;
mod service_router;
mod split_counter;
mod target_phase;
mod target_subset;
mod target_view;

pub use crate::{
    caller_patience::CallerPatience,
    offer_permit::{HandedOver, OfferPermit},
    route_event::{OfferEnd, RouteEvent, TrustChange},
    routing_plan::RoutingPlan,
    service_router::{PickResult, ServiceRouter},
    split_counter::SplitCounter,
};
