//! The node's way to the platform's store, within its budget.

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

/// Time that one call to the store has.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The node's way to the store, within its budget. Cheap to clone.
#[derive(Clone, Debug)]
pub struct StoreLink {
    /// The client.
    pub client: StoreClient,
    proxy: ProxyState,
    board: StatusBoard,
    pace: Arc<Mutex<StorePace>>,
}

/// The budget and its random numbers.
#[derive(Debug)]
struct StorePace {
    pacer: StorePacer,
    random: Pcg64Mcg,
}

impl StoreLink {
    /// The way to the store of the settings, `None` when they name none.
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

    /// Takes the budget of a watcher, or of an ordinary node.
    pub fn set_watcher(&self, is_watcher: bool) {
        let role = if is_watcher {
            StorePacer::for_watcher(MonoTime::ZERO)
        } else {
            StorePacer::for_node(MonoTime::ZERO)
        };
        self.pace().pacer.set_role(&role);
    }

    /// Waits until a call may be made.
    pub async fn turn(&self) {
        loop {
            let now = self.proxy.now();
            let Err(opens_at) = self.pace().pacer.try_call(now) else {
                return;
            };
            sleep_until(self.proxy.clock().instant(opens_at)).await;
        }
    }

    /// Waits for its turn, makes the call, and notes what came of it.
    pub async fn call<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        self.turn().await;
        let answer = call.await;
        self.note(answer.as_ref().err());
        answer
    }

    /// Notes that the store answered, or did not. That a lease has lapsed is an answer.
    pub fn note(&self, error: Option<&StoreError>) {
        let error = error.filter(|error| !error.is_lease_lapsed());
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
