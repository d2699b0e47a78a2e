//! Tells nodes that start, through the store, whom to join.
//!
//! A node writes its address under a lease before it reads the others': of two that start
//! together at least one then sees the other. Only the watchers of a failure domain keep their
//! entries, so that the store's load grows with the failure domains.

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

/// How long an entry outlives its last renewal. Longer than a watcher is away for a restart, so that
/// a whole fleet that restarts finds its old entries at the same addresses.
const SEED_LIFE: Duration = Duration::from_secs(30);

/// Time between two renewals, after which an entry that the store took away is written again. The store
/// counts a renewal as a tenth of a read.
const RENEWAL_PERIOD: Duration = Duration::from_secs(2);

/// How often a node that knows no other looks again.
const LONELY_PERIOD: Duration = Duration::from_secs(2);

/// Keeps this node's entry and finds others.
#[derive(Debug)]
pub struct SeedTask {
    /// The path of requests.
    proxy: ProxyState,
    /// Who is there.
    members: MemberLink,
    /// The way to the store.
    store: StoreLink,
    /// The lease of the entry, while there is one.
    lease: Option<LeaseId>,
}

impl SeedTask {
    /// Starts to keep the entry.
    pub fn start(proxy: &ProxyState, members: &MemberLink, store: StoreLink) {
        let task = Self {
            proxy: proxy.clone(),
            members: members.clone(),
            store,
            lease: None,
        };
        proxy.tasks().spawn(task.run());
    }

    /// Keeps the entry while it is this node's part, and looks for others while it knows none.
    async fn run(mut self) {
        // One that another node has found may still know half of the fleet only.
        let mut is_first = true;
        loop {
            if self.members.is_watcher() {
                // The pace of the store bounds the next try.
                let _ = self.keep_entry().await;
            }
            let mut is_lonely = self.members.live_count() < 2;
            if is_lonely || is_first {
                // The same bounds this one, and the link has logged the failure.
                is_first = self.find_others().await.is_err();
                is_lonely = self.members.live_count() < 2;
            }
            sleep(if is_lonely {
                LONELY_PERIOD
            } else {
                RENEWAL_PERIOD
            })
            .await;
        }
    }

    /// Renews the entry, or writes it anew when its lease is gone.
    async fn keep_entry(&mut self) -> Result<(), StoreError> {
        if let Some(lease) = self.lease {
            let client = self.store.client.clone();
            let renewing = client.keep_lease_alive(lease, CALL_TIMEOUT);
            match self.store.call(renewing).await {
                Ok(_grant) => return Ok(()),
                Err(error) if error.is_lease_expired() => self.lease = None,
                Err(error) => return Err(error),
            }
        }
        self.write_entry().await
    }

    /// Writes the entry under a new lease.
    async fn write_entry(&mut self) -> Result<(), StoreError> {
        let client = self.store.client.clone();
        let granting = client.grant_lease(SEED_LIFE, CALL_TIMEOUT);
        let grant = self.store.call(granting).await?;
        let options = self.proxy.options();
        let txn = StoreTxn {
            then: vec![StoreOp::Put {
                key: store_keys::seed(&options.domain, options.peer_address),
                value: options.peer_address.to_string().into_bytes(),
                lease: Some(grant.lease),
            }],
            ..StoreTxn::default()
        };
        let writing = client.commit(&txn, CALL_TIMEOUT);
        self.store.call(writing).await?;
        self.lease = Some(grant.lease);
        Ok(())
    }

    /// Joins through the entries of others.
    async fn find_others(&self) -> Result<(), StoreError> {
        read_seeds(&self.store, &self.members, store_keys::SEEDS).await
    }
}

/// Reads the addresses under a prefix of the store, and tries them as seeds.
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
    // What another writer left there is no address and names nobody.
    let seeds = texts.filter_map(|text| text.parse().ok()).collect();
    members.handle(MemberEvent::Seeds(seeds));
    Ok(())
}
