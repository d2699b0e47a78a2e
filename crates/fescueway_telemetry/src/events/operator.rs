//! Events of settings, start and stop: numbers from 3000.

use log::Level;

use crate::EventKind;

/// Log lines were left out because nobody read the log in time.
pub const LOG_LINES_LOST: EventKind = EventKind {
    number: 3013,
    level: Level::Warn,
    summary: "log lines were left out",
    fields: &["count"],
    advice: "Read the node's standard output faster, or raise `log.level`. Requests go on meanwhile.",
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

/// The node takes requests.
pub const NODE_STARTED: EventKind = EventKind {
    number: 3001,
    level: Level::Info,
    summary: "node started",
    fields: &["node", "site", "domain", "address"],
    advice: "Nothing.",
};

/// The settings are wrong; the process exits with 2.
pub const SETTINGS_REFUSED: EventKind = EventKind {
    number: 3002,
    level: Level::Error,
    summary: "settings refused",
    fields: &["error"],
    advice: "Mend the field that the error names and start the node again.",
};

/// Status and metrics can be read.
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
    advice: "Wait for E3005 before the backend server is stopped.",
};

/// Nothing runs any more at the targets beside this node.
pub const DRAIN_ENDED: EventKind = EventKind {
    number: 3005,
    level: Level::Info,
    summary: "drain ended",
    fields: &["took_ms"],
    advice: "The backend server can be stopped.",
};

/// The node was told to stop and finishes what is in flight.
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

/// The time to stop ran out while requests were in flight.
pub const STOP_ABORTED_REQUESTS: EventKind = EventKind {
    number: 3008,
    level: Level::Warn,
    summary: "stop cut off requests",
    fields: &["in_flight", "limit_ms"],
    advice: "Give the node more time to stop, or look for requests without a deadline.",
};

/// The error budget of a service burns faster than an alarm allows.
pub const BURN_ALARM_BEGAN: EventKind = EventKind {
    number: 3009,
    level: Level::Warn,
    summary: "service-level burn alarm began",
    fields: &["service", "severity", "windows", "burn", "threshold"],
    advice: "See `Service-level burn` in docs/OPERATIONS.md; `fescueway burn` shows all services.",
};

/// The error budget of a service burns slowly again.
pub const BURN_ALARM_ENDED: EventKind = EventKind {
    number: 3010,
    level: Level::Info,
    summary: "service-level burn alarm ended",
    fields: &["service", "severity", "windows"],
    advice: "Nothing.",
};

/// The settings were read again.
pub const SETTINGS_RELOADED: EventKind = EventKind {
    number: 3011,
    level: Level::Info,
    summary: "settings read again",
    fields: &[],
    advice: "Nothing. Only the service beside the node changes without a restart.",
};

/// The settings were read again and are wrong.
pub const RELOAD_REFUSED: EventKind = EventKind {
    number: 3012,
    level: Level::Error,
    summary: "changed settings refused",
    fields: &["error"],
    advice: "Mend the settings and send SIGHUP again; the node goes on with those that it has.",
};
