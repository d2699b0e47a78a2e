//! Publishes addresses in the store through which starting nodes join the fleet.
//!
//! A node that starts reads the published addresses and joins through them. Only if it finds no
//! other node it publishes its own, and then reads again, so that of two nodes that start at the same
//! time at least one sees the other. Of a fleet that has joined, two nodes of each failure domain
//! keep their addresses published. So the store's load grows with the number of failure domains.
//!
//! Where client accounts have allotments, a node also finds out whether it knows the whole fleet
//! ([`FleetSearch`](fescueway_membership::FleetSearch)): it asks other nodes, and, if these can't tell, the
//! store until that has answered for a while.

use std::{net::SocketAddr, time::Duration};

use fescueway_config::SitePlan;
use fescueway_membership::{FleetKnowledge, MemberEvent};
use fescueway_platform::{KeyRange, LeaseId, StoreError, StoreOp, StoreTxn};
use fescueway_proxy::ProxyState;
use fescueway_rollout::store_keys;
use fescueway_wire::{ControlKind, PREFIX_BYTES, decode_payload, encode_frame};
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    member_link::MemberLink,
    store_link::{CALL_TIMEOUT, StoreLink},
};

/// Lease time of an address. Longer than a node takes to restart, so that a whole fleet that
/// restarts at the same addresses finds its old ones.
const SEED_LEASE_TTL: Duration = Duration::from_secs(30);

/// Interval between renewals; an address whose lease has lapsed is written again. The store counts
/// a renewal as a tenth of a read.
const RENEWAL_PERIOD: Duration = Duration::from_secs(2);

/// How often a node that knows no other node reads the addresses.
const SEARCH_PERIOD: Duration = Duration::from_secs(2);

/// How often a node that doesn't know the fleet yet, and is alone or a seed, reads the addresses where
/// client accounts have allotments.
const CONFIRM_PERIOD: Duration = Duration::from_secs(1);

/// Stale reads of the addresses by a node that starts, before it publishes its own.
const FIRST_READS: u32 = 3;

/// Longest delay between the first two of these reads; each further one is three times as long. Of
/// the nodes of a fleet that start together for the first time, the first to end its reads publishes
/// its address, and most others find that.
const FIRST_READ_DELAY: Duration = Duration::from_millis(300);

/// Time within which one of the nodes whose addresses were read has to answer.
const JOIN_TIMEOUT: Duration = Duration::from_secs(1);

/// How often a starting node checks whether another one has answered.
const JOIN_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Time after which a node that joined knows which nodes watch the store.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// How often a node that doesn't know the fleet asks others whether they do.
const ASK_PERIOD: Duration = Duration::from_millis(250);

/// Number of nodes that it asks each time.
const ASKED_PEERS: usize = 3;

/// Timeout of such a question.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);

/// How recent the addresses that are read from the store have to be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SeedReading {
    /// As they are now.
    Current,
    /// As they were some seconds ago at most, which the store counts as a tenth of a read.
    Stale,
}

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
        let members = members.clone();
        let answer = move |_peer, _body| {
            let knowledge = members.search().knowledge();
            let answer = encode_frame(&knowledge).map_err(|error| error.to_string());
            async move { answer }
        };
        proxy.controls().register(ControlKind::Search, answer);
        proxy.tasks().spawn(task.run());
    }

    /// Joins, then publishes the address while this node is a seed, and searches for nodes while
    /// it knows none.
    async fn run(mut self) {
        if self.join().await {
            self.ask_peers().await;
            sleep(SETTLE_TIME).await;
            if self.lease.is_some() {
                // This node found no other at first, and others may have published theirs since.
                self.confirm_fleet().await;
            }
        }
        self.members.end_search();
        loop {
            let is_seed = self.members.is_seed();
            if is_seed {
                // The store's call budget limits the retry rate.
                let _ = self.renew_address().await;
            }
            if self.is_alone() {
                // As above; the store link has logged the failure.
                let _ = self.find_peers(SeedReading::Current).await;
            } else if is_seed {
                self.confirm_fleet().await;
            }
            let pause = if self.needs_search() {
                CONFIRM_PERIOD
            } else if self.is_alone() {
                SEARCH_PERIOD
            } else {
                RENEWAL_PERIOD
            };
            self.ask_peers_for(pause).await;
        }
    }

    /// Waits for `pause`, and meanwhile asks other nodes whether they know the fleet.
    async fn ask_peers_for(&self, pause: Duration) {
        let end = Instant::now() + pause;
        while Instant::now() < end && (!self.proxy.is_configured() || self.needs_search()) {
            self.ask_peers().await;
            sleep(ASK_PERIOD).await;
        }
        sleep_until(end).await;
    }

    /// Whether this node has to know the whole fleet, and doesn't yet.
    fn needs_search(&self) -> bool {
        has_allotments(&self.proxy.plan()) && !self.members.is_fleet_known()
    }

    /// Asks some other nodes whether they know the fleet, unless this one does.
    async fn ask_peers(&self) {
        if self.is_alone() || !self.needs_search() {
            return;
        }
        let mut answers = Vec::new();
        for address in self.members.sample_peers(ASKED_PEERS) {
            let peers = self.proxy.peers();
            let call = peers.call(address, ControlKind::Search, Vec::new(), ASK_TIMEOUT);
            // Nodes of earlier versions don't answer.
            let Ok(answer) = call.await else { continue };
            let payload = answer.get(PREFIX_BYTES..).unwrap_or_default();
            answers.extend(decode_payload::<FleetKnowledge>(payload).ok());
        }
        let now = self.proxy.now();
        self.members.search().record_peers(now, &answers);
    }

    /// Reads the addresses again, unless this node knows the fleet.
    async fn confirm_fleet(&self) {
        if self.needs_search() {
            // The store link has logged the failure.
            let _ = self.find_peers(SeedReading::Current).await;
        }
    }

    /// Joins the fleet through the published addresses, or publishes this node's address. Returns
    /// whether it knows another node.
    async fn join(&mut self) -> bool {
        let mut has_seeds = false;
        for read in 0..FIRST_READS {
            if let Some(delays) = read.checked_sub(1) {
                let delay = FIRST_READ_DELAY * 3_u32.pow(delays);
                sleep(self.members.jittered(delay)).await;
            }
            // A failure has been logged and counts as no address.
            has_seeds = self.find_peers(SeedReading::Stale).await.unwrap_or(false);
            if has_seeds || !self.is_alone() {
                break;
            }
        }
        if self.has_joined(has_seeds).await {
            return true;
        }
        // The store's call budget limits the retry rate; `run` tries again.
        let _ = self.renew_address().await;
        let has_seeds = self.find_peers(SeedReading::Current).await.unwrap_or(false);
        self.has_joined(has_seeds).await
    }

    /// Waits until another node is known, if there are seeds to answer. Returns whether one is.
    async fn has_joined(&self, has_seeds: bool) -> bool {
        let checks = JOIN_TIMEOUT.as_millis() / JOIN_CHECK_PERIOD.as_millis();
        let mut checks_left = if has_seeds { checks } else { 0 };
        while self.is_alone() && checks_left > 0 {
            checks_left -= 1;
            sleep(JOIN_CHECK_PERIOD).await;
        }
        !self.is_alone()
    }

    /// Whether no other live node is known.
    fn is_alone(&self) -> bool {
        self.members.live_count() < 2
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

    /// Joins the fleet through the published addresses. Returns whether there were any.
    async fn find_peers(&self, reading: SeedReading) -> Result<bool, StoreError> {
        let read = read_seeds(&self.store, &self.members, store_keys::SEEDS, reading).await;
        match &read {
            Ok(others) if reading == SeedReading::Current => {
                let is_complete = self.members.are_known(others);
                let now = self.proxy.now();
                self.members.search().record_list(now, is_complete);
            }
            // A stale list may be one of before an outage.
            Ok(_) => {}
            Err(_) => self.members.search().record_failure(),
        }
        read.map(|others| !others.is_empty())
    }
}

/// Reads the addresses under a prefix of the store, and uses them as seeds. Returns those of other
/// nodes.
///
/// # Errors
///
/// When the store does not answer.
pub async fn read_seeds(
    store: &StoreLink,
    members: &MemberLink,
    prefix: &str,
    reading: SeedReading,
) -> Result<Vec<SocketAddr>, StoreError> {
    let range = KeyRange::Prefix(prefix.to_owned());
    let client = &store.client;
    let reply = match reading {
        SeedReading::Current => store.call(client.range(&range, CALL_TIMEOUT)).await?,
        SeedReading::Stale => store.call(client.range_stale(&range, CALL_TIMEOUT)).await?,
    };
    let texts = reply.values.iter();
    let texts = texts.filter_map(|value| std::str::from_utf8(&value.value).ok());
    // Skips values that are not an address.
    let seeds: Vec<SocketAddr> = texts.filter_map(|text| text.parse().ok()).collect();
    let mut others = seeds.clone();
    others.retain(|seed| *seed != members.address());
    members.handle(MemberEvent::Seeds(seeds));
    Ok(others)
}

/// Whether an account of the site has an allotment, which holds over the whole fleet.
pub fn has_allotments(plan: &SitePlan) -> bool {
    let directory = plan.accounts.as_ref();
    directory.is_some_and(|directory| {
        let mut accounts = directory.accounts().values();
        accounts.any(|account| account.allotment.is_some())
    })
}
