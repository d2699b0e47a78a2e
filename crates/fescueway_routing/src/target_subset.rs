//! Stable subsets: which targets of a large service an entry uses.

use fescueway_core::NodeId;

/// How many times as likely a target of the own failure domain is to be in the subset.
const NEAR_WEIGHT: u64 = 8;

/// The rank of a target for the entry with this `seed`, by weighted rendezvous hashing: the
/// entry uses those of lowest rank. A target that comes or goes changes at most one place.
pub(crate) fn subset_rank(seed: u64, node: NodeId, is_near: bool) -> u64 {
    let hash = mix(seed ^ mix(node.0));
    if is_near { hash / NEAR_WEIGHT } else { hash }
}

/// Mixes all bits of `value`: the finalizer of `SplitMix64` (Steele, Lea and Flood, 2014).
pub(crate) fn mix(value: u64) -> u64 {
    let mut bits = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
