//! Calls of the store by the whole fleet.

use std::time::Duration;

use fescueway_core::MonoTime;
use fescueway_platform::StorePacer;
use rand_pcg::Pcg64Mcg;

use super::FleetTarget;

/// Nodes of each failure domain that watch the store.
const WATCHERS_PER_DOMAIN: f64 = 2.0;

/// Time between two calls that keep a watcher's lease, in seconds.
const LEASE_PERIOD_S: f64 = 5.0;

/// Time after which a quiet watch is opened anew, with a read, in seconds.
const WATCH_IDLE_S: f64 = 60.0;

/// Reads of a watcher for one change: head, index, values.
const READS_PER_CHANGE: f64 = 3.0;

/// Transactions of the operator for one change that are reads: head, indexes.
const APPLY_READS: f64 = 2.0;

/// Writes of each failure domain's report for one change, at most: one every half second while the
/// sum grows, over three levels of the tree.
const REPORTS_PER_CHANGE: f64 = 4.0;

/// Nodes of the measured fleet.
const NODES: usize = 600;

/// Length of the outage and of the time observed after it, in seconds.
const OUTAGE_S: u64 = 600;

/// Calls of the store each second by the whole fleet at the target's size.
#[derive(Clone, Copy, Debug)]
pub struct StoreLoad {
    /// Reads, watches and lease calls in steady state.
    pub steady_reads_per_s: f64,
    /// Writes in steady state.
    pub steady_writes_per_s: f64,
    /// Calls in the busiest second after an outage, when every node wants the store.
    pub recovery_peak_per_s: f64,
}

impl StoreLoad {
    /// Works out the steady state, and measures the recovery.
    #[must_use]
    pub fn measure(seed: u64) -> Self {
        let watchers = FleetTarget::DOMAINS * WATCHERS_PER_DOMAIN;
        let changes = FleetTarget::config_changes_per_s();
        let by_watcher = READS_PER_CHANGE * changes + 2.0 / WATCH_IDLE_S;
        let leases = watchers / LEASE_PERIOD_S;
        let reports = FleetTarget::DOMAINS * REPORTS_PER_CHANGE * changes;
        Self {
            steady_reads_per_s: watchers * by_watcher + APPLY_READS * changes,
            steady_writes_per_s: leases + reports + changes,
            recovery_peak_per_s: recovery_peak(seed) * FleetTarget::NODES / NODES as f64,
        }
    }
}

fn recovery_peak(seed: u64) -> f64 {
    const LOOKS_PER_S: u64 = 10;
    let mut random = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
    let mut pacers = vec![StorePacer::for_node(MonoTime::ZERO); NODES];
    let mut peak = 0;
    let mut calls = 0;
    for look in 0..2 * OUTAGE_S * LOOKS_PER_S {
        let is_down = look < OUTAGE_S * LOOKS_PER_S;
        if look % LOOKS_PER_S == 0 {
            peak = peak.max(calls);
            calls = 0;
        }
        let now = MonoTime::ZERO + Duration::from_secs(1) * look as u32 / LOOKS_PER_S as u32;
        for pacer in &mut pacers {
            while pacer.try_call(now).is_ok() {
                if is_down {
                    pacer.on_failure(now, &mut random);
                } else {
                    calls += 1;
                    pacer.on_success();
                }
            }
        }
    }
    f64::from(peak)
}
