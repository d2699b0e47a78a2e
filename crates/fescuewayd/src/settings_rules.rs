//! The rules for the numbers in the settings.

use fescueway_config::NumberRule;

/// The rules of all numbers in the settings.
pub const SETTINGS_RULES: &[&NumberRule] = &[
    &CALLER_CONNECTIONS,
    &PEER_CONNECTIONS,
    &HEADER_BYTES,
    &BODY_BYTES,
    &HEADER_TIMEOUT,
    &BODY_IDLE,
    &CONNECT_TIMEOUT,
    &CONNECTION_IDLE,
    &LOG_LINES,
    &STOP_TIMEOUT,
    &STOP_GRACE,
    &ANNOUNCE_TIMEOUT,
    &STOP_LINGER,
    &RETRY_SLACK,
    &KEY_PROOF,
    &HEDGE_SHARE,
    &HEDGE_PER_S,
];

/// Maximum number of open connections of callers.
pub const CALLER_CONNECTIONS: NumberRule = NumberRule {
    field: "limits.caller_connections",
    unit: "connections",
    default: 1_024.0,
    min: 1.0,
    max: 65_536.0,
    is_whole: true,
    meaning: "Connections of callers that are open at once.",
};

/// Maximum number of open connections of peers.
pub const PEER_CONNECTIONS: NumberRule = NumberRule {
    field: "limits.peer_connections",
    unit: "connections",
    default: 1_024.0,
    min: 1.0,
    max: 65_536.0,
    is_whole: true,
    meaning: "Connections of other nodes that are open at once.",
};

/// Maximum size of request heads.
pub const HEADER_BYTES: NumberRule = NumberRule {
    field: "limits.header_bytes",
    unit: "bytes",
    default: 32_768.0,
    min: 8_192.0,
    max: 65_536.0,
    is_whole: true,
    meaning: "Largest head of a request.",
};

/// Maximum size of request bodies.
pub const BODY_BYTES: NumberRule = NumberRule {
    field: "limits.body_bytes",
    unit: "bytes",
    default: 67_108_864.0,
    min: 0.0,
    max: 1_099_511_627_776.0,
    is_whole: true,
    meaning: "Largest body of a request, of any service.",
};

/// Timeout for request heads.
pub const HEADER_TIMEOUT: NumberRule = NumberRule {
    field: "limits.header_timeout_ms",
    unit: "ms",
    default: 10_000.0,
    min: 100.0,
    max: 600_000.0,
    is_whole: true,
    meaning: "Timeout for receiving a request's head; an idle connection of a caller closes after the same time.",
};

/// Timeout between bytes of a body.
pub const BODY_IDLE: NumberRule = NumberRule {
    field: "limits.body_idle_ms",
    unit: "ms",
    default: 30_000.0,
    min: 100.0,
    max: 600_000.0,
    is_whole: true,
    meaning: "A body that transfers no byte for this long is aborted.",
};

/// Timeout for connecting.
pub const CONNECT_TIMEOUT: NumberRule = NumberRule {
    field: "limits.connect_timeout_ms",
    unit: "ms",
    default: 500.0,
    min: 10.0,
    max: 10_000.0,
    is_whole: true,
    meaning: "Opening a connection to a node or a backend server may take this long.",
};

/// Idle timeout of connections.
pub const CONNECTION_IDLE: NumberRule = NumberRule {
    field: "limits.connection_idle_ms",
    unit: "ms",
    default: 30_000.0,
    min: 1_000.0,
    max: 3_600_000.0,
    is_whole: true,
    meaning: "A connection to a node or a backend server closes after this long without use.",
};

/// Log rate of lines about single requests.
pub const LOG_LINES: NumberRule = NumberRule {
    field: "log.lines_per_s",
    unit: "lines a second",
    default: 100.0,
    min: 1.0,
    max: 100_000.0,
    is_whole: true,
    meaning: "Maximum rate of log lines of each kind about single requests. Suppressed lines are counted.",
};

/// Timeout for stopping.
pub const STOP_TIMEOUT: NumberRule = NumberRule {
    field: "stop_timeout_ms",
    unit: "ms",
    default: 10_000.0,
    min: 0.0,
    max: 600_000.0,
    is_whole: true,
    meaning: "A stop waits this long for requests in flight.",
};

/// Time after which a stopping process is killed.
pub const STOP_GRACE: NumberRule = NumberRule {
    field: "stop_grace_ms",
    unit: "ms",
    default: 0.0,
    min: 1.0,
    max: 3_600_000.0,
    is_whole: false,
    meaning: "Time from SIGTERM until the process is killed. Requests in flight are aborted when a twelfth of it is left, even if `stop_timeout_ms` is longer. Not given: the process is not killed.",
};

/// Timeout of announcements.
pub const ANNOUNCE_TIMEOUT: NumberRule = NumberRule {
    field: "announce_timeout_ms",
    unit: "ms",
    default: 10_000.0,
    min: 500.0,
    max: 600_000.0,
    is_whole: true,
    meaning: "A backend server that does not announce itself again within this time is considered gone.",
};

/// How long a stopping node keeps accepting connections.
pub const STOP_LINGER: NumberRule = NumberRule {
    field: "stop_linger_ms",
    unit: "ms",
    default: 0.0,
    min: 0.0,
    max: 60_000.0,
    is_whole: true,
    meaning: "A stopping node keeps accepting connections for this long, for callers that have not seen yet that it is not ready.",
};

/// Retries that all entries together may make for a service beyond their share.
pub const RETRY_SLACK: NumberRule = NumberRule {
    field: "retry_slack",
    unit: "retries",
    default: 0.0,
    min: 0.0,
    max: 1_000_000.0,
    is_whole: false,
    meaning: "Retries and hedges beyond their share that all entries together may make for a service. Not given: 10 for each entry.",
};

/// Maximum age of a proof that the configuration is the latest one.
pub const KEY_PROOF: NumberRule = NumberRule {
    field: "key_proof_ms",
    unit: "ms",
    default: 0.0,
    min: 1_000.0,
    max: 600_000.0,
    is_whole: false,
    meaning: "The keys of client accounts are accepted only while the configuration is proven to have been the latest one at most this long ago. Needs a configuration that is stored as a single document. Not given: no bound.",
};

/// Hedges of a service whose configuration doesn't limit them, as a share of the first offers.
pub const HEDGE_SHARE: NumberRule = NumberRule {
    field: "hedge_share",
    unit: "share of the first offers",
    default: 0.0,
    min: 0.0,
    max: 1.0,
    is_whole: false,
    meaning: "As `retry.hedge_share`, for services whose configuration doesn't limit hedges. Not given: no such limit.",
};

/// Hedges per second of a service whose configuration doesn't limit them.
pub const HEDGE_PER_S: NumberRule = NumberRule {
    field: "hedge_per_s",
    unit: "hedges per second",
    default: 0.0,
    min: 0.0,
    max: 1_000_000.0,
    is_whole: false,
    meaning: "As `retry.hedge_per_s`, for services whose configuration doesn't limit hedges. Not given: no such limit.",
};
