//! Load of the store from the whole fleet.

use std::time::Duration;

use fescueway_core::MonoTime;
use fescueway_platform::StorePacer;
use fescuewayd::WATCHERS_PER_DOMAIN;
use rand_pcg::Pcg64Mcg;

use super::FleetRequirements;

/// Interval between the calls that keep a watcher's lease alive, in seconds.
const LEASE_PERIOD_S: f64 = 5.0;

/// Time after which an idle watch is reopened, with a read, in seconds.
const WATCH_IDLE_S: f64 = 60.0;

/// Reads of a watcher per change: head, index, values.
const READS_PER_CHANGE: f64 = 3.0;

/// Read transactions of the operator per change: head, indexes.
const APPLY_READS: f64 = 2.0;

/// Largest number of report writes per failure domain and change: one every half second while the
/// aggregate grows, over three levels of the tree.
const REPORTS_PER_CHANGE: f64 = 4.0;

/// Number of nodes in the simulated fleet.
const NODES: usize = 600;

/// Duration of the outage and of the observation after it, in seconds.
const OUTAGE_S: u64 = 600;

/// Store calls per second from the whole fleet at the required size.
#[derive(Clone, Copy, Debug)]
pub struct StoreLoad {
    /// Reads and watches in steady state.
    pub steady_reads_per_s: f64,
    /// Writes and lease calls in steady state.
    pub steady_writes_per_s: f64,
    /// Calls in the busiest second after an outage, when every node calls the store.
    pub recovery_peak_per_s: f64,
}

impl StoreLoad {
    /// Computes the steady state and simulates the recovery.
    #[must_use]
    pub fn measure(seed: u64) -> Self {
        let watchers = FleetRequirements::DOMAINS * WATCHERS_PER_DOMAIN as f64;
        let changes = FleetRequirements::config_changes_per_s();
        let reads_per_watcher = READS_PER_CHANGE * changes + 2.0 / WATCH_IDLE_S;
        let leases = watchers / LEASE_PERIOD_S;
        let reports = FleetRequirements::DOMAINS * REPORTS_PER_CHANGE * changes;
        Self {
            steady_reads_per_s: watchers * reads_per_watcher + APPLY_READS * changes,
            steady_writes_per_s: leases + reports + changes,
            recovery_peak_per_s: recovery_peak(seed) * FleetRequirements::NODES / NODES as f64,
        }
    }
}

fn recovery_peak(seed: u64) -> f64 {
    const TICKS_PER_S: u64 = 10;
    let mut random = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
    let mut pacers = vec![StorePacer::for_node(MonoTime::ZERO); NODES];
    let mut peak = 0;
    let mut calls = 0;
    for tick in 0..2 * OUTAGE_S * TICKS_PER_S {
        let is_down = tick < OUTAGE_S * TICKS_PER_S;
        if tick % TICKS_PER_S == 0 {
            peak = peak.max(calls);
            calls = 0;
        }
        let now = MonoTime::ZERO + Duration::from_secs(1) * tick as u32 / TICKS_PER_S as u32;
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
