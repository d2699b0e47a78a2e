//! Publishes addresses in the store through which starting nodes join the fleet.
//!
//! A node writes its address under a lease before it reads those of others, so that of two nodes
//! that start at the same time at least one sees the other. Only the watchers of a failure domain
//! keep their addresses, so that the store's load grows with the number of failure domains.

use std::time::Duration;

use fescueway_membership::MemberEvent;
use fescueway_platform::{KeyRange, LeaseId, StoreError, StoreOp, StoreTxn};
use fescueway_proxy::ProxyState;
use fescueway_rollout::store_keys;
use tokio::time::sleep;

use crate::{
    member_link::MemberLink,
    store_link::{CALL_TIMEOUT, StoreLink},
};

/// Lease time of an address. Longer than a watcher takes to restart, so that a whole fleet that
/// restarts at the same addresses finds its old ones.
const SEED_LEASE_TTL: Duration = Duration::from_secs(30);

/// Interval between renewals; an address whose lease has lapsed is written again. The store counts
/// a renewal as a tenth of a read.
const RENEWAL_PERIOD: Duration = Duration::from_secs(2);

/// How often a node that knows no other node reads the addresses.
const SEARCH_PERIOD: Duration = Duration::from_secs(2);

/// Publishes this node's address and finds other nodes.
#[derive(Debug)]
pub struct SeedTask {
    /// The proxy.
    proxy: ProxyState,
    /// The membership.
    members: MemberLink,
    /// The store connection.
    store: StoreLink,
    /// The lease of the published address, if any.
    lease: Option<LeaseId>,
}

impl SeedTask {
    /// Starts the task.
    pub fn start(proxy: &ProxyState, members: &MemberLink, store: StoreLink) {
        let task = Self {
            proxy: proxy.clone(),
            members: members.clone(),
            store,
            lease: None,
        };
        proxy.tasks().spawn(task.run());
    }

    /// Publishes the address while this node is a watcher, and searches for nodes while it knows
    /// none.
    async fn run(mut self) {
        // The first search runs in any case: a node that was found by another may know only half of
        // the fleet.
        let mut is_first = true;
        loop {
            if self.members.is_watcher() {
                // The store's call budget limits the retry rate.
                let _ = self.renew_address().await;
            }
            let mut is_alone = self.members.live_count() < 2;
            if is_alone || is_first {
                // As above; the store link has logged the failure.
                is_first = self.find_peers().await.is_err();
                is_alone = self.members.live_count() < 2;
            }
            sleep(if is_alone {
                SEARCH_PERIOD
            } else {
                RENEWAL_PERIOD
            })
            .await;
        }
    }

    /// Renews the address, or writes it again when its lease has lapsed.
    async fn renew_address(&mut self) -> Result<(), StoreError> {
        if let Some(lease) = self.lease {
            let client = self.store.client.clone();
            let renewal = client.keep_lease_alive(lease, CALL_TIMEOUT);
            match self.store.call(renewal).await {
                Ok(_grant) => return Ok(()),
                Err(error) if error.is_lease_expired() => self.lease = None,
                Err(error) => return Err(error),
            }
        }
        self.write_address().await
    }

    /// Writes the address under a new lease.
    async fn write_address(&mut self) -> Result<(), StoreError> {
        let client = self.store.client.clone();
        let grant_call = client.grant_lease(SEED_LEASE_TTL, CALL_TIMEOUT);
        let grant = self.store.call(grant_call).await?;
        let options = self.proxy.options();
        let txn = StoreTxn {
            then: vec![StoreOp::Put {
                key: store_keys::seed(&options.domain, options.peer_address),
                value: options.peer_address.to_string().into_bytes(),
                lease: Some(grant.lease),
            }],
            ..StoreTxn::default()
        };
        let commit_call = client.commit(&txn, CALL_TIMEOUT);
        self.store.call(commit_call).await?;
        self.lease = Some(grant.lease);
        Ok(())
    }

    /// Joins the fleet through the published addresses.
    async fn find_peers(&self) -> Result<(), StoreError> {
        read_seeds(&self.store, &self.members, store_keys::SEEDS).await
    }
}

/// Reads the addresses under a prefix of the store, and uses them as seeds.
///
/// # Errors
///
/// When the store does not answer.
pub async fn read_seeds(
    store: &StoreLink,
    members: &MemberLink,
    prefix: &str,
) -> Result<(), StoreError> {
    let range = KeyRange::Prefix(prefix.to_owned());
    let reply = store.call(store.client.range(&range, CALL_TIMEOUT)).await?;
    let texts = reply.values.iter();
    let texts = texts.filter_map(|value| std::str::from_utf8(&value.value).ok());
    // Skips values that are not an address.
    let seeds = texts.filter_map(|text| text.parse().ok()).collect();
    members.handle(MemberEvent::Seeds(seeds));
    Ok(())
}
