//! Counters and latencies of the calls, by service.

use std::{collections::BTreeMap, time::Duration};

use eyre::Result;
use hdrhistogram::Histogram;

use crate::call_result::CallResult;

/// Highest latency that the histogram records, in microseconds; higher ones count as this.
const MAX_LATENCY_US: u64 = 60_000_000;

/// The results of the calls to one service.
#[derive(Clone, Debug)]
pub struct ServiceTally {
    /// Total number of calls.
    pub calls: u64,
    /// Calls that got the complete response to their own request.
    pub answered: u64,
    /// Calls whose response states that they did not run.
    pub refused: u64,
    /// Calls with a complete response that is neither a success nor a refusal: they may have run.
    pub unknown: u64,
    /// Calls whose response was truncated or missing.
    pub incomplete: u64,
    /// Calls that got the response to another request.
    pub mismatched: u64,
    /// Calls that were neither answered nor refused while a drain was the only active fault.
    pub failed_in_drain: u64,
    /// Refused calls by reason.
    pub reasons: BTreeMap<String, u64>,
    /// Numbers of the refused calls.
    pub refused_ids: Vec<u64>,
    /// Latencies of the answered calls, in microseconds.
    pub latency: Histogram<u64>,
}

/// The results of the calls to all services.
#[derive(Clone, Debug, Default)]
pub struct LoadTally {
    /// Tallies by service name.
    pub services: BTreeMap<&'static str, ServiceTally>,
}

impl LoadTally {
    /// Adds one call. `is_only_drain` tells whether a drain was the only active fault.
    pub fn record(
        &mut self,
        service: &'static str,
        id: u64,
        result: &CallResult,
        is_only_drain: bool,
    ) -> Result<()> {
        if !self.services.contains_key(service) {
            self.services.insert(service, ServiceTally::new()?);
        }
        if let Some(tally) = self.services.get_mut(service) {
            tally.record(id, result, is_only_drain);
        }
        Ok(())
    }

    /// Total number of calls.
    pub fn calls(&self) -> u64 {
        self.services.values().map(|tally| tally.calls).sum()
    }
}

impl ServiceTally {
    /// Creates an empty tally.
    fn new() -> Result<Self> {
        Ok(Self {
            calls: 0,
            answered: 0,
            refused: 0,
            unknown: 0,
            incomplete: 0,
            mismatched: 0,
            failed_in_drain: 0,
            reasons: BTreeMap::new(),
            refused_ids: Vec::new(),
            latency: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?,
        })
    }

    /// Adds one call.
    fn record(&mut self, id: u64, result: &CallResult, is_only_drain: bool) {
        self.calls += 1;
        self.incomplete += u64::from(result.is_incomplete);
        self.mismatched += u64::from(result.is_mismatched);
        if result.is_answered() {
            self.answered += 1;
            let micros = u64::try_from(result.latency.as_micros()).unwrap_or(MAX_LATENCY_US);
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
        self.unknown += u64::from(!result.is_incomplete && !result.is_mismatched);
        self.failed_in_drain += u64::from(is_only_drain);
    }

    /// The latency quantile of the answered calls for `fraction`, from 0 to 1.
    pub fn quantile(&self, fraction: f64) -> Duration {
        Duration::from_micros(self.latency.value_at_quantile(fraction))
    }
}
