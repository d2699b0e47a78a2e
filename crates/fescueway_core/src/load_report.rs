//! The load of one target, as reported by its host node.

use serde::{Deserialize, Serialize};

use crate::ServerNotice;

/// The load of one target, sent by its host node with each answer and each refusal.
///
/// [`LoadReport::age_us`] is the age of the figures when they were sent; the receiver adds the time
/// since.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests running at the backend server now.
    pub in_flight: u32,
    /// Requests queued at the host node for a slot.
    pub queued: u32,
    /// Concurrency limit that the host node applies now. Never above the announced slots.
    pub limit: u32,
    /// Recent mean time that a request holds a slot, in microseconds, at the usual pace of work.
    pub service_time_us: u32,
    /// Expected wait of a request that arrives now, in microseconds.
    pub wait_us: u32,
    /// Age of these figures when they were sent, in microseconds.
    pub age_us: u32,
    /// Recent share of requests that failed at the backend server, in 1/1000.
    pub failed_permille: u16,
    /// Duration of work at the backend server now, as a share of the usual duration in 1/1000; zero
    /// if it doesn't report it.
    #[serde(default)]
    pub work_permille: u32,
    /// Whether the target is draining and takes no new requests.
    pub is_draining: bool,
    /// How long an entry should wait after an offer before the next one, in microseconds, so that
    /// the entries together stay within the backend server's rate limit. Zero without a limit.
    #[serde(default)]
    pub offer_pause_us: u32,
    /// What the backend server stated in its last answer, `None` until the host node has received
    /// one.
    #[serde(default)]
    pub notice: Option<ServerNotice>,
}
