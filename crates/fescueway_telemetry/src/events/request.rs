//! Events of single requests: numbers from 1100.
//!
//! Each has the `node` that logs it and, when it is about one request, the request's `id`, so that the
//! lines of all nodes can be joined into a trace of the request. Times are in microseconds. A node limits
//! the lines per second of each kind; `suppressed` is the number left out before the line.

use log::Level;

use crate::EventKind;

/// At the entry: answered within the objective.
pub const ANSWERED: EventKind = EventKind {
    number: 1100,
    level: Level::Info,
    summary: "request answered",
    fields: &[
        "id",
        "node",
        "route",
        "service",
        "target",
        "status",
        "offers",
        "hedges",
        "latency_us",
        "objective_us",
        "suppressed",
    ],
    advice: "Nothing.",
};

/// At the entry: answered after the objective.
pub const ANSWERED_LATE: EventKind = EventKind {
    number: 1101,
    summary: "request answered late",
    advice: "Compare with E1120 of its target: `waited_us` there is the time in the queue, `took_us` the time at the \
             backend server. The rest is network time and the other offers (E1111 to E1113).",
    ..ANSWERED
};

/// At the entry: the request failed, or may have run without an answer.
pub const FAILED: EventKind = EventKind {
    number: 1102,
    level: Level::Warn,
    summary: "request failed",
    fields: &[
        "id",
        "node",
        "route",
        "service",
        "target",
        "status",
        "outcome",
        "offers",
        "hedges",
        "latency_us",
        "suppressed",
    ],
    advice: "`outcome` tells whether it ran. See E1111 with its id for the lost offer, and E2002 for the node of its \
             target.",
};

/// At the entry: refused; it did not run.
pub const REFUSED: EventKind = EventKind {
    number: 1103,
    level: Level::Info,
    summary: "request refused",
    fields: &[
        "id",
        "node",
        "route",
        "service",
        "status",
        "reason",
        "stopped_by",
        "offers",
        "latency_us",
        "suppressed",
    ],
    advice: "`reason` is what the caller was told, `stopped_by` why the entry made no further offer. See `Refusals` in docs/OPERATIONS.md. E1121 with its id has the load of the hosts that refused it.",
};

/// At the entry: no route, no service or a malformed request.
pub const UNROUTED: EventKind = EventKind {
    number: 1104,
    level: Level::Info,
    summary: "request without a route rejected",
    fields: &["id", "node", "status", "suppressed"],
    advice: "Compare the request's host and path with the configuration in force.",
};

/// At the entry: the caller left before its answer.
pub const CALLER_LEFT: EventKind = EventKind {
    number: 1105,
    level: Level::Info,
    summary: "caller left before its answer",
    fields: &["id", "node", "route", "service", "latency_us", "suppressed"],
    advice: "Nothing, unless callers give up before the route's deadline.",
};

/// At the entry: the stop of the node aborted a request.
pub const ABORTED: EventKind = EventKind {
    number: 1106,
    level: Level::Warn,
    summary: "request aborted by the stop of its entry",
    fields: &[
        "id",
        "node",
        "route",
        "service",
        "latency_us",
        "stopping_for_us",
        "suppressed",
    ],
    advice: "Give the node more time to stop (`stop_grace_ms`, `stop_timeout_ms`). The request may have run.",
};

/// At the entry: the client account of a request that has ended.
pub const ACCOUNT_KNOWN: EventKind = EventKind {
    number: 1107,
    level: Level::Info,
    summary: "request of a client account",
    fields: &["id", "node", "account", "route", "status", "suppressed"],
    advice: "Nothing. E1100 to E1106 with its id tell how it ended.",
};

/// At the entry: a request needs the key of a client account and has none that is known.
pub const KEY_REJECTED: EventKind = EventKind {
    number: 1108,
    level: Level::Info,
    summary: "request without a known key",
    fields: &["id", "node", "route", "fault", "status", "suppressed"],
    advice: "`fault` is `missing`, `unknown` or, with status 503, `unproven`: a newer configuration may have the key. See `A caller gets 401` in docs/OPERATIONS.md.",
};

/// At the entry: the answer to an offer was lost.
pub const OFFER_LOST: EventKind = EventKind {
    number: 1111,
    level: Level::Warn,
    summary: "offer lost",
    fields: &["id", "node", "target", "error", "took_us", "suppressed"],
    advice: "Check whether the target's node (E2002, E3007) and its backend server (E1006, E1122) are up.",
};

/// At the entry: the request is offered again.
pub const OFFERED_AGAIN: EventKind = EventKind {
    number: 1112,
    level: Level::Info,
    summary: "request offered again",
    fields: &[
        "id",
        "node",
        "target",
        "last_target",
        "cause",
        "took_us",
        "offers_left",
        "runs_left",
        "time_left_us",
        "suppressed",
    ],
    advice: "`cause` is why the offer to `last_target` failed, after `took_us`. For a refusal, E1121 of that target \
             with the same id has details.",
};

/// At the entry: a late request is offered to a second target as well.
pub const HEDGED: EventKind = EventKind {
    number: 1113,
    level: Level::Info,
    summary: "request hedged",
    fields: &[
        "id",
        "node",
        "target",
        "late_target",
        "after_us",
        "suppressed",
    ],
    advice: "Nothing, unless the same target is often late.",
};

/// At the host: the head of the backend server's answer arrived.
pub const RUN_ENDED: EventKind = EventKind {
    number: 1120,
    level: Level::Info,
    summary: "request ran",
    fields: &[
        "id",
        "node",
        "entry",
        "service",
        "status",
        "waited_us",
        "took_us",
        "pace_permille",
        "in_flight",
        "limit",
        "suppressed",
    ],
    advice: "Nothing. `pace_permille` is the pace of work when it began: the duration as a multiple of the normal one, 1000 for normal and 0 for unknown.",
};

/// At the host: the offer was refused; the request was not handed over.
pub const HOST_REFUSED: EventKind = EventKind {
    number: 1121,
    level: Level::Info,
    summary: "offer refused by this host",
    fields: &[
        "id",
        "node",
        "entry",
        "service",
        "reason",
        "retry_after_us",
        "waited_us",
        "time_left_us",
        "in_flight",
        "limit",
        "queued",
        "expected_wait_us",
        "service_time_us",
        "pace_permille",
        "suppressed",
    ],
    advice: "Compare `time_left_us` with `expected_wait_us` and `service_time_us`: the target had no capacity in time. \
             A pace above 1000 means that noisy neighbours slow the backend server down.",
};

/// At the host: the request was handed over, and its answer was lost.
pub const RUN_LOST: EventKind = EventKind {
    number: 1122,
    level: Level::Warn,
    summary: "answer of the backend server lost",
    fields: &[
        "id",
        "node",
        "entry",
        "service",
        "error",
        "waited_us",
        "took_us",
        "suppressed",
    ],
    advice: "Check whether the backend server crashed (E1006, E4100) or missed the request's deadline.",
};

/// At the host: the entry withdrew the request.
pub const RUN_WITHDRAWN: EventKind = EventKind {
    number: 1123,
    level: Level::Info,
    summary: "request withdrawn by its entry",
    fields: &[
        "id",
        "node",
        "entry",
        "service",
        "waited_us",
        "took_us",
        "suppressed",
    ],
    advice: "Nothing: its caller left, a hedge was faster, or its entry is gone (E2002).",
};

/// At the entry: a target was ejected and gets no requests for a while.
pub const TARGET_EJECTED: EventKind = EventKind {
    number: 1130,
    level: Level::Info,
    summary: "target ejected",
    fields: &["node", "target", "service", "cause", "suppressed"],
    advice: "Check the backend server and its node.",
};

/// At the entry: an ejected target may get requests again.
pub const TARGET_RESTORED: EventKind = EventKind {
    number: 1131,
    level: Level::Info,
    summary: "target restored",
    fields: &["node", "target", "service", "suppressed"],
    advice: "Nothing.",
};

/// Every event of this area.
pub const ALL: &[&EventKind] = &[
    &ANSWERED,
    &ANSWERED_LATE,
    &FAILED,
    &REFUSED,
    &UNROUTED,
    &CALLER_LEFT,
    &ABORTED,
    &ACCOUNT_KNOWN,
    &KEY_REJECTED,
    &OFFER_LOST,
    &OFFERED_AGAIN,
    &HEDGED,
    &RUN_ENDED,
    &HOST_REFUSED,
    &RUN_LOST,
    &RUN_WITHDRAWN,
    &TARGET_EJECTED,
    &TARGET_RESTORED,
];
