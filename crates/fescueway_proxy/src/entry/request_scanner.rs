//! Parses complete request heads from the bytes of a caller's connection.

use http::{HeaderName, HeaderValue, Method, Request, Uri, Version, header, request::Parts};
use httparse::{EMPTY_HEADER, Status};

use super::entry_server::MAX_HEADERS;

/// Parses complete request heads from the bytes of one connection, as long as it carries HTTP/1.1
/// requests without a body. It stops at the first other request, since only the HTTP library knows
/// where the head after that one begins.
#[derive(Debug)]
pub struct RequestScanner {
    /// Bytes of an incomplete head.
    head: Vec<u8>,
    /// Maximum length of a head in bytes.
    max_head_bytes: usize,
    /// Whether an unsupported request was seen, so that parsing has stopped.
    is_stopped: bool,
}

impl RequestScanner {
    /// A scanner of a new connection for heads of at most `max_head_bytes`.
    pub fn new(max_head_bytes: usize) -> Self {
        Self {
            head: Vec::new(),
            max_head_bytes,
            is_stopped: false,
        }
    }

    /// Appends the next bytes and returns the heads that are complete now, in order.
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

/// The result of parsing the start of the buffered bytes.
enum HeadParse {
    /// The head of a request without a body, and its length in bytes.
    Complete(Box<Parts>, usize),
    /// The beginning of a head.
    Partial,
    /// Not the head of an HTTP/1.1 request without a body.
    Unsupported,
}

/// Parses the head at the start of `bytes`.
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

/// Converts a parsed head; `None` unless it is of a GET or HEAD request without a body.
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

/// Whether a request with this field may have a body, or changes how the bytes after it are read.
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
