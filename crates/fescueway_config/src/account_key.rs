//! An API key of a client account, as its digest.

use std::fmt::{Debug, Formatter, Result as FormatResult};

use sha2::{Digest, Sha256};

/// Length of a digest in hexadecimal digits.
const HEX_DIGITS: usize = 32;

/// An API key of a client account, as its digest: the key itself can't be read back. `Debug` shows
/// neither.
///
/// The digest is the first half of the key's SHA-256. Finding a key with a given digest takes 2^128
/// tries; a whole SHA-256 would double the size of what nodes send each other of 10,000 accounts.
#[derive(Clone, Copy, Eq, PartialEq)]
pub struct AccountKey(u128);

impl AccountKey {
    /// The key with this text.
    #[must_use]
    pub fn new(key: &str) -> Self {
        Self::of_bytes(key.as_bytes())
    }

    /// The key with these bytes. The time depends on their number only.
    #[must_use]
    pub fn of_bytes(key: &[u8]) -> Self {
        let digest: [u8; 32] = Sha256::digest(key).into();
        let mut first = [0; 16];
        first.copy_from_slice(&digest[..16]);
        Self(u128::from_be_bytes(first))
    }

    /// The key whose digest has this hexadecimal form; `None` when that is not 32 digits in lower
    /// case.
    #[must_use]
    pub fn from_hex(hex: &str) -> Option<Self> {
        let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        if hex.len() != HEX_DIGITS || !hex.bytes().all(is_digit) {
            return None;
        }
        u128::from_str_radix(hex, 16).ok().map(Self)
    }

    /// The digest in hexadecimal form, for the stored configuration.
    #[must_use]
    pub fn to_hex(self) -> String {
        format!("{:032x}", self.0)
    }

    /// Whether the digest is lower than that of `other`. Takes the same time for all digests.
    pub(crate) const fn is_below(self, other: Self) -> bool {
        self.0 < other.0
    }

    /// Whether the digests are equal. Takes the same time for all digests.
    pub(crate) const fn is_same(self, other: Self) -> bool {
        self.0 ^ other.0 == 0
    }
}

impl Debug for AccountKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        f.write_str("AccountKey")
    }
}
