//! Events of idempotency keys, suspect requests and probes: numbers from 4000.

use log::Level;

use crate::EventKind;

/// The record of a partition of idempotency keys changed.
pub const PARTITION_CHANGED: EventKind = EventKind {
    number: 4000,
    level: Level::Info,
    summary: "a partition of idempotency keys has a new primary or backup",
    fields: &["partition", "epoch", "primary", "backup"],
    advice: "Nothing. If it happens often, look for nodes that repeatedly leave and rejoin.",
};

/// The replicas of a partition need the claims that its earlier replicas hold.
pub const PARTITION_RECOVERING: EventKind = EventKind {
    number: 4001,
    level: Level::Warn,
    summary: "a partition of idempotency keys waits for the claims of its earlier replicas",
    fields: &["partition", "epoch", "orphans_epoch"],
    advice: "After an orderly leave this takes milliseconds. If both replicas were lost at once, \
             requests with keys of the partition are refused until one replica is back or the keys \
             have expired. Reconnect one of the nodes if it still runs.",
};

/// The record of a partition could not be read or changed in the store.
pub const CLAIM_STORE_FAILED: EventKind = EventKind {
    number: 4002,
    level: Level::Warn,
    summary: "the record of a partition of idempotency keys could not be read or changed in the store",
    fields: &["partition", "error"],
    advice: "Check the store. Partitions whose replicas are up work without it.",
};

/// A request with a used idempotency key was answered without running it.
pub const DUPLICATE_ANSWERED: EventKind = EventKind {
    number: 4003,
    level: Level::Info,
    summary: "a request with a used idempotency key was answered without running it",
    fields: &["service", "outcome"],
    advice: "Nothing.",
};

/// A backend server crashed with requests in flight.
pub const BACKEND_CRASHED: EventKind = EventKind {
    number: 4100,
    level: Level::Error,
    summary: "a backend server crashed with requests in flight",
    fields: &["service", "fingerprints"],
    advice: "Find the cause of the crash. A fingerprint with two strikes is refused for 1 min, and longer after \
             each further crash.",
};

/// A request was refused because it was in flight when backend servers crashed.
pub const SUSPECT_REFUSED: EventKind = EventKind {
    number: 4101,
    level: Level::Warn,
    summary: "a request that was in flight when backend servers crashed was refused",
    fields: &["service", "fingerprint"],
    advice: "Find the caller that repeats the request, and fix the backend server.",
};

/// Traffic contradicts what the load endpoint reports.
pub const PROBE_CONTRADICTED: EventKind = EventKind {
    number: 4200,
    level: Level::Warn,
    summary: "traffic contradicts what the load endpoint reports",
    fields: &["service", "endpoint"],
    advice: "Fix the endpoint. Until then health is judged by traffic alone.",
};

/// A backend server's health changed.
pub const HEALTH_CHANGED: EventKind = EventKind {
    number: 4201,
    level: Level::Warn,
    summary: "a backend server's health changed",
    fields: &["service", "health"],
    advice: "If it is failing, check the backend server.",
};

/// A backend server has no load endpoint.
pub const PROBE_ABSENT: EventKind = EventKind {
    number: 4202,
    level: Level::Info,
    summary: "a backend server has no load endpoint",
    fields: &["service", "endpoint"],
    advice: "Nothing, if this is intended: health is judged by traffic alone. Otherwise correct \
             `probe.path`. With `probe.budget_ms_per_s` 0 the endpoint is not probed.",
};

/// Every event of this area.
pub const ALL: &[&EventKind] = &[
    &PARTITION_CHANGED,
    &PARTITION_RECOVERING,
    &CLAIM_STORE_FAILED,
    &DUPLICATE_ANSWERED,
    &BACKEND_CRASHED,
    &SUSPECT_REFUSED,
    &PROBE_CONTRADICTED,
    &HEALTH_CHANGED,
    &PROBE_ABSENT,
];
