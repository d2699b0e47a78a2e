//! Asks a backend server how it is.

use std::net::SocketAddr;

use eyre::Result;
use http::{HeaderMap, Request, StatusCode, header::HOST};
use http_body_util::{BodyExt, Empty};
use hyper::{body::Bytes, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Bytes that are read from a backend server at once. Its answers are a head and next to no body.
const READ_BUFFER_BYTES: usize = 8 * 1_024;

/// What a backend server answered.
#[derive(Clone, Debug)]
pub struct InquiryAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
}

/// A connection on which a backend server is asked again and again.
#[derive(Debug)]
pub struct InquiryLine {
    /// The backend server.
    address: SocketAddr,
    /// The connection, once there is one.
    sender: Option<http1::SendRequest<Empty<Bytes>>>,
}

impl InquiryLine {
    /// A line to the backend server at `address`. Opens nothing yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            sender: None,
        }
    }

    /// Gets `path`, on the connection of the last question while it is open.
    ///
    /// # Errors
    ///
    /// When no whole answer comes. The next question opens a new connection then.
    pub async fn ask(&mut self, path: &str) -> Result<InquiryAnswer> {
        let mut sender = match self.sender.take() {
            Some(sender) if sender.is_ready() => sender,
            _ => self.connect().await?,
        };
        let request = Request::get(path)
            .header(HOST, self.address.to_string())
            .body(Empty::<Bytes>::new())?;
        let response = sender.send_request(request).await?;
        let (parts, body) = response.into_parts();
        body.collect().await?;
        self.sender = Some(sender);
        Ok(InquiryAnswer {
            status: parts.status,
            headers: parts.headers,
        })
    }

    /// Opens a connection.
    async fn connect(&self) -> Result<http1::SendRequest<Empty<Bytes>>> {
        let socket = TcpStream::connect(self.address).await?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let (sender, connection) = builder.handshake(TokioIo::new(socket)).await?;
        tokio::spawn(async move {
            // How it ended is told to the question that it carried.
            let _ = connection.await;
        });
        Ok(sender)
    }
}

/// Gets `path` of the backend server at `address`, on a connection of its own.
///
/// # Errors
///
/// When no whole answer comes.
pub async fn inquire(address: SocketAddr, path: &str) -> Result<InquiryAnswer> {
    InquiryLine::new(address).ask(path).await
}
