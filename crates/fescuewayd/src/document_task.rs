//! Keeps a configuration in force that is stored as a single document.
//!
//! A few nodes of each failure domain watch the store; the others learn of a newer version through
//! the membership and fetch it from a peer that has it. A node that knows no other node watches the
//! store itself. A node that starts reads the document once, so that a fleet that starts at once need
//! not hand it on.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use fescueway_config::AccountDirectory;
use fescueway_core::{BootTime, ConfigMark};
use fescueway_membership::MemberEvent;
use fescueway_platform::{KeyRange, RangeReply, StoreError, StoreRevision, WatchBatch, WatchEvent};
use fescueway_proxy::{BootClock, ProxyState};
use fescueway_telemetry::{emit, events::control};
use fescueway_wire::ControlKind;
use tokio::time::sleep;

use crate::{
    DaemonSettings, StatusBoard,
    document_proof::DocumentProof,
    held_document::{HeldDocument, decompress},
    member_link::MemberLink,
    node_adapter::{DocumentSource, PlanDocument},
    proof_task::ProofTask,
    store_link::{CALL_TIMEOUT, StoreLink},
};

/// How often a node checks whether it should watch the store.
const WATCHER_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// How often a node that doesn't watch the store checks whether it should read it.
const FOLLOWER_CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Time between two reads of a node that doesn't watch the store, while other nodes don't answer.
const SILENCE_READ_PERIOD: Duration = Duration::from_secs(1);

/// How often a node that searches for the fleet after its start checks that.
const SEARCH_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Time that the polls of a failure domain's first watcher wait for changes. With the time that a poll
/// may take longer, it bounds how long a lost notification goes unnoticed by all watchers.
const FIRST_POLL_WAIT: Duration = Duration::from_millis(1_250);

/// Time after a change until any other watcher polls again. Meanwhile it hears of changes from peers; if
/// these are lost too, its next poll still brings them in time.
const POLL_PAUSE: Duration = Duration::from_secs(1);

/// Timeout of fetching the document from a peer. Sized for a compressed document of 1,700 routes,
/// about 40 kB, from a peer on a 10 Mbit/s link that serves ten other nodes at the same time.
const PEER_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before another peer is tried.
const PEER_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Delay after an unreadable document: the next peer's copy is probably unreadable too. It also
/// limits the log rate.
const UNREADABLE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Keeps the document in force. Cheap to clone.
#[derive(Clone, Debug)]
pub struct DocumentTask {
    /// The proxy.
    proxy: ProxyState,
    /// The membership.
    members: MemberLink,
    /// The status shown to operators.
    board: StatusBoard,
    /// The document's key and its decoder.
    source: DocumentSource,
    /// Whether the deployment uses client accounts, so that a document without any makes keys invalid.
    uses_accounts: bool,
    /// What is proven of the document in force.
    proof: DocumentProof,
    /// The document in force.
    held: Arc<Mutex<HeldDocument>>,
}

impl DocumentTask {
    /// Starts following the document.
    pub fn start(
        proxy: &ProxyState,
        members: &MemberLink,
        board: &StatusBoard,
        settings: &DaemonSettings,
        store: Option<StoreLink>,
        source: DocumentSource,
    ) {
        let proof = DocumentProof::new(proxy, members, board, settings, &source);
        let is_interface_used = settings.interfaces.contains(&*source.account_interface);
        let task = Self {
            proxy: proxy.clone(),
            members: members.clone(),
            board: board.clone(),
            source,
            uses_accounts: is_interface_used || settings.key_proof.is_some(),
            proof,
            held: Arc::default(),
        };
        let handler = task.clone();
        proxy
            .controls()
            .register(ControlKind::Config, move |_peer, body| {
                let answer = handler.answer(&body);
                async move { answer }
            });
        proxy.tasks().spawn(task.clone().follow_peers());
        if task.proof.is_enabled() {
            ProofTask::start(proxy, members, &task, &task.proof, store.clone());
        }
        if let Some(store) = store {
            proxy.tasks().spawn(task.follow_store(store));
        }
    }

    /// Answers a peer whose version is in `body`, little-endian.
    fn answer(&self, body: &[u8]) -> Result<Vec<u8>, String> {
        let known = <[u8; 8]>::try_from(body).map_err(|error| error.to_string())?;
        let mut held = self.held();
        if held.version() <= u64::from_le_bytes(known) {
            return Err("nothing newer".to_owned());
        }
        Ok(held.compressed().to_vec())
    }

    /// Fetches newer versions from peers.
    async fn follow_peers(self) {
        let mut marks = self.members.newest_mark();
        loop {
            let newest = marks.borrow_and_update().revision;
            while newest > self.held().version() {
                self.proxy.set_plan_behind(true);
                if let Err(delay) = self.fetch(newest).await {
                    sleep(delay).await;
                }
            }
            if self.board.facts().config_error.is_none() {
                self.proxy.set_plan_behind(false);
            }
            // Nodes announce only what they know to be current.
            let held = self.held().version();
            if held > 0 && newest == held {
                self.confirm();
            }
            if marks.changed().await.is_err() {
                return;
            }
        }
    }

    /// Fetches the document from a peer that has `version`. The error is the delay before the next
    /// try.
    async fn fetch(&self, version: u64) -> Result<(), Duration> {
        let address = self
            .members
            .node_with_revision(version)
            .ok_or(PEER_RETRY_DELAY)?;
        self.fetch_from(address, version).await
    }

    /// Fetches the document from the peer at `address`, which has `version`. The error is the delay
    /// before the next try.
    pub async fn fetch_from(&self, address: SocketAddr, version: u64) -> Result<(), Duration> {
        let body = self.held().version().to_le_bytes().to_vec();
        let peers = self.proxy.peers();
        match peers
            .call(address, ControlKind::Config, body, PEER_CALL_TIMEOUT)
            .await
        {
            Ok(compressed) => {
                let version = self.apply_compressed(&compressed);
                version.ok_or(UNREADABLE_RETRY_DELAY)?;
                self.confirm();
                Ok(())
            }
            Err(error) => {
                emit(&control::CONFIG_FETCH_FAILED, &[&version, &"peer", &error]);
                Err(PEER_RETRY_DELAY)
            }
        }
    }

    /// Reads the document, then watches it while this node is a watcher.
    async fn follow_store(self, store: StoreLink) {
        store.set_watcher(true);
        // The store link has logged the failure. Peers know of versions that are newer.
        let _ = self.read_stale(&store).await;
        loop {
            if !self.members.has_searched() {
                sleep(SEARCH_CHECK_PERIOD).await;
                continue;
            }
            let is_watching = self.members.is_watcher();
            store.set_watcher(is_watching);
            if is_watching {
                // The store link has logged the failure, and its call budget limits the retry rate.
                let _ = self.watch(&store).await;
            } else if self.members.has_unanswered_ping() {
                // All watchers may be lost, which the failure detection notices only seconds later.
                store.set_watcher(true);
                // As above.
                let _ = self.read_current(&store).await;
                sleep(SILENCE_READ_PERIOD).await;
            } else {
                sleep(FOLLOWER_CHECK_PERIOD).await;
            }
        }
    }

    /// Reads the document. Returns the revision of the store at which it was read.
    async fn read_current(&self, store: &StoreLink) -> Result<StoreRevision, StoreError> {
        let range = self.range();
        let reading = async {
            // Taken when the call is made, so that a wait for the call budget doesn't count.
            let sent_at = BootClock::now();
            let reply = store.client.range(&range, CALL_TIMEOUT).await?;
            Ok((sent_at, reply))
        };
        let (sent_at, reply) = store.call(reading).await?;
        self.apply_current(sent_at, &reply);
        Ok(reply.revision)
    }

    /// Reads the document to prove that it is the latest one. The caller limits the rate, which has to
    /// be higher than the store's call budget allows after failures.
    pub async fn read_for_proof(&self, store: &StoreLink, time_left: Duration) {
        let sent_at = BootClock::now();
        // The time is short, so a failure says little of the store, and mustn't delay other calls.
        if let Ok(reply) = store.client.range(&self.range(), time_left).await {
            store.record_result(None);
            self.apply_current(sent_at, &reply);
        }
    }

    /// Applies a read that was sent at `sent_at` and returned what the store held then or later.
    fn apply_current(&self, sent_at: BootTime, reply: &RangeReply) {
        let found = self.apply_values(reply);
        self.proof.read_evacuations(reply, true);
        if self.held().version() > 0 {
            self.confirm();
        }
        // A document that is absent or can't be read leaves the accepted one in force.
        self.prove(sent_at, found.unwrap_or_default());
    }

    /// Records that the store was asked at `sent_at` and held no readable version above `found`. Proves
    /// nothing while its document can't be read: that one may withdraw keys.
    fn prove(&self, sent_at: BootTime, found: u64) {
        let held = self.held();
        if !held.is_latest_unreadable() {
            self.proof.prove(sent_at, found, held.version());
        }
    }

    /// Applies the document among the values of a read. Returns its version if it could be read.
    fn apply_values(&self, reply: &RangeReply) -> Option<u64> {
        let mut values = reply.values.iter();
        let Some(value) = values.find(|value| *value.key == *self.source.key) else {
            self.held().set_latest_unreadable(false);
            return None;
        };
        self.apply_plain(&value.value)
    }

    /// The keys to read and to watch.
    fn range(&self) -> KeyRange {
        if self.proof.has_evacuations() {
            KeyRange::Prefix(self.source.prefix.to_string())
        } else {
            KeyRange::Key(self.source.key.to_string())
        }
    }

    /// Reads the document as it was some seconds ago at most, which the store counts as a tenth of
    /// a read.
    async fn read_stale(&self, store: &StoreLink) -> Result<(), StoreError> {
        let range = self.range();
        let reading = store.client.range_stale(&range, CALL_TIMEOUT);
        let reply = store.call(reading).await?;
        self.proof.read_evacuations(&reply, false);
        // A peer may have sent the current one meanwhile.
        if self.held().version() == 0 && !reply.values.is_empty() {
            self.proxy.set_plan_current(false);
        }
        self.apply_values(&reply);
        Ok(())
    }

    /// Records that the document in force is current, and announces it.
    fn confirm(&self) {
        self.proxy.set_plan_current(true);
        self.announce();
    }

    /// Records that the document in force is current if that isn't known yet.
    pub fn confirm_if_unknown(&self) {
        if !self.proxy.is_plan_current() {
            self.confirm();
        }
    }

    /// The version in force; zero while there is none.
    pub fn version(&self) -> u64 {
        self.held().version()
    }

    /// Announces the version in force to the other nodes.
    fn announce(&self) {
        let mark = ConfigMark {
            revision: self.held().version(),
            ..ConfigMark::default()
        };
        self.members.handle(MemberEvent::Mark(mark));
    }

    /// Reads the document and follows its changes until this node's role changes.
    async fn watch(&self, store: &StoreLink) -> Result<(), StoreError> {
        let range = self.range();
        let client = &store.client;
        let revision = self.read_current(store).await?;
        let watch_call = client.watch(&range, revision.next(), CALL_TIMEOUT);
        let mut watch = store.call(watch_call).await?;
        let is_first = self.members.is_first_watcher();
        // The reads that prove the document current also bring a change whose notification was lost.
        if is_first && !self.proof.has_keys() {
            watch.set_poll_wait(FIRST_POLL_WAIT);
        }
        if self.proof.is_enabled() {
            watch.set_clock(BootClock::now);
        }
        let mut watched_version = self.held().version();
        while self.members.is_watcher() && self.members.is_first_watcher() == is_first {
            let is_behind = self.held().version() > watched_version;
            match watch.next(WATCHER_CHECK_PERIOD).await {
                Ok(Some(batch)) => {
                    let newest = self.apply_batch(batch);
                    watched_version = newest.unwrap_or_default().max(watched_version);
                    if !is_first {
                        sleep(POLL_PAUSE).await;
                    }
                }
                // A peer told of a change that this watch has missed, so it is broken.
                Ok(None) if is_behind => return Ok(()),
                Ok(None) => {
                    if let Some(proven_at) = watch.proven_at() {
                        self.prove(proven_at, watched_version);
                    }
                }
                Err(error) => {
                    // After a lost answer or another era, the document is read at once. That read
                    // tells whether the store answers.
                    if !error.is_effect_unknown() {
                        store.record_result(Some(&error));
                    }
                    return Err(error);
                }
            }
        }
        Ok(())
    }

    /// Applies the changes that a watch reported. Returns the newest version among them.
    fn apply_batch(&self, batch: WatchBatch) -> Option<u64> {
        self.proof.watch_evacuations(&batch);
        let versions = batch.events.into_iter().filter_map(|event| match event {
            WatchEvent::Put(value) if *value.key == *self.source.key => {
                self.apply_plain(&value.value)
            }
            // A deleted document stays in force: an accepted configuration never reverts.
            WatchEvent::Put(_) | WatchEvent::Delete { .. } => None,
        });
        let newest = versions.max();
        if newest.is_some() {
            self.confirm();
        }
        newest
    }

    /// Applies a compressed document from a peer. Returns its version if it could be read.
    fn apply_compressed(&self, bytes: &[u8]) -> Option<u64> {
        match decompress(bytes) {
            Ok(plain) => {
                self.put_in_force(&plain, |held, version| held.set_compressed(version, bytes))
            }
            Err(reason) => {
                emit(&control::CONFIG_REJECTED, &[&"unknown", &reason]);
                None
            }
        }
    }

    /// Applies a plain document from the store. Returns its version if it could be read.
    fn apply_plain(&self, plain: &[u8]) -> Option<u64> {
        let version = self.put_in_force(plain, |held, version| held.set_plain(version, plain));
        self.held().set_latest_unreadable(version.is_none());
        version
    }

    /// Puts a document in force unless `replace` reports that it is not newer than the current one.
    /// Returns its version if it could be read.
    fn put_in_force(
        &self,
        bytes: &[u8],
        replace: impl FnOnce(&mut HeldDocument, u64) -> bool,
    ) -> Option<u64> {
        let read = (self.source.read)(&self.proxy.options().site, bytes);
        let PlanDocument { version, mut plan } = match read {
            Ok(document) => document,
            Err(reason) => {
                emit(&control::CONFIG_REJECTED, &[&"unknown", &reason]);
                self.proxy.set_plan_behind(true);
                self.board
                    .change(|facts| facts.config_error = Some(reason.clone()));
                return None;
            }
        };
        if self.uses_accounts && plan.accounts.is_none() {
            plan.accounts = Some(Arc::new(AccountDirectory::without_accounts()));
        }
        let mut held = self.held();
        if !replace(&mut held, version) {
            return Some(version);
        }
        let (services, now) = (plan.services.len(), self.proxy.now());
        // Locked until the plan is in force: a proof of the version held counts for the plan.
        self.proxy.apply_plan(Arc::new(plan));
        self.proxy.set_plan_behind(false);
        drop(held);
        if self.proxy.is_plan_current() {
            self.announce();
        }
        emit(&control::CONFIG_IN_FORCE, &[&version, &services]);
        self.board.change(|facts| {
            facts.revision = version;
            facts.in_force = version;
            facts.in_force_at = now;
            facts.config_error = None;
        });
        Some(version)
    }

    /// Locks the document in force.
    fn held(&self) -> MutexGuard<'_, HeldDocument> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
