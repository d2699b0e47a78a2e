//! Events of settings, start and stop: numbers from 3000.

use log::Level;

use crate::EventKind;

/// Log lines were dropped because the log was not read in time.
pub const LOG_LINES_LOST: EventKind = EventKind {
    number: 3013,
    level: Level::Warn,
    summary: "log lines dropped",
    fields: &["count"],
    advice: "Read the node's standard output faster, or raise `log.level`. Requests are not affected.",
};

/// Every event of this area.
pub const ALL: &[&EventKind] = &[
    &NODE_STARTED,
    &SETTINGS_REFUSED,
    &SETTINGS_RELOADED,
    &RELOAD_REFUSED,
    &OPERATOR_LISTENER_STARTED,
    &DRAIN_BEGAN,
    &DRAIN_ENDED,
    &STOP_BEGAN,
    &STOP_ENDED,
    &STOP_ABORTED_REQUESTS,
    &BURN_ALARM_BEGAN,
    &BURN_ALARM_ENDED,
    &LOG_LINES_LOST,
];

/// The node accepts requests.
pub const NODE_STARTED: EventKind = EventKind {
    number: 3001,
    level: Level::Info,
    summary: "node started",
    fields: &["node", "site", "domain", "address"],
    advice: "Nothing.",
};

/// The settings are invalid; the process exits with status 2.
pub const SETTINGS_REFUSED: EventKind = EventKind {
    number: 3002,
    level: Level::Error,
    summary: "settings refused",
    fields: &["error"],
    advice: "Correct the field that the error names and start the node again.",
};

/// The listener for operators serves status and metrics.
pub const OPERATOR_LISTENER_STARTED: EventKind = EventKind {
    number: 3003,
    level: Level::Info,
    summary: "status and metrics are served",
    fields: &["address"],
    advice: "Nothing.",
};

/// The targets beside this node take no new work.
pub const DRAIN_BEGAN: EventKind = EventKind {
    number: 3004,
    level: Level::Info,
    summary: "drain began",
    fields: &["reason"],
    advice: "Wait for E3005 before you stop the backend server.",
};

/// No request runs any more at the targets beside this node.
pub const DRAIN_ENDED: EventKind = EventKind {
    number: 3005,
    level: Level::Info,
    summary: "drain ended",
    fields: &["took_ms"],
    advice: "The backend server can be stopped.",
};

/// The node was told to stop and finishes the requests in flight.
pub const STOP_BEGAN: EventKind = EventKind {
    number: 3006,
    level: Level::Info,
    summary: "stop began",
    fields: &["in_flight", "limit_ms"],
    advice: "Nothing.",
};

/// The node has stopped.
pub const STOP_ENDED: EventKind = EventKind {
    number: 3007,
    level: Level::Info,
    summary: "node stopped",
    fields: &["took_ms"],
    advice: "Nothing.",
};

/// The stop timeout expired while requests were in flight; they were aborted.
pub const STOP_ABORTED_REQUESTS: EventKind = EventKind {
    number: 3008,
    level: Level::Warn,
    summary: "requests in flight aborted at stop",
    fields: &["in_flight", "limit_ms"],
    advice: "Give the node more time to stop, or look for requests without a deadline.",
};

/// The burn rate of a service rose above the threshold of an alarm.
pub const BURN_ALARM_BEGAN: EventKind = EventKind {
    number: 3009,
    level: Level::Warn,
    summary: "service-level burn alarm began",
    fields: &["service", "severity", "windows", "burn", "threshold"],
    advice: "See `Service-level burn` in docs/OPERATIONS.md; `fescueway burn` shows all services.",
};

/// The burn rate of a service is no longer above the threshold of an alarm.
pub const BURN_ALARM_ENDED: EventKind = EventKind {
    number: 3010,
    level: Level::Info,
    summary: "service-level burn alarm ended",
    fields: &["service", "severity", "windows"],
    advice: "Nothing.",
};

/// The settings were reloaded.
pub const SETTINGS_RELOADED: EventKind = EventKind {
    number: 3011,
    level: Level::Info,
    summary: "settings reloaded",
    fields: &[],
    advice: "Nothing. Only the service beside the node can change without a restart.",
};

/// The reloaded settings are invalid.
pub const RELOAD_REFUSED: EventKind = EventKind {
    number: 3012,
    level: Level::Error,
    summary: "changed settings refused",
    fields: &["error"],
    advice: "Correct the settings and send SIGHUP again; the node keeps its current settings.",
};
