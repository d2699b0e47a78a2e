//! Whatever arrives is counted and dropped, or decoded within bounds.

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
    /// The tag keeps strangers' bytes from the decoder, so these are signed.
    fn signed_garbage_never_panics(body: Vec<u8>) -> bool {
        let codec = codec(b"ours");
        let Ok(sealed) = codec.encode(&ping(2, 3)) else { return false };
        // A body of the same secret, cut and continued with garbage, fails at the tag; garbage
        // alone fails at the version or at the tag.
        let mut spliced = sealed[..sealed.len().min(body.len())].to_vec();
        spliced.extend_from_slice(&body);
        codec.decode(&body).is_err() && (spliced == sealed || codec.decode(&spliced).is_err())
    }

    /// Any bytes that bear a genuine tag decode to a datagram or to an error.
    fn genuine_tags_on_garbage_never_panic(body: Vec<u8>) -> bool {
        let codec = codec(b"ours");
        let sealed = codec.sign(&body);
        match codec.decode(&sealed) {
            Ok(datagram) => codec.encode(&datagram).is_ok(),
            Err(error) => error == DatagramError::Malformed || error == DatagramError::Oversize,
        }
    }

    fn every_cut_is_refused(sequence: u32, keep: usize) -> bool {
        let codec = codec(b"ours");
        let Ok(sealed) = codec.encode(&ping(2, sequence)) else { return false };
        codec.decode(&sealed[..keep % sealed.len()]).is_err()
    }
}

#[test]
fn what_is_dropped_is_counted() {
    let mut list = list();
    let mut random = Pcg64Mcg::new(2);
    let from = ([127, 0, 0, 1], 9).into();
    let genuine = codec(b"ours").encode(&ping(2, 3)).unwrap();
    let forged = codec(b"theirs").encode(&ping(2, 3)).unwrap();
    let truncated = genuine[..10].to_vec();
    let oversize = vec![1; MAX_DATAGRAM_BYTES + 1];
    let mut other_version = genuine.clone();
    other_version[0] = 99;
    for bytes in [genuine, forged, truncated, oversize, other_version] {
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
fn a_claimed_length_allocates_nothing() {
    let codec = codec(b"ours");
    // A datagram head whose body is `Digests` with a claimed length of 2^60.
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

/// What a node of the fleet tells of another one.
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
fn another_member_is_asked_before_a_suspicion_lapses() {
    let (mut list, mut random) = (list(), Pcg64Mcg::new(3));
    let told = Datagram {
        body: MessageBody::Gossip,
        rumors: vec![
            rumor(2, MemberStatus::Alive),
            rumor(3, MemberStatus::Suspect),
        ],
        ..ping(2, 1)
    };
    let bytes = codec(b"ours").encode(&told).unwrap();
    let from = ([127, 0, 0, 1], 7_002).into();
    let mut actions = list.handle(
        MonoTime::ZERO,
        MemberEvent::Datagram { from, bytes },
        &mut random,
    );
    while list.member(NodeId(3)).unwrap().status == MemberStatus::Suspect {
        actions.extend(list.handle(list.next_wake(), MemberEvent::Tick, &mut random));
    }
    let asks = actions.iter().filter(|action| {
        let MemberAction::Send { bytes, .. } = action else {
            return false;
        };
        let sent = codec(b"ours").decode(bytes).map(|datagram| datagram.body);
        sent == Ok(MessageBody::Want(vec![NodeId(3)]))
    });
    assert!(asks.count() > 0);
}

#[test]
fn a_node_that_speaks_from_anothers_address_ends_it_at_once() {
    let (mut list, mut random) = (list(), Pcg64Mcg::new(3));
    let from = ([127, 0, 0, 1], 7_003).into();
    let mut hear = |datagram: &Datagram| {
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
    assert!(hear(&known).contains(&MemberAction::NodeUp(NodeId(3))));
    let down = MemberAction::NodeDown {
        node: NodeId(3),
        cause: DownCause::Replaced,
    };
    assert!(hear(&ping(9, 1)).contains(&down));
}
