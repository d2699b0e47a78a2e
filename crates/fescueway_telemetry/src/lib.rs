//! What operators see: numbered events, metrics and service-level burn.
//!
//! Events ([`EventKind`], [`emit`]) go to the log, whose form [`LogPlan`] sets; an [`EventLimit`]
//! keeps those that strangers can cause at will from flooding it, and an [`EventBudget`] those of single
//! requests. A [`LogQueue`] keeps a slow reader from holding up who logs. A [`MetricSet`]
//! holds the metrics of one node; nothing is global. A [`BurnTracker`] counts which requests kept
//! their objective and makes the [`BurnReport`] from it; it is given the time and reads no clock.

mod burn_plot;
mod burn_report;
mod burn_tracker;
mod count_ring;
mod event_budget;
mod event_kind;
mod event_limit;
mod event_page;
pub mod events;
mod json_line;
mod log_queue;
mod log_setup;
mod metric_set;
mod node_status;
mod request_end;
mod service_metrics;

pub use crate::{
    burn_plot::{PlotError, burn_svg},
    burn_report::{
        BURN_ALARMS, BurnAlarm, BurnReport, BurnSeverity, BurnWindow, ServiceBurn, WindowCount,
    },
    burn_tracker::{AlarmChange, BurnTracker},
    event_budget::EventBudget,
    event_kind::{EventKind, LOG_TARGET, emit},
    event_limit::EventLimit,
    event_page::event_page,
    log_queue::LogQueue,
    log_setup::{LogForm, LogPlan},
    metric_set::{MetricError, MetricSet, NodeGauges, NodeTotals, StoreCalls},
    node_status::{NodeStatus, StoreState, TargetList, TargetStatus},
    request_end::{RequestEnd, RouteResult},
    service_metrics::{ServiceLoad, ServiceMetrics},
};
