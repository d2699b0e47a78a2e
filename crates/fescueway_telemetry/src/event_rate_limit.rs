//! Logs one kind of event so many times a second.

use std::{
    fmt::Display,
    sync::{Mutex, PoisonError},
};

use fescueway_core::{MonoTime, TokenBucket};

use crate::{EventKind, emit};

/// Logs one kind of event at most so many times a second. The kind's last field is how many were left
/// out before.
///
/// ```
/// # use std::time::Duration;
/// # use fescueway_core::MonoTime;
/// # use fescueway_telemetry::{EventRateLimit, events::request::RUN_ENDED};
/// let budget = EventRateLimit::new(&RUN_ENDED, 2.0);
/// let admitted = [(); 4].map(|()| budget.admit(MonoTime::ZERO));
/// assert_eq!(admitted, [Some(0), Some(0), None, None]);
/// let later = MonoTime::ZERO + Duration::from_secs(1);
/// assert_eq!(budget.admit(later), Some(2));
/// ```
#[derive(Debug)]
pub struct EventRateLimit {
    /// What is logged.
    kind: &'static EventKind,
    /// What may be logged now.
    state: Mutex<BudgetState>,
}

/// What may be logged now.
#[derive(Debug)]
struct BudgetState {
    /// Lines.
    bucket: TokenBucket,
    /// Events left out since the last line.
    suppressed: u64,
}

impl EventRateLimit {
    /// A budget of `per_s` lines a second, and as many at once. Above zero.
    #[must_use]
    pub const fn new(kind: &'static EventKind, per_s: f64) -> Self {
        Self {
            kind,
            state: Mutex::new(BudgetState {
                bucket: TokenBucket::full(MonoTime::ZERO, per_s, per_s),
                suppressed: 0,
            }),
        }
    }

    /// Logs an event, or counts it. `values` lack the kind's last field.
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

    /// Whether an event may be logged: how many were left out before, else `None`.
    pub fn admit(&self, now: MonoTime) -> Option<u64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.bucket.try_take(now).is_ok() {
            return Some(std::mem::take(&mut state.suppressed));
        }
        state.suppressed += 1;
        None
    }
}
