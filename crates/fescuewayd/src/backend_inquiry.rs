//! Asks a backend server how it is.

use std::net::SocketAddr;

use eyre::{Result, eyre};
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

/// Gets `path` of the backend server at `address`, on a connection of its own.
///
/// # Errors
///
/// When no whole answer comes.
pub async fn inquire(address: SocketAddr, path: &str) -> Result<InquiryAnswer> {
    let socket = TcpStream::connect(address).await?;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(READ_BUFFER_BYTES);
    let (mut sender, connection) = builder.handshake(TokioIo::new(socket)).await?;
    let request = Request::get(path)
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())?;
    let asking = async {
        let response = sender.send_request(request).await?;
        let (parts, body) = response.into_parts();
        body.collect().await?;
        Ok(InquiryAnswer {
            status: parts.status,
            headers: parts.headers,
        })
    };
    tokio::select! {
        answer = asking => answer,
        ended = connection => {
            ended?;
            Err(eyre!("the connection ended before the answer"))
        }
    }
}
