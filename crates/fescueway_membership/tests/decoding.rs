//! Received bytes are either decoded within bounds, or dropped and counted.

use fescueway_core::{ConfigMark, DomainName, MonoTime, NodeId, SiteName};
use fescueway_membership::{
    Datagram, DatagramCodec, DatagramError, DownCause, FleetSecret, MAX_DATAGRAM_BYTES,
    MemberAction, MemberEvent, MemberList, MemberSettings, MemberStatus, MessageBody, NodeRecord,
    Rumor,
};
use quickcheck::quickcheck;
use rand_pcg::Pcg64Mcg;

fn codec(secret: &[u8]) -> DatagramCodec {
    DatagramCodec::new(FleetSecret::new(secret))
}

fn ping(from: u64, sequence: u32) -> Datagram {
    Datagram {
        from: NodeId(from),
        live_count: 1,
        mark: ConfigMark::default(),
        body: MessageBody::Ping { sequence },
        rumors: Vec::new(),
    }
}

fn list() -> MemberList {
    let settings = MemberSettings {
        node: NodeId(1),
        gossip_address: ([127, 0, 0, 1], 7_000).into(),
        peer_address: ([127, 0, 0, 1], 7_001).into(),
        domain: DomainName::from("texas-a"),
        site: SiteName::from("caprock"),
        seeds: Vec::new(),
        secret: FleetSecret::new(b"ours"),
    };
    MemberList::new(MonoTime::ZERO, settings, &mut Pcg64Mcg::new(1))
}

quickcheck! {
    /// Garbage without a valid tag is rejected, alone and after a prefix of a valid datagram.
    fn garbage_without_a_valid_tag_is_rejected(body: Vec<u8>) -> bool {
        let codec = codec(b"ours");
        let Ok(encoded) = codec.encode(&ping(2, 3)) else { return false };
        // A prefix of a valid datagram with garbage appended fails at the tag; garbage alone fails
        // at the version or the tag.
        let mut spliced = encoded[..encoded.len().min(body.len())].to_vec();
        spliced.extend_from_slice(&body);
        codec.decode(&body).is_err() && (spliced == encoded || codec.decode(&spliced).is_err())
    }

    /// Any body with a valid tag decodes to a datagram or to an error. The body is signed because
    /// the tag check would otherwise keep it from the decoder.
    fn garbage_with_a_valid_tag_never_panics(body: Vec<u8>) -> bool {
        let codec = codec(b"ours");
        let encoded = codec.sign(&body);
        match codec.decode(&encoded) {
            Ok(datagram) => codec.encode(&datagram).is_ok(),
            Err(error) => error == DatagramError::Malformed || error == DatagramError::Oversize,
        }
    }

    fn truncated_datagrams_are_rejected(sequence: u32, length: usize) -> bool {
        let codec = codec(b"ours");
        let Ok(encoded) = codec.encode(&ping(2, sequence)) else { return false };
        codec.decode(&encoded[..length % encoded.len()]).is_err()
    }
}

#[test]
fn dropped_datagrams_are_counted_by_cause() {
    let mut list = list();
    let mut random = Pcg64Mcg::new(2);
    let from = ([127, 0, 0, 1], 9).into();
    let valid = codec(b"ours").encode(&ping(2, 3)).unwrap();
    let forged = codec(b"theirs").encode(&ping(2, 3)).unwrap();
    let truncated = valid[..10].to_vec();
    let oversize = vec![1; MAX_DATAGRAM_BYTES + 1];
    let mut other_version = valid.clone();
    other_version[0] = 99;
    for bytes in [valid, forged, truncated, oversize, other_version] {
        let event = MemberEvent::Datagram { from, bytes };
        list.handle(MonoTime::ZERO, event, &mut random);
    }
    let counts = list.counts();
    assert_eq!(counts.received, 5);
    let dropped = [
        counts.forged,
        counts.malformed,
        counts.oversize,
        counts.other_version,
    ];
    assert_eq!(dropped, [1, 1, 1, 1]);
}

#[test]
fn a_huge_claimed_length_is_rejected() {
    let codec = codec(b"ours");
    // A datagram header and a `Digests` body with a claimed length of 2^60, which must not be
    // allocated.
    let mut body = vec![2, 1, 0];
    body.extend_from_slice(&[0; 8]);
    body.push(4);
    body.push(253);
    body.extend_from_slice(&(1_u64 << 60).to_le_bytes());
    assert_eq!(
        codec.decode(&codec.sign(&body)),
        Err(DatagramError::Malformed)
    );
}

/// A rumor about `node` that includes its record.
fn rumor(node: u64, status: MemberStatus) -> Rumor {
    let address = ([127, 0, 0, 1], 7_000 + node as u16).into();
    Rumor {
        node: NodeId(node),
        incarnation: 1,
        status,
        version: 1,
        record: Some(NodeRecord {
            version: 1,
            gossip_address: address,
            peer_address: address,
            domain: DomainName::from("texas-b"),
            site: SiteName::from("caprock"),
            services: Vec::new(),
        }),
    }
}

#[test]
fn a_suspicion_is_queried_before_it_expires() {
    let (mut list, mut random) = (list(), Pcg64Mcg::new(3));
    let gossip = Datagram {
        body: MessageBody::Gossip,
        rumors: vec![
            rumor(2, MemberStatus::Alive),
            rumor(3, MemberStatus::Suspect),
        ],
        ..ping(2, 1)
    };
    let bytes = codec(b"ours").encode(&gossip).unwrap();
    let from = ([127, 0, 0, 1], 7_002).into();
    let mut actions = list.handle(
        MonoTime::ZERO,
        MemberEvent::Datagram { from, bytes },
        &mut random,
    );
    while list.member(NodeId(3)).unwrap().status == MemberStatus::Suspect {
        actions.extend(list.handle(list.next_wake(), MemberEvent::Tick, &mut random));
    }
    let queries = actions.iter().filter(|action| {
        let MemberAction::Send { bytes, .. } = action else {
            return false;
        };
        let sent = codec(b"ours").decode(bytes).map(|datagram| datagram.body);
        sent == Ok(MessageBody::Want(vec![NodeId(3)]))
    });
    assert!(queries.count() > 0);
}

#[test]
fn a_datagram_from_anothers_address_replaces_that_member() {
    let (mut list, mut random) = (list(), Pcg64Mcg::new(3));
    let from = ([127, 0, 0, 1], 7_003).into();
    let mut receive = |datagram: &Datagram| {
        let bytes = codec(b"ours").encode(datagram).unwrap();
        list.handle(
            MonoTime::ZERO,
            MemberEvent::Datagram { from, bytes },
            &mut random,
        )
    };
    let known = Datagram {
        rumors: vec![rumor(3, MemberStatus::Alive)],
        ..ping(3, 1)
    };
    assert!(receive(&known).contains(&MemberAction::NodeUp(NodeId(3))));
    let down = MemberAction::NodeDown {
        node: NodeId(3),
        cause: DownCause::Replaced,
    };
    assert!(receive(&ping(9, 1)).contains(&down));
}
