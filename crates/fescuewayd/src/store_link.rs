//! The node's connection to the platform's store, limited to its call budget.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use fescueway_core::MonoTime;
use fescueway_platform::{StoreClient, StoreError, StoreMapping, StorePacer, StoreSettings};
use fescueway_proxy::ProxyState;
use fescueway_telemetry::{StoreState, emit, events::control};
use rand_pcg::Pcg64Mcg;
use tokio::time::sleep_until;

use crate::{DaemonSettings, StatusBoard};

/// Timeout of a call to the store. With the longest backoff of a watcher, it bounds how long after an
/// outage the store is first read.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The node's connection to the store, limited to its call budget. Cheap to clone.
#[derive(Clone, Debug)]
pub struct StoreLink {
    /// The client of the store.
    pub client: StoreClient,
    proxy: ProxyState,
    board: StatusBoard,
    pace: Arc<Mutex<StorePace>>,
}

/// The call budget and the random number generator of its backoff.
#[derive(Debug)]
struct StorePace {
    pacer: StorePacer,
    random: Pcg64Mcg,
}

impl StoreLink {
    /// Connects to the store of the settings; `None` when they name none.
    pub fn new(
        proxy: &ProxyState,
        board: &StatusBoard,
        settings: &DaemonSettings,
        mapping: StoreMapping,
    ) -> Option<Self> {
        let addresses = StoreSettings::try_from(settings.store.clone()).ok()?;
        let seed = u128::from(proxy.options().seed.rotate_left(7));
        let pace = StorePace {
            pacer: StorePacer::for_node(proxy.now()),
            random: Pcg64Mcg::new(seed << 1 | 1),
        };
        Some(Self {
            client: StoreClient::with_mapping(addresses, mapping),
            proxy: proxy.clone(),
            board: board.clone(),
            pace: Arc::new(Mutex::new(pace)),
        })
    }

    /// Sets the call budget to that of a watcher or of an ordinary node.
    pub fn set_watcher(&self, is_watcher: bool) {
        let role = if is_watcher {
            StorePacer::for_watcher(MonoTime::ZERO)
        } else {
            StorePacer::for_node(MonoTime::ZERO)
        };
        self.pace().pacer.set_role(&role);
    }

    /// Waits until the budget permits a call.
    pub async fn wait_for_budget(&self) {
        loop {
            let now = self.proxy.now();
            let Err(opens_at) = self.pace().pacer.try_call(now) else {
                return;
            };
            sleep_until(self.proxy.clock().instant(opens_at)).await;
        }
    }

    /// Waits for the budget, makes the call and records its result.
    pub async fn call<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        self.wait_for_budget().await;
        let result = call.await;
        self.record_result(result.as_ref().err());
        result
    }

    /// Records whether the store answered. A lapsed lease and another era count as an answer.
    pub fn record_result(&self, error: Option<&StoreError>) {
        let error = error.filter(|error| !error.is_lease_expired() && !error.is_restored());
        let state = match error {
            None => StoreState::Reachable,
            Some(_) => StoreState::Unreachable,
        };
        let before = self.board.facts().store;
        self.board.change(|facts| facts.store = state);
        if let Some(error) = error {
            let now = self.proxy.now();
            let mut pace = self.pace();
            let StorePace { pacer, random } = &mut *pace;
            pacer.on_failure(now, random);
            if before != StoreState::Unreachable {
                emit(&control::STORE_UNREACHABLE, &[error]);
            }
            return;
        }
        self.pace().pacer.on_success();
        if before == StoreState::Unreachable {
            emit(&control::STORE_REACHABLE, &[]);
        }
    }

    fn pace(&self) -> MutexGuard<'_, StorePace> {
        self.pace.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
