//! For how long a node may take its configuration for the latest one.

use std::time::Duration;

use fescueway_core::BootTime;
use fescueway_rollout::{FreshnessProof, ProofReply, ProofTimes};

/// The bound of the deployment with strict revocation.
const BOUND: Duration = Duration::from_secs(5);

/// A time on a machine's clock.
fn at(millis: u64) -> BootTime {
    // Machines have started at some time before.
    BootTime::from_micros(3_600_000_000 + millis * 1_000)
}

/// A node with this version in force.
fn node(version: u64) -> FreshnessProof {
    let mut proof = FreshnessProof::default();
    proof.set_held(version);
    proof
}

/// Whether keys are accepted at this time.
fn is_fresh(proof: &FreshnessProof, now: BootTime) -> bool {
    let age = proof.age(now);
    age.is_some_and(|age| age < ProofTimes::for_bound(BOUND).limit)
}

#[test]
fn read_proves_the_time_at_which_it_was_sent() {
    let mut proof = node(5);
    assert!(proof.prove(at(1_000), 5));
    assert!(is_fresh(&proof, at(5_900)));
    assert!(!is_fresh(&proof, at(6_000)));
}

/// Guards against a proof that counts from the answer: a watcher that is frozen between the read and its
/// reply, or between a question and its reply, hands on the pause as freshness.
#[test]
fn pause_of_a_frozen_watcher_counts_as_age() {
    let (mut watcher, mut follower) = (node(5), node(5));
    watcher.prove(at(0), 5);
    // Frozen for 7 s, then it answers a question that waited for 6 s.
    let reply = watcher.reply(at(7_000), None);
    assert!(follower.prove_by_peer(at(1_000), &reply));
    assert!(!is_fresh(&follower, at(1_000)));
    assert!(!is_fresh(&watcher, at(7_000)));
}

/// Guards against a bound on a clock that stops while the machine is suspended: the clock of proofs
/// counts on, so the proof is too old at once.
#[test]
fn suspended_node_has_no_proof_when_it_wakes() {
    let mut proof = node(5);
    proof.prove(at(0), 5);
    assert!(is_fresh(&proof, at(900)));
    let woken = at(900) + Duration::from_mins(10);
    assert!(!is_fresh(&proof, woken));
    assert!(proof.prove(woken, 5));
    assert!(is_fresh(&proof, woken));
}

/// Guards against a node that takes the age of a peer's proof for that of its own, older configuration.
#[test]
fn older_version_is_not_proven_by_a_peer_with_a_newer_one() {
    let (mut peer, mut proof) = (node(6), node(5));
    peer.prove(at(0), 6);
    let reply = peer.reply(at(100), None);
    assert!(!proof.prove_by_peer(at(100), &reply));
    assert_eq!(proof.age(at(100)), None);
    // Not by the store either, as long as the newer one is only known to exist.
    assert!(!proof.prove(at(200), 5));
    proof.set_held(6);
    assert!(proof.prove_by_peer(at(100), &reply));
}

/// Guards against a proof from a store that was restored from a copy older than a known version.
#[test]
fn restored_store_proves_only_the_version_that_was_known_before() {
    let (mut survivor, mut started) = (node(9), node(5));
    assert!(survivor.prove(at(0), 5));
    // The membership tells the started node of version 9.
    started.set_newest(9);
    assert!(!started.prove(at(0), 5));
    started.set_held(9);
    assert!(started.prove(at(100), 5));
}

#[test]
fn peer_with_an_old_proof_makes_none_younger() {
    let (mut peer, mut proof) = (node(5), node(5));
    peer.prove(at(0), 5);
    proof.prove(at(3_000), 5);
    proof.prove_by_peer(at(4_000), &peer.reply(at(4_000), None));
    assert_eq!(proof.proven_at(), Some(at(3_000)));
    // A peer without any proof proves nothing.
    let mut other = node(5);
    assert!(!other.prove_by_peer(at(4_000), &node(5).reply(at(4_000), None)));
    assert!(!is_fresh(&other, at(4_000)));
}

#[test]
fn restarted_node_has_no_proof_until_the_first_answer() {
    let mut proof = FreshnessProof::default();
    assert!(!proof.prove(at(0), 0));
    assert!(!is_fresh(&proof, at(0)));
    proof.set_held(5);
    assert!(!is_fresh(&proof, at(0)));
    let mut watcher = node(5);
    watcher.prove(at(0), 5);
    assert!(proof.prove_by_peer(at(300), &watcher.reply(at(300), None)));
    assert!(is_fresh(&proof, at(300)));
}

#[test]
fn proof_stays_valid_for_a_later_version() {
    let mut proof = node(5);
    proof.prove(at(0), 5);
    proof.set_held(6);
    assert!(is_fresh(&proof, at(4_000)));
    assert!(!is_fresh(&proof, at(5_000)));
}

/// Guards against a clock that can't be read and so never gets older.
#[test]
fn unreadable_clock_proves_nothing() {
    let mut proof = node(5);
    assert!(!proof.prove(BootTime::UNKNOWN, 5));
    let reply = ProofReply {
        version: 5,
        age_us: Some(0),
        evacuations: None,
    };
    assert!(!proof.prove_by_peer(BootTime::UNKNOWN, &reply));
    proof.prove(at(0), 5);
    assert!(!is_fresh(&proof, BootTime::UNKNOWN));
    assert_eq!(proof.reply(BootTime::UNKNOWN, None).age_us, None);
}

#[test]
fn reply_survives_encoding() {
    let mut proof = node(5);
    proof.prove(at(0), 5);
    let reply = proof.reply(at(250), None);
    assert_eq!(ProofReply::from_bytes(&reply.to_bytes()), Ok(reply));
}
