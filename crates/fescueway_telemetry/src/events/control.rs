//! Events of membership, configuration and the store: numbers from 2000.

use log::Level;

use crate::EventKind;

/// Every event of this area.
pub const ALL: &[&EventKind] = &[
    &NODE_UP,
    &NODE_DOWN,
    &FLEET_JOINED,
    &DATAGRAMS_DROPPED,
    &CONFIG_IN_FORCE,
    &CONFIG_REJECTED,
    &CONFIG_FETCH_FAILED,
    &STORE_UNREACHABLE,
    &STORE_REACHABLE,
    &WATCH_STARTED,
    &WATCH_ENDED,
    &STORE_ITEM_IGNORED,
    &KEY_PROOF_LOST,
    &KEY_PROOF_REGAINED,
    &ALLOTMENT_SPENT,
    &ALLOTMENT_SHARES_BEGAN,
    &ALLOTMENT_SHARES_ENDED,
];

/// Another node is up.
pub const NODE_UP: EventKind = EventKind {
    number: 2001,
    level: Level::Debug,
    summary: "node up",
    fields: &["node"],
    advice: "Nothing.",
};

/// Another node is down or has left.
pub const NODE_DOWN: EventKind = EventKind {
    number: 2002,
    level: Level::Info,
    summary: "node down",
    fields: &["node", "cause"],
    advice: "Nothing, unless many go down at once with cause `silent`: look for a network fault.",
};

/// The node joined the fleet.
pub const FLEET_JOINED: EventKind = EventKind {
    number: 2003,
    level: Level::Info,
    summary: "fleet joined",
    fields: &["nodes"],
    advice: "Nothing.",
};

/// Datagrams were dropped since the last such event.
pub const DATAGRAMS_DROPPED: EventKind = EventKind {
    number: 2004,
    level: Level::Warn,
    summary: "datagrams dropped",
    fields: &["forged", "malformed", "oversize", "other_version"],
    advice: "Compare `fleet_secret` and the versions of the nodes; if they match, find the sender.",
};

/// A configuration came into force at this node.
pub const CONFIG_IN_FORCE: EventKind = EventKind {
    number: 2010,
    level: Level::Info,
    summary: "configuration in force",
    fields: &["revision", "services"],
    advice: "Nothing.",
};

/// A configuration can't be applied; the last one stays in force.
pub const CONFIG_REJECTED: EventKind = EventKind {
    number: 2011,
    level: Level::Error,
    summary: "configuration rejected",
    fields: &["revision", "reason"],
    advice: "Apply a configuration that this version of the node reads, or upgrade the node.",
};

/// A newer configuration could not be fetched yet.
pub const CONFIG_FETCH_FAILED: EventKind = EventKind {
    number: 2012,
    level: Level::Debug,
    summary: "configuration not fetched",
    fields: &["revision", "source", "reason"],
    advice: "Nothing; the node retries. If it persists, check the store and the peers.",
};

/// The store doesn't answer; the node continues with its current state.
pub const STORE_UNREACHABLE: EventKind = EventKind {
    number: 2020,
    level: Level::Warn,
    summary: "store unreachable",
    fields: &["error"],
    advice: "Restore the store. Requests are still served, but the configuration can't change.",
};

/// The store answers again.
pub const STORE_REACHABLE: EventKind = EventKind {
    number: 2021,
    level: Level::Info,
    summary: "store reachable again",
    fields: &[],
    advice: "Nothing.",
};

/// The node watches the store for its failure domain.
pub const WATCH_STARTED: EventKind = EventKind {
    number: 2022,
    level: Level::Info,
    summary: "watching the store",
    fields: &["slot"],
    advice: "Nothing.",
};

/// The node no longer watches the store.
pub const WATCH_ENDED: EventKind = EventKind {
    number: 2023,
    level: Level::Info,
    summary: "no longer watching the store",
    fields: &["slot"],
    advice: "Nothing; another node of the failure domain takes over.",
};

/// An item in an answer of the store can't be decoded. The other items are used.
pub const STORE_ITEM_IGNORED: EventKind = EventKind {
    number: 2024,
    level: Level::Warn,
    summary: "item of the store ignored",
    fields: &["error"],
    advice: "Find the writer of the key, or delete it. The other keys are read as usual.",
};

/// The node has no proof that its configuration is the latest one; it refuses requests with keys.
pub const KEY_PROOF_LOST: EventKind = EventKind {
    number: 2030,
    level: Level::Warn,
    summary: "configuration not proven current, requests with keys are refused",
    fields: &["age_ms"],
    advice: "Restore the node's way to the store or to a node that has one. Requests without keys are served.",
};

/// The node has a proof again that its configuration is the latest one.
pub const KEY_PROOF_REGAINED: EventKind = EventKind {
    number: 2031,
    level: Level::Info,
    summary: "configuration proven current again",
    fields: &["unproven_ms"],
    advice: "Nothing.",
};

/// A client account has used its allotment. Logged once a second for each account.
pub const ALLOTMENT_SPENT: EventKind = EventKind {
    number: 2050,
    level: Level::Info,
    summary: "request of a client account refused, since its allotment is used up",
    fields: &["account", "rate_per_s", "retry_after_ms", "suppressed"],
    advice: "Nothing, if the account sends more than its rate. Otherwise see E2051 and \"429 though below the \
             limit\" in docs/OPERATIONS.md.",
};

/// Accounts use fixed shares of their allotments.
pub const ALLOTMENT_SHARES_BEGAN: EventKind = EventKind {
    number: 2051,
    level: Level::Warn,
    summary: "owners of client accounts don't grant tokens; this node uses its share of the allotments",
    fields: &["accounts", "nodes_known"],
    advice: "Nothing for some seconds after a node was lost or after a start. If it lasts, find out why this node \
             or the owners see less than half of the nodes: a network fault, or the loss of most nodes.",
};

/// All accounts in use have an owner again.
pub const ALLOTMENT_SHARES_ENDED: EventKind = EventKind {
    number: 2052,
    level: Level::Info,
    summary: "owners of client accounts grant tokens again",
    fields: &[],
    advice: "Nothing.",
};
