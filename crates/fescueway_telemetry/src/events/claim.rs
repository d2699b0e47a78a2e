//! Events of idempotency keys, suspect requests and probes: numbers from 4000.

use log::Level;

use crate::EventKind;

/// A partition of idempotency keys has a new record.
pub const PARTITION_CHANGED: EventKind = EventKind {
    number: 4000,
    level: Level::Info,
    summary: "a partition of idempotency keys has a new primary or backup",
    fields: &["partition", "epoch", "primary", "backup"],
    advice: "Nothing, unless it changes all the time: then look for nodes that come and go.",
};

/// The replicas of a partition need the memory of the ones before.
pub const PARTITION_RECOVERING: EventKind = EventKind {
    number: 4001,
    level: Level::Warn,
    summary: "a partition of idempotency keys waits for the memory of its earlier replicas",
    fields: &["partition", "epoch", "orphans_epoch"],
    advice: "After a node left in order this takes milliseconds. After both replicas were lost \
             together, requests with such a key are refused until one of them is back or their \
             keys have expired. Bring one of the nodes back if it still runs.",
};

/// A record could not be read or changed in the store.
pub const CLAIM_STORE_FAILED: EventKind = EventKind {
    number: 4002,
    level: Level::Warn,
    summary: "the store did not answer about a partition of idempotency keys",
    fields: &["partition", "error"],
    advice: "See to the store. Partitions whose replicas are up go on without it.",
};

/// A request with an idempotency key was sent again.
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
    advice: "Find out why it crashed. A fingerprint that is struck twice is refused for 10 min.",
};

/// A request was refused because it was in flight when backend servers crashed.
pub const SUSPECT_REFUSED: EventKind = EventKind {
    number: 4101,
    level: Level::Warn,
    summary: "a request that was in flight when backend servers crashed was refused",
    fields: &["service", "fingerprint"],
    advice: "Look for the caller that sends it again, and mend the backend server.",
};

/// What the health endpoint says is contradicted by traffic.
pub const PROBE_CONTRADICTED: EventKind = EventKind {
    number: 4200,
    level: Level::Warn,
    summary: "traffic contradicts what the load endpoint says",
    fields: &["service", "endpoint"],
    advice: "Mend the endpoint. Until then traffic alone decides.",
};

/// A backend server's health changed.
pub const HEALTH_CHANGED: EventKind = EventKind {
    number: 4201,
    level: Level::Warn,
    summary: "a backend server's health changed",
    fields: &["service", "health"],
    advice: "If it is failing, look at the backend server.",
};

/// A backend server has no load endpoint.
pub const PROBE_ABSENT: EventKind = EventKind {
    number: 4202,
    level: Level::Info,
    summary: "a backend server has no load endpoint",
    fields: &["service", "endpoint"],
    advice: "Nothing, if that is meant: traffic alone decides. Else mend `probe.path`. With \
             `probe.budget_ms_per_s` 0 the endpoint is not looked for.",
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
