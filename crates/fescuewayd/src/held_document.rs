//! The configuration document in force, kept in the form that peers receive.

use std::{
    fmt::{Debug, Formatter, Result as FormatResult},
    sync::Arc,
};

use miniz_oxide::{deflate::compress_to_vec, inflate::decompress_to_vec_with_limit};

/// Compression level, from 0 to 10. Names and numbers repeat, so a low level removes most of the
/// size.
const COMPRESSION_LEVEL: u8 = 4;

/// Maximum size of a decompressed document, in bytes. The store limits values to 1 MB.
const MAX_DOCUMENT_BYTES: usize = 4 * 1_024 * 1_024;

/// The document in force.
#[derive(Debug, Default)]
pub struct HeldDocument {
    /// Its version; zero while there is none. Never decreases.
    version: u64,
    /// Its bytes.
    form: DocumentForm,
    /// Whether the store was last seen to hold a document that can't be read.
    is_latest_unreadable: bool,
}

/// The bytes of a document, either plain or compressed.
#[derive(Clone)]
enum DocumentForm {
    /// As stored in the store.
    Plain(Arc<[u8]>),
    /// As sent to peers.
    Compressed(Arc<[u8]>),
}

impl Debug for DocumentForm {
    /// Shows the length only, since the document may hold API keys.
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        let (Self::Plain(bytes) | Self::Compressed(bytes)) = self;
        write!(f, "{} bytes", bytes.len())
    }
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

    /// Replaces the document by a plain one from the store if that is newer. Returns whether it
    /// did.
    pub fn set_plain(&mut self, version: u64, plain: &[u8]) -> bool {
        let is_newer = version > self.version;
        if is_newer {
            self.version = version;
            self.form = DocumentForm::Plain(plain.into());
        }
        is_newer
    }

    /// Replaces the document by a compressed one from a peer if that is newer. Returns whether it
    /// did.
    pub fn set_compressed(&mut self, version: u64, compressed: &[u8]) -> bool {
        let is_newer = version > self.version;
        if is_newer {
            self.version = version;
            self.form = DocumentForm::Compressed(compressed.into());
        }
        is_newer
    }

    /// Records whether the document that the store holds can't be read.
    pub fn set_latest_unreadable(&mut self, is_unreadable: bool) {
        self.is_latest_unreadable = is_unreadable;
    }

    /// Whether the store was last seen to hold a document that can't be read.
    pub fn is_latest_unreadable(&self) -> bool {
        self.is_latest_unreadable
    }

    /// The compressed document for peers. It is compressed on first use.
    pub fn compressed(&mut self) -> Arc<[u8]> {
        let compressed = match &self.form {
            DocumentForm::Compressed(compressed) => return Arc::clone(compressed),
            DocumentForm::Plain(plain) => compress_to_vec(plain, COMPRESSION_LEVEL),
        };
        let compressed: Arc<[u8]> = compressed.into();
        self.form = DocumentForm::Compressed(Arc::clone(&compressed));
        compressed
    }
}

/// Decompresses a document from a peer.
///
/// # Errors
///
/// When the bytes are not a valid compressed document, or the document is too large.
pub fn decompress(compressed: &[u8]) -> Result<Vec<u8>, String> {
    let plain = decompress_to_vec_with_limit(compressed, MAX_DOCUMENT_BYTES);
    plain.map_err(|error| error.to_string())
}
