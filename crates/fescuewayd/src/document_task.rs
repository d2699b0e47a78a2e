//! Keeps the configuration in force that lies as one document in the store.
//!
//! A few nodes of each failure domain watch the store; the others hear of a newer version from
//! the membership and fetch it from a peer that has it. A node that knows no other watches for itself.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use fescueway_core::ConfigMark;
use fescueway_membership::MemberEvent;
use fescueway_platform::{KeyRange, StoreError, StoreWatch, WatchEvent};
use fescueway_proxy::ProxyState;
use fescueway_telemetry::{emit, events::control};
use fescueway_wire::ControlKind;
use tokio::time::sleep;

use crate::{
    StatusBoard,
    held_document::{HeldDocument, unpack},
    member_link::MemberLink,
    node_adapter::{DocumentSource, PlanDocument},
    store_link::{CALL_TIMEOUT, StoreLink},
};

/// How often a node looks whether it should watch the store.
const DUTY_PERIOD: Duration = Duration::from_secs(1);

/// Time within which a peer has to hand the document over: a packed one of 1,700 routes, some 40 kB, from
/// a peer on a link of 10 Mbit/s that ten others ask as well.
const PEER_CALL_TIME: Duration = Duration::from_secs(1);

/// Pause before another peer is asked for the document.
const PEER_PAUSE: Duration = Duration::from_millis(100);

/// Pause after a document that could not be read, which the next peer's hardly is either; it also
/// bounds the log.
const UNREADABLE_PAUSE: Duration = Duration::from_secs(1);

/// Keeps the document in force. Cheap to clone.
#[derive(Clone, Debug)]
pub struct DocumentTask {
    /// The path of requests.
    proxy: ProxyState,
    /// Who is there.
    members: MemberLink,
    /// What operators are told.
    board: StatusBoard,
    /// Where the document lies.
    source: DocumentSource,
    /// The document in force.
    held: Arc<Mutex<HeldDocument>>,
}

impl DocumentTask {
    /// Starts to keep the document in force.
    pub fn start(
        proxy: &ProxyState,
        members: &MemberLink,
        board: &StatusBoard,
        store: Option<StoreLink>,
        source: DocumentSource,
    ) {
        let task = Self {
            proxy: proxy.clone(),
            members: members.clone(),
            board: board.clone(),
            source,
            held: Arc::default(),
        };
        let answering = task.clone();
        proxy
            .controls()
            .register(ControlKind::Config, move |_peer, body| {
                let answer = answering.answer(&body);
                async move { answer }
            });
        proxy.tasks().spawn(task.clone().follow_peers());
        if let Some(store) = store {
            proxy.tasks().spawn(task.follow_store(store));
        }
    }

    /// Answers a peer that has the version in `body`, in little-endian order.
    fn answer(&self, body: &[u8]) -> Result<Vec<u8>, String> {
        let known = <[u8; 8]>::try_from(body).map_err(|error| error.to_string())?;
        let mut held = self.held();
        if held.version() <= u64::from_le_bytes(known) {
            return Err("nothing newer".to_owned());
        }
        Ok(held.packed().to_vec())
    }

    /// Fetches what peers have and this node has not.
    async fn follow_peers(self) {
        let mut marks = self.members.newest_mark();
        loop {
            let newest = marks.borrow_and_update().revision;
            while newest > self.held().version() {
                if let Err(pause) = self.fetch(newest).await {
                    sleep(pause).await;
                }
            }
            if marks.changed().await.is_err() {
                return;
            }
        }
    }

    /// Fetches the document from a peer that has `version`, or tells the pause before the next try.
    async fn fetch(&self, version: u64) -> Result<(), Duration> {
        let holder = self.members.node_with_revision(version).ok_or(PEER_PAUSE)?;
        let body = self.held().version().to_le_bytes().to_vec();
        let peers = self.proxy.peers();
        match peers
            .call(holder, ControlKind::Config, body, PEER_CALL_TIME)
            .await
        {
            Ok(packed) => {
                let is_taken = self.take_packed(&packed);
                is_taken.then_some(()).ok_or(UNREADABLE_PAUSE)
            }
            Err(error) => {
                emit(&control::CONFIG_FETCH_FAILED, &[&version, &"peer", &error]);
                Err(PEER_PAUSE)
            }
        }
    }

    /// Reads and watches the document while that is this node's part.
    async fn follow_store(self, store: StoreLink) {
        loop {
            let is_watching = self.members.is_watcher();
            store.set_watcher(is_watching);
            if is_watching {
                // The link has logged the failure, and its pace bounds the next try.
                let _ = self.watch(&store).await;
            } else {
                sleep(DUTY_PERIOD).await;
            }
        }
    }

    /// Reads the document, and then follows it until this node need not any more.
    async fn watch(&self, store: &StoreLink) -> Result<(), StoreError> {
        let range = KeyRange::Key(self.source.key.to_string());
        let client = &store.client;
        let reply = store.call(client.range(&range, CALL_TIMEOUT)).await?;
        for value in &reply.values {
            self.take(&value.value);
        }
        let opening = client.watch(&range, reply.revision + 1, CALL_TIMEOUT);
        let mut watch = store.call(opening).await?;
        while self.members.is_watcher() {
            let taken = self.take_changes(&mut watch).await;
            if let Err(error) = taken {
                store.note(Some(&error));
                return Err(error);
            }
        }
        Ok(())
    }

    /// Takes in what changes within a period.
    async fn take_changes(&self, watch: &mut StoreWatch) -> Result<(), StoreError> {
        let Some(batch) = watch.next(DUTY_PERIOD).await? else {
            return Ok(());
        };
        for event in batch.events {
            if let WatchEvent::Put(value) = event {
                self.take(&value.value);
            }
        }
        Ok(())
    }

    /// Takes in a document as a peer gave it. Whether it could be read.
    fn take_packed(&self, packed: &[u8]) -> bool {
        match unpack(packed) {
            Ok(plain) => {
                self.put_in_force(&plain, |held, version| held.replace_packed(version, packed))
            }
            Err(reason) => {
                emit(&control::CONFIG_REJECTED, &[&"unknown", &reason]);
                false
            }
        }
    }

    /// Takes in a document as it lies in the store. Whether it could be read.
    fn take(&self, plain: &[u8]) -> bool {
        self.put_in_force(plain, |held, version| held.replace(version, plain))
    }

    /// Puts a document in force unless `replace` finds it older than the one that is. Whether it could be
    /// read.
    fn put_in_force(
        &self,
        bytes: &[u8],
        replace: impl FnOnce(&mut HeldDocument, u64) -> bool,
    ) -> bool {
        let read = (self.source.read)(&self.proxy.options().site, bytes);
        let PlanDocument { version, plan } = match read {
            Ok(document) => document,
            Err(reason) => {
                emit(&control::CONFIG_REJECTED, &[&"unknown", &reason]);
                self.board
                    .change(|facts| facts.config_error = Some(reason.clone()));
                return false;
            }
        };
        let is_newer = replace(&mut self.held(), version);
        if !is_newer {
            return true;
        }
        let (services, now) = (plan.services.len(), self.proxy.now());
        self.proxy.apply_plan(Arc::new(plan));
        let mark = ConfigMark {
            revision: version,
            ..ConfigMark::default()
        };
        self.members.handle(MemberEvent::Mark(mark));
        emit(&control::CONFIG_IN_FORCE, &[&version, &services]);
        self.board.change(|facts| {
            facts.revision = version;
            facts.in_force = version;
            facts.in_force_at = now;
            facts.config_error = None;
        });
        true
    }

    /// The document in force, locked.
    fn held(&self) -> MutexGuard<'_, HeldDocument> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
