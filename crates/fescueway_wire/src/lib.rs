//! Protocol between nodes: messages encoded with bincode, with a version and size limits.
//!
//! A stream opens with one [`StreamHead`] and is answered with [`AnswerHead`]s or one
//! [`ControlAnswer`], each as one frame. Bodies follow the heads as plain bytes.

mod control_message;
mod frame_codec;
mod header_list;
mod http_parts;
mod offer_head;

pub use crate::{
    control_message::{ControlAnswer, ControlKind, ControlRequest, MAX_CONTROL_BYTES, StreamHead},
    frame_codec::{
        FrameError, MAX_HEAD_BYTES, MAX_PAYLOAD_BYTES, PREFIX_BYTES, WIRE_VERSION, decode_payload,
        decode_prefix, encode_frame,
    },
    header_list::HeaderList,
    offer_head::{AnswerHead, ClaimGrant, OfferHead},
};
