//! Frames round-trip, and malformed or hostile input is rejected without a panic or large
//! allocation.

use std::time::Duration;

use fescueway_core::{NodeId, RequestTerms};
use fescueway_wire::{
    ControlKind, ControlRequest, FrameError, HeaderList, MAX_HEAD_BYTES, OfferHead, PREFIX_BYTES,
    StreamHead, WIRE_VERSION, decode_payload, decode_prefix, encode_frame,
};
use http::{HeaderMap, HeaderValue, Method, uri::PathAndQuery};
use quickcheck::QuickCheck;

fn control_head(body: Vec<u8>) -> StreamHead {
    StreamHead::Control(ControlRequest {
        kind: ControlKind::Claim,
        body,
    })
}

fn offer_head() -> StreamHead {
    let mut fields = HeaderMap::new();
    fields.insert("accept", HeaderValue::from_static("text/plain"));
    StreamHead::Offer(Box::new(OfferHead {
        entry: NodeId(1),
        host: NodeId(2),
        terms: RequestTerms::new("windows".into(), Duration::from_secs(1)),
        method: Method::GET,
        target: PathAndQuery::from_static("/windows/7?day=2"),
        authority: HeaderValue::from_static("windows.example"),
        headers: HeaderList::new(fields),
        notice: None,
        is_body_held: false,
    }))
}

#[test]
fn an_offer_head_round_trips_and_malformed_parts_are_rejected() {
    let head = offer_head();
    let frame = encode_frame(&head).expect("a small head");
    assert_eq!(decode_payload(&frame[PREFIX_BYTES..]), Ok(head));
    let faults = [
        ("GET", "G T"),
        ("/windows/7", "/wind\nws/7"),
        ("windows.example", "windows\rexample"),
    ];
    for (part, fault) in faults {
        let mut payload = frame[PREFIX_BYTES..].to_vec();
        let mut windows = payload.windows(part.len());
        let position = windows.position(|bytes| bytes == part.as_bytes());
        let position = position.expect("the part travels as text");
        payload[position..position + part.len()].copy_from_slice(fault.as_bytes());
        let decoded = decode_payload::<StreamHead>(&payload);
        assert!(
            matches!(decoded, Err(FrameError::Malformed { .. })),
            "{fault:?}: {decoded:?}"
        );
    }
}

#[test]
fn frames_round_trip() {
    fn property(body: Vec<u8>) -> bool {
        let head = control_head(body);
        let frame = encode_frame(&head).expect("small messages encode");
        let length = decode_prefix(&frame, MAX_HEAD_BYTES).expect("our own prefix");
        length == Some(frame.len() - PREFIX_BYTES)
            && decode_payload(&frame[PREFIX_BYTES..]) == Ok(head)
    }
    QuickCheck::new().quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn arbitrary_bytes_never_panic() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck gives owned values"
    )]
    fn property(bytes: Vec<u8>) -> bool {
        let _ = decode_prefix(&bytes, MAX_HEAD_BYTES);
        let _ = decode_payload::<OfferHead>(&bytes);
        let _ = decode_payload::<StreamHead>(&bytes);
        true
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn a_false_length_allocates_nothing() {
    // Variant 1 (control), kind 1, then a body with a stated length of 2^40 bytes.
    let payload = [1, 1, 253, 0, 0, 0, 0, 0, 1, 0, 0];
    let decoded = decode_payload::<StreamHead>(&payload);
    assert!(
        matches!(decoded, Err(FrameError::Malformed { .. })),
        "{decoded:?}"
    );
}

#[test]
fn more_header_fields_than_a_map_holds_are_rejected() {
    // A list of 40,000 distinct field names with empty values; 251 marks a 16-bit length.
    let mut payload = vec![251];
    payload.extend_from_slice(&40_000_u16.to_le_bytes());
    for index in 0..40_000_u32 {
        let name = format!("a{index}");
        payload.push(name.len() as u8);
        payload.extend_from_slice(name.as_bytes());
        payload.push(0);
    }
    let decoded = decode_payload::<HeaderList>(&payload);
    assert!(matches!(decoded, Err(FrameError::Malformed { .. })));
}

#[test]
fn header_fields_round_trip() {
    let mut fields = HeaderMap::new();
    fields.append("accept", HeaderValue::from_static("text/plain"));
    fields.append("accept", HeaderValue::from_bytes(b"\xff").expect("opaque"));
    fields.append("x-empty", HeaderValue::from_static(""));
    let frame = encode_frame(&HeaderList::new(fields.clone())).expect("small messages encode");
    let decoded = decode_payload::<HeaderList>(&frame[PREFIX_BYTES..]).expect("our own");
    assert_eq!(decoded.into_map(), fields);
}

#[test]
fn other_versions_and_oversize_frames_are_rejected() {
    let other = decode_prefix(&[WIRE_VERSION + 1], MAX_HEAD_BYTES);
    assert_eq!(
        other,
        Err(FrameError::WrongVersion {
            found: WIRE_VERSION + 1
        })
    );

    let huge = [WIRE_VERSION, 0xff, 0xff, 0xff, 0xff];
    let refused = decode_prefix(&huge, MAX_HEAD_BYTES);
    assert!(
        matches!(refused, Err(FrameError::TooLarge { .. })),
        "{refused:?}"
    );
}
