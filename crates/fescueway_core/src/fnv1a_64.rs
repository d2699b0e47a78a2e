//! A non-cryptographic hash that is the same on every node and in every version.

/// Hashes `bytes` with 64-bit FNV-1a (Fowler, Noll and Vo). Not for input that an attacker may
/// choose.
pub fn fnv1a_64<'a>(bytes: impl IntoIterator<Item = &'a u8>) -> u64 {
    bytes.into_iter().fold(0xCBF2_9CE4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01B3)
    })
}
