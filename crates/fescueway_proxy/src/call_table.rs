//! The calls that run at this node's backend servers, from which nested calls inherit their limits.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use fescueway_core::{MonoTime, RequestTerms};
use http::HeaderValue;

/// Length of a token in bytes: 32 hex digits, a dash, 16 hex digits.
const TOKEN_BYTES: usize = 49;

/// What a nested call inherits from its parent call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParentCall {
    /// Time left until the parent's caller stops waiting.
    pub time_left: Duration,
    /// Offers that the nested call may use.
    pub offers_left: u8,
    /// Number of calls above the parent.
    pub depth: u8,
}

/// The calls that run at this node's backend servers. Cheap to clone.
///
/// A backend server receives the token of the call it serves in `fescueway-call` and sends it with
/// the calls it makes through its own node. A token contains the node's secret, so an outside
/// caller can't forge one.
#[derive(Clone, Debug)]
pub struct CallTable(Arc<Mutex<CallTableState>>);

/// The state that the clones of a [`CallTable`] share.
#[derive(Debug)]
struct CallTableState {
    /// Secret part of the tokens, known only to this node's backend servers.
    secret: u128,
    /// The number of the latest call.
    last_number: u64,
    /// Running calls by number.
    calls: BTreeMap<u64, RunningCall>,
}

/// The limits of a running call.
#[derive(Clone, Copy, Debug)]
struct RunningCall {
    /// When its caller stops waiting.
    deadline: MonoTime,
    /// Offers left after the current one.
    offers_left: u8,
    /// Number of calls above it.
    depth: u8,
}

/// Removes its call from the table when dropped.
#[derive(Debug)]
pub struct CallGuard {
    /// The table.
    table: CallTable,
    /// The call's number.
    number: u64,
    /// Secret part of the tokens, known only to this node's backend servers.
    secret: u128,
}

impl CallTable {
    /// An empty table whose tokens contain `secret`.
    #[must_use]
    pub fn new(secret: u128) -> Self {
        Self(Arc::new(Mutex::new(CallTableState {
            secret,
            last_number: 0,
            calls: BTreeMap::new(),
        })))
    }

    /// Registers a call that starts at `now`, until the guard is dropped.
    #[must_use]
    pub fn register(&self, terms: &RequestTerms, now: MonoTime) -> CallGuard {
        let mut state = self.state();
        state.last_number += 1;
        let number = state.last_number;
        let running = RunningCall {
            deadline: now + terms.time_left,
            offers_left: terms.offers_left,
            depth: terms.depth,
        };
        state.calls.insert(number, running);
        let secret = state.secret;
        drop(state);
        CallGuard {
            table: self.clone(),
            number,
            secret,
        }
    }

    /// What a call with this token inherits, `None` when no such call runs.
    #[must_use]
    pub fn find(&self, token: &str, now: MonoTime) -> Option<ParentCall> {
        let (secret, number) = token.split_once('-')?;
        let secret = u128::from_str_radix(secret, 16).ok()?;
        let number = u64::from_str_radix(number, 16).ok()?;
        let state = self.state();
        if secret != state.secret {
            return None;
        }
        let running = state.calls.get(&number)?;
        Some(ParentCall {
            time_left: running.deadline.since(now),
            offers_left: running.offers_left.max(1),
            depth: running.depth,
        })
    }

    /// The state, locked.
    fn state(&self) -> MutexGuard<'_, CallTableState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CallGuard {
    /// The token for the backend server. Never `None` in practice, since hex digits and a dash make
    /// a valid header value.
    #[must_use]
    pub fn token(&self) -> Option<HeaderValue> {
        // The exact capacity lets the string become the value without a copy.
        let mut token = String::with_capacity(TOKEN_BYTES);
        write!(token, "{:032x}-{:016x}", self.secret, self.number).ok()?;
        HeaderValue::try_from(token).ok()
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.table.state().calls.remove(&self.number);
    }
}
