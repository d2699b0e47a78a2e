//! What the callers saw, for each service.

use std::{collections::BTreeMap, time::Duration};

use eyre::Result;
use hdrhistogram::Histogram;

use crate::call_result::CallResult;

/// Longest latency that is told apart, in microseconds.
const LATENCY_LIMIT_US: u64 = 60_000_000;

/// What the callers of one service saw.
#[derive(Clone, Debug)]
pub struct ServiceTally {
    /// Calls in all.
    pub calls: u64,
    /// Calls that got the whole answer to their own request.
    pub answered: u64,
    /// Calls that were told that they did not run.
    pub refused: u64,
    /// Calls that were told that they may have run.
    pub unknown: u64,
    /// Answers that were cut short, or never came.
    pub cut: u64,
    /// Answers that belong to another request.
    pub mixed_up: u64,
    /// Calls without a good answer while a drain was the only fault.
    pub lost_in_drain: u64,
    /// Refusals by their reason.
    pub reasons: BTreeMap<String, u64>,
    /// Numbers of the calls that were refused.
    pub refused_ids: Vec<u64>,
    /// Latencies of the answered calls, in microseconds.
    pub latency: Histogram<u64>,
}

/// What the callers of all services saw.
#[derive(Clone, Debug, Default)]
pub struct LoadTally {
    /// By service.
    pub services: BTreeMap<&'static str, ServiceTally>,
}

impl LoadTally {
    /// Takes in one call. `is_draining` tells that a drain is the only fault.
    pub fn record(
        &mut self,
        service: &'static str,
        id: u64,
        result: &CallResult,
        is_draining: bool,
    ) -> Result<()> {
        if !self.services.contains_key(service) {
            self.services.insert(service, ServiceTally::new()?);
        }
        if let Some(tally) = self.services.get_mut(service) {
            tally.record(id, result, is_draining);
        }
        Ok(())
    }

    /// Calls in all.
    pub fn calls(&self) -> u64 {
        self.services.values().map(|tally| tally.calls).sum()
    }
}

impl ServiceTally {
    /// A tally of nothing.
    fn new() -> Result<Self> {
        Ok(Self {
            calls: 0,
            answered: 0,
            refused: 0,
            unknown: 0,
            cut: 0,
            mixed_up: 0,
            lost_in_drain: 0,
            reasons: BTreeMap::new(),
            refused_ids: Vec::new(),
            latency: Histogram::new_with_bounds(1, LATENCY_LIMIT_US, 3)?,
        })
    }

    /// Takes in one call.
    fn record(&mut self, id: u64, result: &CallResult, is_draining: bool) {
        self.calls += 1;
        self.cut += u64::from(result.is_cut);
        self.mixed_up += u64::from(result.is_mixed_up);
        if result.is_answered() {
            self.answered += 1;
            let micros = u64::try_from(result.latency.as_micros()).unwrap_or(LATENCY_LIMIT_US);
            self.latency.saturating_record(micros);
            return;
        }
        if result.is_refused() {
            self.refused += 1;
            self.refused_ids.push(id);
            let reason = result.reason.clone().unwrap_or_default();
            *self.reasons.entry(reason).or_default() += 1;
            return;
        }
        self.unknown += u64::from(!result.is_cut && !result.is_mixed_up);
        self.lost_in_drain += u64::from(is_draining);
    }

    /// The latency that this share of the answered calls did not exceed.
    pub fn quantile(&self, share: f64) -> Duration {
        Duration::from_micros(self.latency.value_at_quantile(share))
    }
}
