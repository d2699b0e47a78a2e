//! Admission control at the host: decides which requests run at the backend server now, which wait
//! and which are refused.
//!
//! A [`TargetGate`] admits the requests of one target. It is given the time and the events and
//! returns typed messages; it does no I/O and reads no clock.

mod answered_requests;
mod backend_registry;
mod concurrency_limit;
mod gate_plan;
mod health_tracker;
mod notice_tracker;
mod probe_budget;
mod probe_scheduler;
mod service_estimate;
mod slow_start;
mod start_pacer;
mod stop_schedule;
mod suspect_decision;
mod suspect_list;
mod suspect_message;
mod target_gate;
mod wait_queue;
mod warmup_pace;
mod warmup_pacer;
mod work_pace;

pub use crate::{
    backend_registry::{BackendRegistry, BackendReport, ReportOutcome},
    gate_plan::GatePlan,
    health_tracker::{HealthStatus, HealthTracker},
    probe_budget::ProbeBudget,
    probe_scheduler::{ProbeEnd, ProbeScheduler},
    stop_schedule::StopSchedule,
    suspect_decision::{SuspectDecision, SuspectEnd},
    suspect_list::SuspectList,
    suspect_message::{CrashId, SuspectMessage, SuspectReply},
    target_gate::{GateAction, GateCounts, GateResult, RunEnd, TargetGate, TicketId},
    warmup_pace::WarmupPace,
};
