//! Stable subset selection: which targets of a large service an entry uses.

use fescueway_core::NodeId;

/// How many times likelier a target in the entry's own failure domain is to be in the subset.
const SAME_DOMAIN_WEIGHT: u64 = 8;

/// Rank of a target for the entry with this `seed`, by weighted rendezvous hashing; the entry uses
/// the targets of lowest rank. Adding or removing a target changes at most one member of the
/// subset.
pub(crate) fn subset_rank(seed: u64, node: NodeId, is_same_domain: bool) -> u64 {
    let hash = splitmix64(seed ^ splitmix64(node.0));
    if is_same_domain {
        hash / SAME_DOMAIN_WEIGHT
    } else {
        hash
    }
}

/// Mixes the bits of `value` with the finalizer of `SplitMix64` (Steele, Lea and Flood, 2014).
pub(crate) fn splitmix64(value: u64) -> u64 {
    let mut bits = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
