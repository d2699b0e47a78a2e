//! The configuration document in force, as peers are given it.

use std::sync::Arc;

use miniz_oxide::{deflate::compress_to_vec, inflate::decompress_to_vec_with_limit};

/// How hard a document is packed, from 0 to 10. Names and numbers repeat, so that little work takes most
/// of it away.
const PACK_LEVEL: u8 = 4;

/// The largest document that is unpacked, in bytes. The store's values end at 1 MB.
const MOST_BYTES: usize = 4 * 1_024 * 1_024;

/// The document in force.
#[derive(Debug, Default)]
pub struct HeldDocument {
    /// Its version; zero while there is none. Never falls.
    version: u64,
    /// Its bytes.
    form: DocumentForm,
}

/// The bytes of a document. Only one form is kept.
#[derive(Clone, Debug)]
enum DocumentForm {
    /// As they lie in the store.
    Plain(Arc<[u8]>),
    /// As peers are given them.
    Packed(Arc<[u8]>),
}

impl Default for DocumentForm {
    fn default() -> Self {
        Self::Plain(Arc::default())
    }
}

impl HeldDocument {
    /// Its version; zero while there is none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes a version as it lies in the store, unless it is older. Whether it did.
    pub fn replace(&mut self, version: u64, plain: &[u8]) -> bool {
        let is_newer = version > self.version;
        if is_newer {
            self.version = version;
            self.form = DocumentForm::Plain(plain.into());
        }
        is_newer
    }

    /// Takes a version as a peer gave it, unless it is older. Whether it did.
    pub fn replace_packed(&mut self, version: u64, packed: &[u8]) -> bool {
        let is_newer = version > self.version;
        if is_newer {
            self.version = version;
            self.form = DocumentForm::Packed(packed.into());
        }
        is_newer
    }

    /// The document for a peer. It is packed when the first one asks.
    pub fn packed(&mut self) -> Arc<[u8]> {
        let packed = match &self.form {
            DocumentForm::Packed(packed) => return Arc::clone(packed),
            DocumentForm::Plain(plain) => compress_to_vec(plain, PACK_LEVEL),
        };
        let packed: Arc<[u8]> = packed.into();
        self.form = DocumentForm::Packed(Arc::clone(&packed));
        packed
    }
}

/// The document that a peer packed.
///
/// # Errors
///
/// When the bytes are no packed document, or too large a one.
pub fn unpack(packed: &[u8]) -> Result<Vec<u8>, String> {
    let plain = decompress_to_vec_with_limit(packed, MOST_BYTES);
    plain.map_err(|error| error.to_string())
}
