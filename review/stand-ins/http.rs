//! The part of HTTP/1.1 that the stand-ins speak.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A message with a head and a body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Names in lower case, and values.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header field, empty if it is missing.
    pub fn field(&self, name: &str) -> &str {
        let mut fields = self.fields.iter();
        fields
            .find(|(known, _)| known == name)
            .map_or("", |(_, value)| value)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1).unwrap_or_default();
        status.parse().unwrap_or(0)
    }
}

/// Reads one message whose body has a length. `None` if the connection ends before its first byte.
pub fn read_message(stream: &mut TcpStream) -> io::Result<Option<Message>> {
    read_until(stream, None)
}

/// Reads one message, at most until `end`.
fn read_until(stream: &mut TcpStream, end: Option<Instant>) -> io::Result<Option<Message>> {
    let mut head = Vec::new();
    let mut byte = [0];
    limit_read(stream, end)?;
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            let is_empty = head.is_empty();
            return if is_empty {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let mut lines = text.split("\r\n").filter(|line| !line.is_empty());
    let mut message = Message {
        start: lines.next().unwrap_or_default().to_owned(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            let field = (name.trim().to_lowercase(), value.trim().to_owned());
            message.fields.push(field);
        }
    }
    let length = message.field("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    let mut filled = 0;
    while filled < length {
        limit_read(stream, end)?;
        match stream.read(&mut message.body[filled..])? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => filled += count,
        }
    }
    Ok(Some(message))
}

/// Limits the next read to the time until `end`.
fn limit_read(stream: &TcpStream, end: Option<Instant>) -> io::Result<()> {
    let Some(end) = end else {
        return Ok(());
    };
    let left = end.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))
}

/// Writes one message with the length of its body.
pub fn write_message(
    stream: &mut TcpStream,
    start: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let text = head_text(start, fields, body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// The head of a message with a body of this length.
pub fn head_text(start: &str, fields: &[(&str, &str)], length: usize) -> String {
    let mut text = format!("{start}\r\n");
    for (name, value) in fields {
        text += &format!("{name}: {value}\r\n");
    }
    text + &format!("Content-Length: {length}\r\n\r\n")
}

/// Sends a request on a new connection and waits for its response.
pub fn call(
    address: SocketAddr,
    start: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let end = Instant::now() + limit;
    write_message(&mut stream, start, fields, body)?;
    read_until(&mut stream, Some(end))?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
