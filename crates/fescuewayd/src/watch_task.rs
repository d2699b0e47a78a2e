//! Watching the store for a failure domain: a few nodes of each do, under a lease.

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
    seed_task::read_seeds,
    store_link::{CALL_TIMEOUT, StoreLink},
};

/// Nodes of a failure domain that watch the store.
const WATCHERS: usize = 2;

/// How often a watcher looks whether its lease is due.
const LOOK_PERIOD: Duration = Duration::from_secs(2);

/// How often any other node looks whether it should watch.
const IDLE_PERIOD: Duration = Duration::from_secs(5);

/// Time after which a silent watch is opened anew.
const WATCH_IDLE: Duration = Duration::from_mins(1);

/// How long a failure domain's last report stays after its writer is gone.
const REPORT_LIFE: Duration = Duration::from_mins(15);

/// Time after which the lease of the reports is kept alive again.
const REPORT_RENEWAL: Duration = Duration::from_mins(5);

/// Time that a node looks for peers before it asks the store for some.
const SEED_WAIT: Duration = Duration::from_secs(2);

/// A node's part in watching the store. Cheap to clone.
#[derive(Clone, Debug)]
pub struct WatchDuty {
    proxy: ProxyState,
    members: MemberLink,
    store: StoreLink,
    /// The lease of each slot of this failure domain.
    leases: Arc<Mutex<Vec<LeaseHolder>>>,
    /// Tells that a lease was got or lost.
    lease_changed: Arc<Notify>,
    /// The lease that this node's reports are bound to, and when it was last renewed.
    report_lease: Arc<Mutex<Option<(LeaseId, MonoTime)>>>,
}

impl WatchDuty {
    /// A node that does not watch yet.
    pub fn new(proxy: ProxyState, members: MemberLink, store: StoreLink) -> Self {
        let options = proxy.options();
        let value = options.peer_address.to_string().into_bytes();
        let holders = (0..WATCHERS).map(|slot| {
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

    /// Starts to watch whenever this node is one of the first of its failure domain. Heads that
    /// are seen go to `heads`.
    pub fn run(&self, heads: mpsc::Sender<ConfigHead>) {
        let tasks = self.proxy.tasks();
        for slot in 0..WATCHERS {
            tasks.spawn(self.clone().keep_lease(slot));
        }
        tasks.spawn(self.clone().follow_head(heads));
        tasks.spawn(self.clone().find_seeds());
    }

    /// Writes the domain's report, if this node still is its first watcher when that lands.
    pub async fn write_report(&self, mut report: DomainReport) -> bool {
        if !self.is_held(0) {
            return false;
        }
        let Some(lease) = self.renewed_lease().await else {
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

    /// A lease with which the report of a domain ends that is gone for good. It is kept alive while
    /// reports are written, and outlives their writer by minutes: a domain that was just lost is to
    /// be seen as one that doesn't report.
    async fn renewed_lease(&self) -> Option<LeaseId> {
        let held = *self.report_lease();
        let now = self.proxy.now();
        if let Some((lease, renewed_at)) = held
            && now.since(renewed_at) < REPORT_RENEWAL
        {
            return Some(lease);
        }
        let client = &self.store.client;
        let renewed = if let Some((lease, _)) = held {
            let renewing = client.keep_lease_alive(lease, CALL_TIMEOUT);
            self.store.call(renewing).await
        } else {
            let grant = client.grant_lease(REPORT_LIFE, CALL_TIMEOUT);
            self.store.call(grant).await
        };
        let lease = renewed.ok().map(|grant| grant.lease);
        *self.report_lease() = lease.map(|lease| (lease, now));
        lease
    }

    /// Holds the slot's lease while this node has that place in its failure domain.
    async fn keep_lease(self, slot: usize) {
        let mut is_held = false;
        loop {
            self.look(slot);
            let now = self.proxy.now();
            let action = self.leases()[slot].action(now);
            if action == LeaseAction::Wait {
                let is_idle = self.leases()[slot].next_wake() == MonoTime::NEVER;
                let is_early = !self.is_settled();
                sleep(if is_idle && !is_early {
                    IDLE_PERIOD
                } else {
                    LOOK_PERIOD / 2
                })
                .await;
            } else {
                self.store.turn().await;
                let event = self.act(action).await;
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

    /// Tells the lease whether it is wanted, and the time.
    fn look(&self, slot: usize) {
        let nodes = self.members.domain_nodes();
        let own = self.proxy.node();
        let place = nodes.partition_point(|node| *node < own);
        let is_wanted = self.is_settled() && place == slot;
        self.store
            .set_watcher(self.is_settled() && place < WATCHERS);
        let now = self.proxy.now();
        let mut leases = self.leases();
        leases[slot].handle(now, &LeaseEvent::Wanted(is_wanted));
        leases[slot].handle(now, &LeaseEvent::Tick);
    }

    /// Whether the node knows the fleet, or had time to look for one.
    fn is_settled(&self) -> bool {
        self.members.is_joined() || self.proxy.now() > MonoTime::ZERO + SEED_WAIT
    }

    async fn act(&self, action: LeaseAction) -> LeaseEvent {
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
        self.store.note(answer.as_ref().err());
        let is_lapsed = answer.as_ref().is_err_and(StoreError::is_lease_expired);
        answer.unwrap_or(LeaseEvent::Failed { is_lapsed })
    }

    /// Sends every head that the store shows, while this node holds a lease.
    async fn follow_head(self, heads: mpsc::Sender<ConfigHead>) {
        loop {
            if (0..WATCHERS).any(|slot| self.is_held(slot)) {
                // A watch that ends is opened anew, at the pace of the store.
                let _ = self.watch_head(&heads).await;
            } else {
                // The period covers a change between the look and the wait.
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
        let watch = client.watch(&range, reply.revision + 1, CALL_TIMEOUT);
        let mut watch = self.store.call(watch).await?;
        while let Some(batch) = watch.next(WATCH_IDLE).await? {
            let values = batch.events.iter().filter_map(|event| match event {
                WatchEvent::Put(value) => Some(&*value.value),
                WatchEvent::Delete { .. } => None,
            });
            send_heads(heads, values).await;
        }
        Ok(())
    }

    /// Learns the watchers' addresses from the store when no peer of the settings answers.
    async fn find_seeds(self) {
        loop {
            sleep(SEED_WAIT).await;
            if self.members.live_count() > 1 {
                return;
            }
            // The link has logged a failure, and the wait bounds the next try.
            let _ = read_seeds(&self.store, &self.members, store_keys::WATCHERS).await;
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
            // Without a receiver the node is about to end.
            let _ = timeout(CALL_TIMEOUT, heads.send(head)).await;
        }
    }
}
