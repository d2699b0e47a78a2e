//! Messages between nodes: bincode, with a version and size limits.

mod offer_head;

pub use crate::offer_head::{AnswerHead, ClaimGrant, HeaderField, OfferHead};
