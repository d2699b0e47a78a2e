//! Routing at the entry, the node that receives a request: picks the target of each offer.
//!
//! A [`ServiceRouter`] holds one service's targets as this entry sees them. It takes the time, a
//! random generator and events, and returns an [`OfferPermit`] or a refusal. It does no I/O.

mod body_sizes;
mod caller_wait_estimator;
mod disturbed_domain;
mod ejection_state;
mod fleet_share;
mod hedge_limit;
mod hedge_limiter;
mod hedge_policy;
mod latency_histogram;
mod latency_quantile;
mod notice_board;
mod offer_budget;
mod offer_permit;
mod pool_view;
mod route_event;
mod routing_plan;
mod service_router;
mod silence_detector;
mod sliding_count;
mod target_choice;
mod target_subset;
mod target_view;
mod weighted_round_robin;

pub use crate::{
    caller_wait_estimator::CallerWaitEstimator,
    fleet_share::FleetShare,
    hedge_limit::HedgeLimit,
    notice_board::NoticeBoard,
    offer_permit::{HandedOver, OfferPermit},
    route_event::{EjectionChange, OfferEnd, RouteEvent},
    routing_plan::RoutingPlan,
    service_router::{PickResult, ServiceRouter},
    silence_detector::{PeerSilence, SilenceDetector, SilenceStep},
    weighted_round_robin::WeightedRoundRobin,
};
