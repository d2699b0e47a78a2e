//! Asks a node by HTTP at its address for operators.

use std::{net::SocketAddr, time::Duration};

use eyre::{Report, WrapErr, bail, eyre};
use http::{Method, Request};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{body::Bytes, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::{net::TcpStream, time::timeout};

/// How long a node may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest answer, in bytes: a report for a few hundred services fits many times.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Reads JSON from a node.
///
/// # Errors
///
/// When the node can't be reached, answers late, refuses, or answers what makes no sense. The
/// error names the node and the path.
pub(crate) async fn get_json<T: DeserializeOwned>(
    node: SocketAddr,
    path: &str,
) -> Result<T, Report> {
    let body = call(node, Method::GET, path).await?;
    serde_json::from_slice(&body)
        .wrap_err_with(|| format!("node {node}, GET {path}: the answer makes no sense"))
}

/// Tells a node to do something.
///
/// # Errors
///
/// As [`get_json`].
pub(crate) async fn post(node: SocketAddr, path: &str) -> Result<(), Report> {
    call(node, Method::POST, path).await.map(drop)
}

/// One call on a connection of its own.
async fn call(node: SocketAddr, method: Method, path: &str) -> Result<Bytes, Report> {
    let step = format!("node {node}, {method} {path}");
    let exchange = timeout(CALL_TIMEOUT, exchange(node, method, path)).await;
    match exchange {
        Ok(answer) => answer.wrap_err(step),
        Err(_elapsed) => bail!("{step}: no answer within {} s", CALL_TIMEOUT.as_secs()),
    }
}

/// Opens a connection, sends the request and reads the answer.
async fn exchange(node: SocketAddr, method: Method, path: &str) -> Result<Bytes, Report> {
    let stream = TcpStream::connect(node).await.wrap_err("can't connect")?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection = tokio::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", node.to_string())
        .body(Empty::<Bytes>::new())?;
    let answer = sender.send_request(request).await.wrap_err("no answer")?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
    let body = body.collect().await.map_err(|error| eyre!("{error}"))?;
    connection.abort();
    let body = body.to_bytes();
    if !status.is_success() {
        let reason = String::from_utf8_lossy(&body);
        bail!("refused with {status}: {}", reason.trim());
    }
    Ok(body)
}
