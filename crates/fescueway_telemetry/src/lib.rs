//! What operators observe: numbered events, metrics and service-level burn.
//!
//! Events ([`EventKind`], [`emit`]) go to the log, whose format is set by [`LogConfig`]. A
//! [`SourceRateLimit`] limits events that remote parties can cause at will, and an [`EventRateLimit`]
//! those of single requests. A [`LogQueue`] keeps a slow log reader from blocking the threads that log.
//! A [`MetricSet`] holds the metrics of one node; nothing is global. A [`BurnTracker`] counts which
//! requests met their objective and creates the [`BurnReport`]; the time is passed in and no clock is
//! read.

mod burn_plot;
mod burn_report;
mod burn_tracker;
mod count_ring;
mod event_kind;
mod event_page;
mod event_rate_limit;
pub mod events;
mod json_line;
mod log_config;
mod log_queue;
mod metric_set;
mod node_status;
mod request_end;
mod service_metrics;
mod source_rate_limit;

pub use crate::{
    burn_plot::{PlotError, burn_svg},
    burn_report::{
        BURN_ALARMS, BurnAlarm, BurnReport, BurnSeverity, BurnWindow, HedgeCount, ServiceBurn,
        WindowCount,
    },
    burn_tracker::{AlarmChange, BurnTracker},
    event_kind::{EventKind, LOG_TARGET, emit},
    event_page::event_page,
    event_rate_limit::EventRateLimit,
    log_config::{LogConfig, LogFormat},
    log_queue::LogQueue,
    metric_set::{AllotmentCounts, MetricError, MetricSet, NodeGauges, NodeTotals, StoreCalls},
    node_status::{ColdTarget, NodeStatus, StoreState, TargetList, TargetStatus},
    request_end::{RequestEnd, RouteResult},
    service_metrics::{ServiceLoad, ServiceMetrics},
    source_rate_limit::SourceRateLimit,
};
