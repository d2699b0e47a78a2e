//! Finds whole request heads in the bytes of a caller's connection.

use http::{HeaderName, HeaderValue, Method, Request, Uri, Version, header, request::Parts};
use httparse::{EMPTY_HEADER, Status};

use super::entry_server::MAX_HEADERS;

/// Finds whole request heads in the bytes of one connection, as long as it carries HTTP/1.1 requests
/// without a body. From the first other one on it finds nothing: where the next head begins is then
/// for the HTTP library to tell.
#[derive(Debug)]
pub struct RequestScanner {
    /// Bytes of a head that is not whole yet.
    head: Vec<u8>,
    /// The longest head.
    max_head_bytes: usize,
    /// Whether a request came that ends the search.
    is_stopped: bool,
}

impl RequestScanner {
    /// A scanner of a new connection for heads of at most `max_head_bytes` bytes.
    pub fn new(max_head_bytes: usize) -> Self {
        Self {
            head: Vec::new(),
            max_head_bytes,
            is_stopped: false,
        }
    }

    /// Takes the next bytes in; tells the heads that are whole now, in order.
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<Parts> {
        let mut found = Vec::new();
        if self.is_stopped {
            return found;
        }
        self.head.extend_from_slice(bytes);
        while !self.is_stopped && !self.head.is_empty() {
            match parse(&self.head) {
                HeadParse::Complete(parts, length) => {
                    self.head.drain(..length);
                    found.push(*parts);
                }
                HeadParse::Partial if self.head.len() <= self.max_head_bytes => break,
                HeadParse::Partial | HeadParse::Unsupported => {
                    self.is_stopped = true;
                    self.head = Vec::new();
                }
            }
        }
        found
    }
}

/// What the bytes begin with.
enum HeadParse {
    /// The head of a request without a body, and its length in bytes.
    Complete(Box<Parts>, usize),
    /// The beginning of a head.
    Partial,
    /// Something else.
    Unsupported,
}

/// Reads the head that `bytes` begin with.
fn parse(bytes: &[u8]) -> HeadParse {
    let mut fields = [EMPTY_HEADER; MAX_HEADERS];
    let mut raw = httparse::Request::new(&mut fields);
    let length = match raw.parse(bytes) {
        Ok(Status::Complete(length)) => length,
        Ok(Status::Partial) => return HeadParse::Partial,
        Err(_malformed) => return HeadParse::Unsupported,
    };
    match to_parts(&raw) {
        Some(parts) => HeadParse::Complete(Box::new(parts), length),
        None => HeadParse::Unsupported,
    }
}

/// The head of a request without a body; `None` for any other.
fn to_parts(raw: &httparse::Request<'_, '_>) -> Option<Parts> {
    let method = raw.method?.parse::<Method>().ok()?;
    if !matches!(method, Method::GET | Method::HEAD) || raw.version != Some(1) {
        return None;
    }
    let (mut parts, ()) = Request::new(()).into_parts();
    parts.method = method;
    parts.uri = raw.path?.parse::<Uri>().ok()?;
    parts.version = Version::HTTP_11;
    for field in raw.headers.iter() {
        let name = field.name.parse::<HeaderName>().ok()?;
        if is_unsupported_field(&name) {
            return None;
        }
        let value = HeaderValue::from_bytes(field.value).ok()?;
        parts.headers.append(name, value);
    }
    Some(parts)
}

/// Whether a request with this field has a body, or changes what follows it.
fn is_unsupported_field(name: &HeaderName) -> bool {
    [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ]
    .contains(name)
}
