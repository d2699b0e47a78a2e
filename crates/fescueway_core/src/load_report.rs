//! The load of one target, as its host node knows it.

use serde::{Deserialize, Serialize};

/// The load of one target, sent by its host node with each answer and each refusal.
///
/// A report is stale when it arrives; [`LoadReport::age_us`] is the age at which it was sent, and
/// the receiver adds the time since.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests running at the backend server now.
    pub in_flight: u32,
    /// Requests waiting at the host node for a slot.
    pub queued: u32,
    /// Requests that the host node lets run at once now. Never above the announced slots.
    pub limit: u32,
    /// Recent mean time that a request holds a slot, in microseconds, at the usual pace of work.
    pub service_time_us: u32,
    /// Expected wait of a request that arrives now, in microseconds.
    pub wait_us: u32,
    /// Age of these figures when they were sent, in microseconds.
    pub age_us: u32,
    /// Recent share of requests that failed at the backend server, in 1/1000.
    pub failed_permille: u16,
    /// How long work takes at the backend server now, as a share of the usual time in 1/1000; zero when
    /// it doesn't tell.
    #[serde(default)]
    pub work_permille: u32,
    /// Whether the target is leaving and takes no new work.
    pub is_draining: bool,
}
