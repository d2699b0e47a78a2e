//! Renews the proof that the configuration document in force is the latest one.

use std::{net::SocketAddr, time::Duration};

use fescueway_core::{BootTime, NodeId};
use fescueway_proxy::{BootClock, ProxyState};
use fescueway_rollout::{
    ProofAnswer, ProofReply, ProofRole, ProofSchedule, ProofStep, ProofTimes, asked_rank,
};
use fescueway_wire::ControlKind;
use tokio::time::sleep;

use crate::{
    document_proof::DocumentProof,
    document_task::DocumentTask,
    member_link::{DOCUMENT_WATCHERS_PER_DOMAIN, MemberLink},
    store_link::StoreLink,
};

/// How often a node that needs no proof checks whether it does.
const IDLE_PERIOD: Duration = Duration::from_millis(100);

/// Shortest wait between two steps.
const MIN_WAIT: Duration = Duration::from_millis(5);

/// How often a node that is told of a newer version checks whether it has it.
const FETCH_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Number of these checks before the node fetches the version itself. A change is announced to all nodes
/// at once, and the fetch from a random peer spreads the load.
const FETCH_CHECKS: u32 = 5;

/// Renews the proof that the configuration document in force is the latest one.
#[derive(Debug)]
pub struct ProofTask {
    /// The proxy.
    proxy: ProxyState,
    /// The membership.
    members: MemberLink,
    /// The document.
    document: DocumentTask,
    /// The proof.
    proof: DocumentProof,
    /// The store connection.
    store: Option<StoreLink>,
}

impl ProofTask {
    /// Starts the task.
    pub fn start(
        proxy: &ProxyState,
        members: &MemberLink,
        document: &DocumentTask,
        proof: &DocumentProof,
        store: Option<StoreLink>,
    ) {
        let task = Self {
            proxy: proxy.clone(),
            members: members.clone(),
            document: document.clone(),
            proof: proof.clone(),
            store,
        };
        let handler = proof.clone();
        let answer = move |_peer, _body| {
            let reply = handler.reply().to_bytes();
            async move { Ok(reply) }
        };
        proxy.controls().register(ControlKind::Freshness, answer);
        proxy.tasks().spawn(task.run());
    }

    /// Makes one step after the other while proofs are needed.
    async fn run(self) {
        let jitter = self.proxy.options().seed as f64 / u64::MAX as f64;
        loop {
            let Some(times) = self.proof.times() else {
                self.proof.clear();
                sleep(IDLE_PERIOD).await;
                continue;
            };
            let mut schedule = ProofSchedule::new(BootClock::now(), times, jitter);
            while self.proof.times() == Some(times) {
                self.proof.check(&times);
                self.step(&mut schedule, &times).await;
            }
        }
    }

    /// Makes the next step.
    async fn step(&self, schedule: &mut ProofSchedule, times: &ProofTimes) {
        let now = BootClock::now();
        match schedule.next(now, self.proof.proven_at(), self.role()) {
            ProofStep::Ask(number) => {
                let answer = self.ask(number, times).await;
                schedule.on_answer(now, answer);
            }
            ProofStep::Read => {
                if let Some(store) = &self.store {
                    self.document.read_for_proof(store, times.timeout).await;
                }
            }
            ProofStep::Wait(duration) => sleep(duration.max(MIN_WAIT)).await,
        }
    }

    /// The node's position in its failure domain.
    fn role(&self) -> ProofRole {
        ProofRole {
            rank: self
                .members
                .has_searched()
                .then(|| self.own_rank(&self.members.domain_nodes())),
            watchers: DOCUMENT_WATCHERS_PER_DOMAIN,
        }
    }

    /// Number of the nodes with a lower id than this one.
    fn own_rank(&self, nodes: &[NodeId]) -> usize {
        let own = self.proxy.node();
        nodes.iter().filter(|node| **node < own).count()
    }

    /// Asks a peer for its proof.
    async fn ask(&self, number: u32, times: &ProofTimes) -> ProofAnswer {
        let Some(address) = self.asked_address(number) else {
            return ProofAnswer::Silence;
        };
        let asked_at = BootClock::now();
        let peers = self.proxy.peers();
        let calling = peers.call(address, ControlKind::Freshness, Vec::new(), times.timeout);
        let reply = match calling.await {
            Ok(bytes) => ProofReply::from_bytes(&bytes),
            // Another peer is asked next; the failure detection logs those that are down.
            Err(_) => return ProofAnswer::Silence,
        };
        let Ok(mut reply) = reply else {
            return ProofAnswer::Silence;
        };
        if let Some(evacuations) = reply.evacuations.take() {
            self.proof.replace_evacuations(evacuations);
        }
        self.use_reply(address, asked_at, &reply).await
    }

    /// Uses the reply of a peer, after fetching its version if that is newer.
    async fn use_reply(
        &self,
        address: SocketAddr,
        asked_at: BootTime,
        reply: &ProofReply,
    ) -> ProofAnswer {
        let Some(age_us) = reply.age_us else {
            return ProofAnswer::None;
        };
        let mut checks_left = FETCH_CHECKS;
        while self.document.version() < reply.version && checks_left > 0 {
            checks_left -= 1;
            sleep(FETCH_CHECK_PERIOD).await;
        }
        if self.document.version() < reply.version {
            // The failure has been logged; the proof is refused below.
            let _ = self.document.fetch_from(address, reply.version).await;
        }
        let held = self.document.version();
        if !self.proof.prove_by_peer(asked_at, reply, held) {
            return ProofAnswer::Silence;
        }
        self.document.confirm_if_unknown();
        ProofAnswer::Age(Duration::from_micros(age_us) + BootClock::now().since(asked_at))
    }

    /// The address of the peer to ask.
    fn asked_address(&self, number: u32) -> Option<SocketAddr> {
        let domain = self.members.domain_addresses();
        let own = self.proxy.node();
        let own_rank = domain.iter().filter(|(node, _)| *node < own).count();
        let rank = asked_rank(number, own_rank, domain.len(), DOCUMENT_WATCHERS_PER_DOMAIN);
        let asked = rank.and_then(|rank| domain.get(rank));
        let address = asked.map(|(_, address)| *address);
        address.or_else(|| self.members.node_with_revision(1))
    }
}
