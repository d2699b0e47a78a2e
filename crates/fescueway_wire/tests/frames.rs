//! Frames survive the trip, and bytes of strangers are refused without harm.

use fescueway_wire::{
    ControlKind, ControlRequest, FrameError, MAX_HEAD_BYTES, OfferHead, PREFIX_BYTES, StreamHead,
    WIRE_VERSION, decode_payload, decode_prefix, encode_frame,
};
use quickcheck::QuickCheck;

fn control_head(body: Vec<u8>) -> StreamHead {
    StreamHead::Control(ControlRequest {
        kind: ControlKind::Claim,
        body,
    })
}

#[test]
fn frames_come_back_whole() {
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
fn a_length_that_lies_allocates_nothing() {
    // Variant 1 (control), kind 1, then a body that claims 2^40 bytes.
    let payload = [1, 1, 253, 0, 0, 0, 0, 0, 1, 0, 0];
    let decoded = decode_payload::<StreamHead>(&payload);
    assert!(
        matches!(decoded, Err(FrameError::Garbage { .. })),
        "{decoded:?}"
    );
}

#[test]
fn other_versions_and_oversize_frames_are_refused() {
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
