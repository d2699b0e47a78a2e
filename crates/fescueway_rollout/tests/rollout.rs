//! Fetching and activating the newest configuration at one node.

mod common;

use std::time::Duration;

use common::{SITE, config, reply};
use fescueway_core::{ConfigMark, MonoTime, SiteName};
use fescueway_rollout::{
    ConfigReply, ConfigRequest, DomainReport, FetchSource, RolloutAction, RolloutEvent,
    RolloutState,
};
use quickcheck::quickcheck;
use rand_pcg::Pcg64Mcg;

struct Node {
    state: RolloutState,
    now: MonoTime,
    random: Pcg64Mcg,
}

impl Node {
    fn new() -> Self {
        Self {
            state: RolloutState::new(SiteName::from(SITE)),
            now: MonoTime::ZERO,
            random: Pcg64Mcg::new(5),
        }
    }

    fn handle(&mut self, event: RolloutEvent) -> Vec<RolloutAction> {
        self.state.handle(self.now, event, &mut self.random)
    }

    fn receive_mark(&mut self, revision: u64) -> Vec<RolloutAction> {
        let digest = [0; 8];
        self.handle(RolloutEvent::PeerMark(ConfigMark { revision, digest }))
    }

    fn revision(&self) -> u64 {
        self.state.status().in_force.revision
    }
}

#[test]
fn incremental_reply_updates_the_configuration() {
    let (mut old, mut new) = (Node::new(), Node::new());
    for node in [&mut old, &mut new] {
        node.handle(RolloutEvent::Fetched(reply(1, &config(1_000, 30))));
    }
    new.handle(RolloutEvent::Fetched(reply(2, &config(2_000, 29))));
    let request = ConfigRequest {
        site: SiteName::from(SITE),
        have: 1,
    };
    let partial_reply = new.state.answer(&request).unwrap();
    assert_eq!(
        (
            partial_reply.is_full,
            partial_reply.values.len(),
            partial_reply.removed.len()
        ),
        (false, 1, 1)
    );
    old.handle(RolloutEvent::Fetched(partial_reply));
    assert_eq!(old.revision(), 2);
    assert_eq!(old.state.held_values(), new.state.held_values());
}

#[test]
fn mismatched_incremental_reply_is_followed_by_a_full_fetch() {
    let mut node = Node::new();
    node.handle(RolloutEvent::Fetched(reply(1, &config(1_000, 3))));
    node.receive_mark(2);
    let mut partial_reply = reply(2, &config(2_000, 3));
    partial_reply.is_full = false;
    partial_reply.values.clear();
    node.handle(RolloutEvent::Fetched(partial_reply));
    assert_eq!(node.revision(), 1);
    node.now = node.now + Duration::from_secs(10);
    let actions = node.handle(RolloutEvent::Tick);
    let is_full_fetch = |action: &RolloutAction| matches!(action, RolloutAction::Fetch { request, .. } if request.have == 0);
    assert!(actions.iter().any(is_full_fetch));
}

#[test]
fn reply_with_a_wrong_digest_is_rejected() {
    let mut node = Node::new();
    let mut forged = reply(1, &config(1_000, 0));
    forged.values[0].1.push(b' ');
    node.handle(RolloutEvent::Fetched(forged));
    assert_eq!(node.revision(), 0);
}

#[test]
fn invalid_revision_is_reported_and_keeps_the_previous_one_in_force() {
    let mut node = Node::new();
    node.handle(RolloutEvent::Fetched(reply(1, &config(1_000, 0))));
    let bytes = br#"{"name":"bands","plan":{"from_the_future":1}}"#.to_vec();
    let mut bad = reply(2, &config(1_000, 0));
    bad.values[0].1.clone_from(&bytes);
    let digest = fescueway_config::ServiceDigest::of(&bytes);
    let index = fescueway_rollout::SiteIndex([("bands".into(), digest)].into());
    bad.head.sites.insert(SiteName::from(SITE), index.digest());
    let actions = node.handle(RolloutEvent::Fetched(bad));
    assert!(matches!(
        actions[0],
        RolloutAction::Rejected { revision: 2, .. }
    ));
    let status = node.state.status();
    assert_eq!((status.in_force.revision, status.newest.revision), (1, 2));
    assert!(status.fault.contains("from_the_future"), "{}", status.fault);
    // The rejected revision isn't fetched again, and the next valid one is accepted.
    node.now = node.now + Duration::from_hours(1);
    assert!(node.handle(RolloutEvent::Tick).is_empty());
    node.handle(RolloutEvent::Fetched(reply(3, &config(3_000, 0))));
    assert_eq!(node.state.status().fault, "");
}

#[test]
fn peers_are_asked_before_the_store_with_increasing_backoff() {
    let mut node = Node::new();
    let mut sources = Vec::new();
    let mut actions = node.receive_mark(5);
    let end = MonoTime::ZERO + Duration::from_mins(5);
    while node.now < end {
        for action in std::mem::take(&mut actions) {
            if let RolloutAction::Fetch { source, .. } = action {
                sources.push(source);
                actions.extend(node.handle(RolloutEvent::FetchFailed));
            }
        }
        node.now = node.state.next_wake();
        actions.extend(node.handle(RolloutEvent::Tick));
    }
    assert_eq!(sources[..3], [FetchSource::Peer; 3]);
    assert_eq!(sources[3], FetchSource::Store);
    let stores = sources
        .iter()
        .filter(|source| **source == FetchSource::Store)
        .count();
    // At most one fetch every 2.5 s once the backoff has reached its maximum, a quarter of them
    // from the store.
    assert!(
        stores <= 300 * 2 / 5 / 4 + 3,
        "{stores} calls of the store in 5 minutes"
    );
}

/// A reply derived from `revision`. `fault` selects whether its values are missing or it is marked
/// as incremental.
fn faulty_reply(revision: u8, fault: u8) -> ConfigReply {
    let config = config(1_000 + u64::from(revision), usize::from(revision % 3));
    let mut reply = reply(u64::from(revision) + 1, &config);
    match fault % 4 {
        0 => reply.values.clear(),
        1 => reply.is_full = false,
        _ => {}
    }
    reply
}

quickcheck! {
    /// Events from lagging peers, stale reads and replayed watches arrive in any order.
    fn revision_in_force_never_decreases(events: Vec<(u8, u8, u8)>) -> bool {
        let mut node = Node::new();
        let mut last_revision = 0;
        for (kind, revision, fault) in events {
            node.now = node.now + Duration::from_millis(u64::from(fault) * 20);
            let event = match kind % 4 {
                0 => RolloutEvent::PeerMark(ConfigMark { revision: u64::from(revision), digest: [fault; 8] }),
                1 => RolloutEvent::StoreHead(faulty_reply(revision, 3).head),
                2 => RolloutEvent::Fetched(faulty_reply(revision, fault)),
                _ => RolloutEvent::FetchFailed,
            };
            for action in node.handle(event) {
                if let RolloutAction::PutInForce { mark, .. } = action {
                    if mark.revision <= last_revision {
                        return false;
                    }
                    last_revision = mark.revision;
                }
            }
            if node.revision() != last_revision {
                return false;
            }
        }
        true
    }

    /// Decoding arbitrary bytes never panics, and a decoded message is no larger than its bytes.
    fn arbitrary_bytes_are_bounded(bytes: Vec<u8>) -> bool {
        let request = ConfigRequest::from_bytes(&bytes).map(|request| request.to_bytes());
        let reply = ConfigReply::from_bytes(&bytes).map(|reply| reply.to_bytes());
        let report = DomainReport::from_bytes(&bytes).map(|report| report.to_bytes());
        let decoded = [request, reply, report].into_iter().flatten();
        decoded.into_iter().all(|again| again.len() <= bytes.len())
    }
}
