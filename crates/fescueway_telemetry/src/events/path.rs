//! Events of connections, backend announcements and load reports: numbers from 1000.

use log::Level;

use crate::EventKind;

/// A connection could not be accepted. Logged once a second for each listener.
pub const ACCEPT_FAILED: EventKind = EventKind {
    number: 1000,
    level: Level::Warn,
    summary: "a connection could not be accepted",
    fields: &["listener", "error", "suppressed"],
    advice: "Raise the limit of open files, or lower the node's limits on connections.",
};

/// A peer's connection or message was refused. Logged once a second for each address.
pub const PEER_REFUSED: EventKind = EventKind {
    number: 1001,
    level: Level::Warn,
    summary: "a connection or message of a peer was refused",
    fields: &["peer", "error", "suppressed"],
    advice: "Find out what connects to the peer address. If an upgrade is under way, complete it.",
};

/// A caller's connection ended with an error.
pub const CALLER_FAILED: EventKind = EventKind {
    number: 1003,
    level: Level::Debug,
    summary: "a caller's connection ended with an error",
    fields: &["caller", "error"],
    advice: "Nothing, unless there are many.",
};

/// A backend server announced itself.
pub const BACKEND_ANNOUNCED: EventKind = EventKind {
    number: 1004,
    level: Level::Info,
    summary: "a backend server announced itself",
    fields: &["service", "address"],
    advice: "Nothing.",
};

/// A backend server left.
pub const BACKEND_LEFT: EventKind = EventKind {
    number: 1005,
    level: Level::Info,
    summary: "a backend server left",
    fields: &["service"],
    advice: "Nothing.",
};

/// A backend server stopped announcing itself.
pub const BACKEND_SILENT: EventKind = EventKind {
    number: 1006,
    level: Level::Warn,
    summary: "a backend server stopped announcing itself",
    fields: &["service"],
    advice: "Check whether it crashed. A backend server that stops on purpose says first that it leaves.",
};

/// A load report that came with an answer was ignored. Logged once a second for each service.
pub const LOAD_IGNORED: EventKind = EventKind {
    number: 1007,
    level: Level::Warn,
    summary: "a load report in the header of an answer was ignored",
    fields: &["service", "error", "suppressed"],
    advice: "Correct what the backend server sends in `endpoint-load-metrics`, or leave the header \
             out. The answer itself was passed on.",
};

/// A call of a backend server could not be parsed. Logged once a second for each path.
pub const BACKEND_CALL_INVALID: EventKind = EventKind {
    number: 1008,
    level: Level::Warn,
    summary: "a call of a backend server could not be parsed",
    fields: &["path", "reason", "suppressed"],
    advice: "Find the sender. The call names no target, so the known targets stay unchanged.",
};

/// A backend server named another limit of requests per second in its answers, or none any more. Logged
/// once a second for each service.
pub const SERVER_LIMIT_CHANGED: EventKind = EventKind {
    number: 1009,
    level: Level::Info,
    summary: "request rate limit of a backend server changed",
    fields: &[
        "service",
        "address",
        "limit_per_s",
        "previous_per_s",
        "suppressed",
    ],
    advice: "Find out why the backend server needs relief. Requests above the limit go to other targets; E1121 with \
             the reason `rate-limited` tells which offers were refused for it.",
};

/// What a backend server stated about itself in a header is not allowed. Logged when the value changes, at
/// most once a second for each service.
pub const SERVER_STATEMENT_INVALID: EventKind = EventKind {
    number: 1010,
    level: Level::Warn,
    summary: "a statement of a backend server in the header of an answer was ignored",
    fields: &["service", "address", "error", "suppressed"],
    advice: "Correct what the backend server sends. Its last valid statement remains in force.",
};

/// A backend server stated in an answer that it is leaving.
pub const SERVER_LEAVING: EventKind = EventKind {
    number: 1011,
    level: Level::Info,
    summary: "a backend server stated in an answer that it is leaving",
    fields: &["service", "address"],
    advice: "Nothing. It gets no new requests until another backend server is announced there.",
};

/// A report of a backend server was not acknowledged. Logged once a second for each backend server.
pub const REPORT_NOT_ACKNOWLEDGED: EventKind = EventKind {
    number: 1012,
    level: Level::Info,
    summary: "a report of a backend server was not acknowledged",
    fields: &["identity", "born_ms", "sequence", "draining", "suppressed"],
    advice: "Nothing, unless it repeats. Another instance is in use: the report was delayed, or the wall clock was \
             set back between two starts. In the latter case the next reports take effect.",
};

/// An answer of a backend server was cut, since it doesn't end. Logged once a second for each backend server.
pub const BACKEND_ANSWER_CUT: EventKind = EventKind {
    number: 1014,
    level: Level::Warn,
    summary: "an answer of a backend server was cut",
    fields: &["address", "reason", "suppressed"],
    advice: "Check the backend server. It counts as failing: query-too-long, its health endpoint sent more than 64 KiB; \
             rest-too-long or rest-too-late, an answer went on for 8 MiB, or beyond the deadline, after its caller had left.",
};

/// A connection to another node went silent while another one to the same node works.
pub const PEER_SILENT: EventKind = EventKind {
    number: 1013,
    level: Level::Info,
    summary: "silent connection to a peer closed",
    fields: &["peer", "streams"],
    advice: "Nothing, unless there are many: look for a device on the way that drops connections without a reset.",
};

/// A backend server became cold. Logged once a second for each service.
pub const TARGET_COLD: EventKind = EventKind {
    number: 1030,
    level: Level::Info,
    summary: "a backend server became cold; its requests are paced",
    fields: &["node", "service", "address", "left_ms", "suppressed"],
    advice: "Nothing, unless it repeats: then find out why it restarts or loses its caches. Requests above the warm-up \
             rate go to other targets; E1121 with the reason `target-cold` tells which offers were refused for it.",
};

/// The set of evacuated failure domains changed.
pub const EVACUATION_CHANGED: EventKind = EventKind {
    number: 1031,
    level: Level::Warn,
    summary: "the evacuated failure domains changed; nothing is sent to their targets",
    fields: &["node", "domains"],
    advice: "Nothing if operators requested it; an empty list ends the evacuation. `fescueway status` shows the list, \
             and docs/OPERATIONS.md how to end an evacuation.",
};

/// How much of a service remains beside the evacuated failure domains. Logged for each service when the
/// domains change.
pub const EVACUATION_CAPACITY: EventKind = EventKind {
    number: 1032,
    level: Level::Warn,
    summary: "capacity of a service that an evacuation leaves",
    fields: &["service", "targets_left", "slots_left", "slots_evacuated"],
    advice: "Compare the slots left with those in use. What they can't serve is refused at once, as not run.",
};

/// All targets of a service are in evacuated failure domains. Logged once a second for each service.
pub const SERVICE_EVACUATED: EventKind = EventKind {
    number: 1033,
    level: Level::Error,
    summary: "an evacuation leaves a service without a target; its requests are refused",
    fields: &["node", "service", "suppressed"],
    advice: "End the evacuation of one of the failure domains, or start targets of the service in another one.",
};

/// Every event of this area.
pub const ALL: &[&EventKind] = &[
    &ACCEPT_FAILED,
    &PEER_REFUSED,
    &CALLER_FAILED,
    &BACKEND_ANNOUNCED,
    &BACKEND_LEFT,
    &BACKEND_SILENT,
    &LOAD_IGNORED,
    &BACKEND_CALL_INVALID,
    &SERVER_LIMIT_CHANGED,
    &SERVER_STATEMENT_INVALID,
    &SERVER_LEAVING,
    &REPORT_NOT_ACKNOWLEDGED,
    &PEER_SILENT,
    &BACKEND_ANSWER_CUT,
    &TARGET_COLD,
    &EVACUATION_CHANGED,
    &EVACUATION_CAPACITY,
    &SERVICE_EVACUATED,
];
