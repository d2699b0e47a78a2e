//! Proof that the configuration in force was the latest one at a time of this machine's clock.

use std::time::Duration;

use fescueway_core::BootTime;
use serde::{Deserialize, Serialize};

use crate::{
    config_message::{MessageError, decode, encode},
    evacuation_set::EvacuationSet,
};

/// What a node answers to one that asks for a proof.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProofReply {
    /// The version in force at the node that answers.
    pub version: u64,
    /// Age of its proof on its own clock, in microseconds; `None` if it has none.
    pub age_us: Option<u64>,
    /// The evacuated failure domains; `None` if it doesn't know them.
    pub evacuations: Option<EvacuationSet>,
}

impl ProofReply {
    /// Encodes the reply.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a reply.
    ///
    /// # Errors
    /// When the bytes are not a valid reply.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, MessageError> {
        decode(bytes)
    }
}

/// Proof that the configuration in force was the latest one at a time of this machine's clock.
///
/// The time is one before the store, or a peer, was asked, so that a pause on the way makes a proof too
/// old, never too young. Later versions keep a proof; it never applies to an earlier one.
#[derive(Clone, Debug, Default)]
pub struct FreshnessProof {
    /// The version in force; zero while there is none. Never decreases.
    held: u64,
    /// The highest version that is known to exist. Never decreases.
    newest: u64,
    /// The latest proof. Never decreases.
    proven_at: Option<BootTime>,
}

impl FreshnessProof {
    /// Records the version that has come in force.
    pub fn set_held(&mut self, version: u64) {
        self.held = self.held.max(version);
    }

    /// Records that a version exists.
    pub fn set_newest(&mut self, version: u64) {
        self.newest = self.newest.max(version);
    }

    /// When the configuration in force was last known to be the latest one.
    #[must_use]
    pub fn proven_at(&self) -> Option<BootTime> {
        self.proven_at
    }

    /// Age of the proof.
    #[must_use]
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.proven_at.map(|time| now.since(time))
    }

    /// Records that the store was asked at `sent_at`, and that it held no readable version above
    /// `found`. Returns whether this proves the configuration in force.
    ///
    /// It doesn't while a higher version is known: the store may have come back from an older copy.
    pub fn prove(&mut self, sent_at: BootTime, found: u64) -> bool {
        self.set_newest(found);
        let is_latest = self.held > 0 && self.held >= self.newest;
        let is_proof = is_latest && sent_at != BootTime::UNKNOWN;
        if is_proof {
            self.proven_at = self.proven_at.max(Some(sent_at));
        }
        is_proof
    }

    /// Records the reply of a peer that was asked at `asked_at`. Returns whether it proves the
    /// configuration in force. If the peer's version is higher, that one has to be fetched first.
    pub fn prove_by_peer(&mut self, asked_at: BootTime, reply: &ProofReply) -> bool {
        self.set_newest(reply.version);
        let age = reply.age_us.map(Duration::from_micros);
        age.is_some_and(|age| asked_at != BootTime::UNKNOWN && self.prove(asked_at.before(age), 0))
    }

    /// The reply to a peer that asks now.
    #[must_use]
    pub fn reply(&self, now: BootTime, evacuations: Option<EvacuationSet>) -> ProofReply {
        // Rounded up: the reply must not state a lower age than the proof has.
        let age_us = self.age(now).map(|age| age.as_micros() as u64 + 1);
        ProofReply {
            version: self.held,
            age_us: age_us.filter(|_| now != BootTime::UNKNOWN),
            evacuations,
        }
    }
}
