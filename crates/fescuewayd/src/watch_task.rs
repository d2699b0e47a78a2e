//! Watches the store on behalf of a failure domain. A few nodes of each domain do so, each under a
//! lease.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use fescueway_core::MonoTime;
use fescueway_platform::{KeyRange, LeaseId, StoreError, StoreOp, StoreTxn, WatchEvent};
use fescueway_proxy::ProxyState;
use fescueway_rollout::{
    ConfigHead, DomainReport, LeaseAction, LeaseEvent, LeaseHolder, store_keys,
};
use fescueway_telemetry::{emit, events::control};
use tokio::{
    sync::{Notify, mpsc},
    time::{sleep, timeout},
};

use crate::{
    member_link::MemberLink,
    seed_task::{SeedReading, read_seeds},
    store_link::{CALL_TIMEOUT, StoreLink},
};

/// Nodes of a failure domain that watch the store, each under a lease.
pub const WATCHERS_PER_DOMAIN: usize = 2;

/// How often a watcher checks whether its lease is due.
const LEASE_CHECK_PERIOD: Duration = Duration::from_secs(2);

/// How often any other node checks whether it should watch.
const IDLE_PERIOD: Duration = Duration::from_secs(5);

/// Time without events after which a watch is reopened.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// How long a failure domain's last report is kept after its writer is gone.
const REPORT_LEASE_TTL: Duration = Duration::from_mins(15);

/// Interval between renewals of the reports' lease.
const REPORT_RENEWAL_PERIOD: Duration = Duration::from_mins(5);

/// Time that a node tries its configured peers before it reads seeds from the store.
const SEED_DELAY: Duration = Duration::from_secs(2);

/// Watches the store while this node is a watcher of its failure domain. Cheap to clone.
#[derive(Clone, Debug)]
pub struct WatchTask {
    proxy: ProxyState,
    members: MemberLink,
    store: StoreLink,
    /// The lease of each slot of this failure domain.
    leases: Arc<Mutex<Vec<LeaseHolder>>>,
    /// Notifies of an acquired or lost lease.
    lease_changed: Arc<Notify>,
    /// The lease of this node's reports, and the time of its last renewal.
    report_lease: Arc<Mutex<Option<(LeaseId, MonoTime)>>>,
}

impl WatchTask {
    /// Creates the task without starting it.
    pub fn new(proxy: ProxyState, members: MemberLink, store: StoreLink) -> Self {
        let options = proxy.options();
        let value = options.peer_address.to_string().into_bytes();
        let holders = (0..WATCHERS_PER_DOMAIN).map(|slot| {
            LeaseHolder::new(store_keys::watcher(&options.domain, slot), value.clone())
        });
        Self {
            leases: Arc::new(Mutex::new(holders.collect())),
            lease_changed: Arc::default(),
            report_lease: Arc::default(),
            proxy,
            members,
            store,
        }
    }

    /// Starts watching whenever this node is among the first of its failure domain. Sends each
    /// configuration head to `heads`.
    pub fn run(&self, heads: mpsc::Sender<ConfigHead>) {
        let tasks = self.proxy.tasks();
        for slot in 0..WATCHERS_PER_DOMAIN {
            tasks.spawn(self.clone().keep_lease(slot));
        }
        tasks.spawn(self.clone().follow_head(heads));
        tasks.spawn(self.clone().find_seeds());
    }

    /// Writes the domain's report, provided that this node still is the first watcher when the
    /// store commits it. Returns whether it was written.
    pub async fn write_report(&self, mut report: DomainReport) -> bool {
        if !self.is_held(0) {
            return false;
        }
        let Some(lease) = self.renew_report_lease().await else {
            return false;
        };
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        report.unix_time_s = since.unwrap_or_default().as_secs();
        let txn = StoreTxn {
            then: vec![StoreOp::Put {
                key: store_keys::in_force(&self.proxy.options().domain),
                value: serde_json::to_vec(&report).unwrap_or_default(),
                lease: Some(lease),
            }],
            ..StoreTxn::default()
        };
        let Some(fenced) = self.leases()[0].fence(txn) else {
            return false;
        };
        let write = self.store.client.commit(&fenced, CALL_TIMEOUT);
        let reply = self.store.call(write).await;
        let is_written = reply.is_ok_and(|reply| reply.is_success);
        if !is_written {
            // The lease may have lapsed during an outage.
            *self.report_lease() = None;
        }
        is_written
    }

    /// Renews the lease that removes the report of a domain that is gone for good. It is kept alive
    /// while reports are written and outlives their writer by minutes, so that a domain that was
    /// just lost still shows as not reporting.
    async fn renew_report_lease(&self) -> Option<LeaseId> {
        let held = *self.report_lease();
        let now = self.proxy.now();
        if let Some((lease, renewed_at)) = held
            && now.since(renewed_at) < REPORT_RENEWAL_PERIOD
        {
            return Some(lease);
        }
        let client = &self.store.client;
        let renewed = if let Some((lease, _)) = held {
            let renewal = client.keep_lease_alive(lease, CALL_TIMEOUT);
            self.store.call(renewal).await
        } else {
            let grant = client.grant_lease(REPORT_LEASE_TTL, CALL_TIMEOUT);
            self.store.call(grant).await
        };
        let lease = renewed.ok().map(|grant| grant.lease);
        *self.report_lease() = lease.map(|lease| (lease, now));
        lease
    }

    /// Holds the slot's lease while this node has that rank in its failure domain.
    async fn keep_lease(self, slot: usize) {
        let mut is_held = false;
        loop {
            self.update_lease(slot);
            let now = self.proxy.now();
            let action = self.leases()[slot].action(now);
            if action == LeaseAction::Wait {
                let is_idle = self.leases()[slot].next_wake() == MonoTime::NEVER;
                let is_starting = !self.is_membership_ready();
                sleep(if is_idle && !is_starting {
                    IDLE_PERIOD
                } else {
                    LEASE_CHECK_PERIOD / 2
                })
                .await;
            } else {
                self.store.wait_for_budget().await;
                let event = self.execute(action).await;
                let now = self.proxy.now();
                self.leases()[slot].handle(now, &event);
            }
            let was_held = std::mem::replace(&mut is_held, self.is_held(slot));
            if was_held != is_held {
                let kind = if is_held {
                    &control::WATCH_STARTED
                } else {
                    &control::WATCH_ENDED
                };
                emit(kind, &[&slot]);
                self.lease_changed.notify_waiters();
            }
        }
    }

    /// Updates the slot's lease with whether it is wanted, and with the time.
    fn update_lease(&self, slot: usize) {
        let nodes = self.members.domain_nodes();
        let own = self.proxy.node();
        let rank = nodes.partition_point(|node| *node < own);
        let is_wanted = self.is_membership_ready() && rank == slot;
        self.store
            .set_watcher(self.is_membership_ready() && rank < WATCHERS_PER_DOMAIN);
        let now = self.proxy.now();
        let mut leases = self.leases();
        leases[slot].handle(now, &LeaseEvent::Wanted(is_wanted));
        leases[slot].handle(now, &LeaseEvent::Tick);
    }

    /// Whether the node has joined the fleet, or had enough time to find one.
    fn is_membership_ready(&self) -> bool {
        self.members.is_joined() || self.proxy.now() > MonoTime::ZERO + SEED_DELAY
    }

    async fn execute(&self, action: LeaseAction) -> LeaseEvent {
        let asked_at = self.proxy.now();
        let client = &self.store.client;
        let granted = |grant| LeaseEvent::Granted { asked_at, grant };
        let answer = match action {
            LeaseAction::Wait => return LeaseEvent::Tick,
            LeaseAction::Grant(time) => client.grant_lease(time, CALL_TIMEOUT).await.map(granted),
            LeaseAction::Claim(txn) => client
                .commit(&txn, CALL_TIMEOUT)
                .await
                .map(LeaseEvent::Claimed),
            LeaseAction::KeepAlive(lease) => client
                .keep_lease_alive(lease, CALL_TIMEOUT)
                .await
                .map(granted),
            LeaseAction::Revoke(lease) => {
                let revoked = client.revoke_lease(lease, CALL_TIMEOUT).await;
                revoked.map(|()| LeaseEvent::Failed { is_lapsed: true })
            }
        };
        self.store.record_result(answer.as_ref().err());
        let is_lapsed = answer
            .as_ref()
            .is_err_and(|error| error.is_lease_expired() || error.is_restored());
        answer.unwrap_or(LeaseEvent::Failed { is_lapsed })
    }

    /// Sends every head that the store reports while this node holds a lease.
    async fn follow_head(self, heads: mpsc::Sender<ConfigHead>) {
        loop {
            if (0..WATCHERS_PER_DOMAIN).any(|slot| self.is_held(slot)) {
                // A watch that ends is reopened; the store's call budget limits the rate.
                let _ = self.watch_head(&heads).await;
            } else {
                // The timeout covers a change between the check and the wait.
                let _ = timeout(IDLE_PERIOD, self.lease_changed.notified()).await;
            }
        }
    }

    async fn watch_head(&self, heads: &mpsc::Sender<ConfigHead>) -> Result<(), StoreError> {
        let client = &self.store.client;
        let range = KeyRange::Key(store_keys::HEAD.to_owned());
        let reply = self.store.call(client.range(&range, CALL_TIMEOUT)).await?;
        let values = reply.values.iter();
        send_heads(heads, values.map(|value| &*value.value)).await;
        let watch = client.watch(&range, reply.revision.next(), CALL_TIMEOUT);
        let mut watch = self.store.call(watch).await?;
        while let Some(batch) = watch.next(WATCH_IDLE_TIMEOUT).await? {
            let values = batch.events.iter().filter_map(|event| match event {
                WatchEvent::Put(value) => Some(&*value.value),
                WatchEvent::Delete { .. } => None,
            });
            send_heads(heads, values).await;
        }
        Ok(())
    }

    /// Reads the watchers' addresses from the store while no peer of the settings answers.
    async fn find_seeds(self) {
        loop {
            sleep(SEED_DELAY).await;
            if self.members.live_count() > 1 {
                return;
            }
            // A failure was logged by the store link, and the delay limits the retry rate.
            let _ = read_seeds(
                &self.store,
                &self.members,
                store_keys::WATCHERS,
                SeedReading::Current,
            )
            .await;
        }
    }

    fn is_held(&self, slot: usize) -> bool {
        let now = self.proxy.now();
        self.leases()[slot].is_held(now)
    }

    fn report_lease(&self) -> MutexGuard<'_, Option<(LeaseId, MonoTime)>> {
        self.report_lease
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn leases(&self) -> MutexGuard<'_, Vec<LeaseHolder>> {
        self.leases.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn send_heads(heads: &mpsc::Sender<ConfigHead>, values: impl Iterator<Item = &[u8]>) {
    for value in values {
        if let Ok(head) = serde_json::from_slice(value) {
            // A missing receiver means that the node is stopping.
            let _ = timeout(CALL_TIMEOUT, heads.send(head)).await;
        }
    }
}
