//! A digest that is equal at every node and in every version.

/// FNV-1a of 64 bits (Fowler, Noll and Vo). Not for bytes that an attacker may choose.
pub fn fnv1a_64<'a>(bytes: impl IntoIterator<Item = &'a u8>) -> u64 {
    bytes.into_iter().fold(0xCBF2_9CE4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01B3)
    })
}
