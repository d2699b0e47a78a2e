//! Limits how often one kind of event is logged.

use std::{
    fmt::Display,
    sync::{Mutex, PoisonError},
};

use fescueway_core::{MonoTime, TokenBucket};

use crate::{EventKind, emit};

/// Logs one kind of event at a limited rate. The kind's last field is the number of events left out since
/// the last line.
///
/// ```
/// # use std::time::Duration;
/// # use fescueway_core::MonoTime;
/// # use fescueway_telemetry::{EventRateLimit, events::request::RUN_ENDED};
/// let limit = EventRateLimit::new(&RUN_ENDED, 2.0);
/// let admitted = [(); 4].map(|()| limit.admit(MonoTime::ZERO));
/// assert_eq!(admitted, [Some(0), Some(0), None, None]);
/// let later = MonoTime::ZERO + Duration::from_secs(1);
/// assert_eq!(limit.admit(later), Some(2));
/// ```
#[derive(Debug)]
pub struct EventRateLimit {
    /// The kind of event that is logged.
    kind: &'static EventKind,
    /// Remaining lines and suppressed events.
    state: Mutex<RateState>,
}

/// Remaining lines and suppressed events.
#[derive(Debug)]
struct RateState {
    /// Each token allows one line.
    bucket: TokenBucket,
    /// Events left out since the last line.
    suppressed: u64,
}

impl EventRateLimit {
    /// Creates a limit of `per_s` lines a second, which must be above zero, and as many in one burst.
    #[must_use]
    pub const fn new(kind: &'static EventKind, per_s: f64) -> Self {
        Self {
            kind,
            state: Mutex::new(RateState {
                bucket: TokenBucket::full(MonoTime::ZERO, per_s, per_s),
                suppressed: 0,
            }),
        }
    }

    /// Logs an event, or counts it as suppressed. `values` are those of all fields but the last.
    pub fn emit(&self, now: MonoTime, values: &[&dyn Display]) {
        if !self.kind.is_logged() {
            return;
        }
        if let Some(suppressed) = self.admit(now) {
            let mut values = values.to_vec();
            values.push(&suppressed);
            emit(self.kind, &values);
        }
    }

    /// Returns the number of events suppressed since the last line if an event may be logged now, else
    /// counts it as suppressed and returns `None`.
    pub fn admit(&self, now: MonoTime) -> Option<u64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.bucket.try_take(now).is_ok() {
            return Some(std::mem::take(&mut state.suppressed));
        }
        state.suppressed += 1;
        None
    }
}
