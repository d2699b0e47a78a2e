//! HTTP client for a node's listener for operators.

use std::{net::SocketAddr, time::Duration};

use eyre::{Report, WrapErr, bail, eyre};
use http::{Method, Request};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{body::Bytes, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::{net::TcpStream, task::JoinSet, time::timeout};

use crate::progress::ProgressLine;

/// Timeout of one request to a node.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of nodes that are queried concurrently.
const MAX_CONCURRENT_NODES: usize = 32;

/// Maximum size of a response body, in bytes; many times a report for a few hundred services.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Reads JSON from a node.
///
/// # Errors
///
/// When the node can't be reached, answers too late or refuses, or when the response can't be
/// parsed. The error names the node and the path.
pub(crate) async fn get_json<T: DeserializeOwned>(
    node: SocketAddr,
    path: &str,
) -> Result<T, Report> {
    let body = call(node, Method::GET, path).await?;
    serde_json::from_slice(&body)
        .wrap_err_with(|| format!("node {node}, GET {path}: can't parse the response"))
}

/// Reads JSON from several nodes, at most [`MAX_CONCURRENT_NODES`] at once. Calls `on_answer` for
/// each result as it arrives, with the index of its node in `nodes`. Shows progress on a terminal.
pub(crate) async fn get_json_from_all<T: DeserializeOwned + Send + 'static>(
    nodes: &[SocketAddr],
    path: &'static str,
    mut on_answer: impl FnMut(usize, Result<T, Report>),
) {
    let progress = ProgressLine::new();
    let mut pending = nodes.iter().copied().enumerate();
    let mut tasks = JoinSet::new();
    let mut answered = 0;
    loop {
        let free_count = MAX_CONCURRENT_NODES - tasks.len();
        for (index, node) in pending.by_ref().take(free_count) {
            tasks.spawn(async move { (index, get_json(node, path).await) });
        }
        let Some(joined) = tasks.join_next().await else {
            return;
        };
        // A task fails to join only when the runtime shuts down.
        let Ok((index, answer)) = joined else {
            return;
        };
        answered += 1;
        progress.show(&format!("{answered} of {} nodes answered", nodes.len()));
        on_answer(index, answer);
    }
}

/// Sends a POST without a body to a node.
///
/// # Errors
///
/// As [`get_json`].
pub(crate) async fn post(node: SocketAddr, path: &str) -> Result<(), Report> {
    call(node, Method::POST, path).await.map(drop)
}

/// Sends one request on its own connection, within [`CALL_TIMEOUT`].
async fn call(node: SocketAddr, method: Method, path: &str) -> Result<Bytes, Report> {
    let step = format!("node {node}, {method} {path}");
    let exchange = timeout(CALL_TIMEOUT, exchange(node, method, path)).await;
    match exchange {
        Ok(answer) => answer.wrap_err(step),
        Err(_elapsed) => bail!("{step}: no answer within {} s", CALL_TIMEOUT.as_secs()),
    }
}

/// Opens a connection, sends the request and reads the response body.
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
    let body = Limited::new(answer.into_body(), MAX_RESPONSE_BYTES);
    let body = body.collect().await.map_err(|error| eyre!("{error}"))?;
    connection.abort();
    let body = body.to_bytes();
    if !status.is_success() {
        let reason = String::from_utf8_lossy(&body);
        bail!("refused with {status}: {}", reason.trim());
    }
    Ok(body)
}
