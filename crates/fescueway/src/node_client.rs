//! Asks a node by HTTP at its address for operators.

use std::{net::SocketAddr, time::Duration};

use eyre::{Report, WrapErr, bail, eyre};
use http::{Method, Request};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{body::Bytes, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::{net::TcpStream, task::JoinSet, time::timeout};

use crate::progress::ProgressLine;

/// How long a node may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Nodes that are asked at once.
const ASKED_AT_ONCE: usize = 32;

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

/// Reads JSON from several nodes, a bounded number at once, and tells each answer with the place
/// of its node as it comes. Progress is shown on a terminal.
pub(crate) async fn get_json_from_all<T: DeserializeOwned + Send + 'static>(
    nodes: &[SocketAddr],
    path: &'static str,
    mut tell: impl FnMut(usize, Result<T, Report>),
) {
    let progress = ProgressLine::new();
    let mut waiting = nodes.iter().copied().enumerate();
    let mut asked = JoinSet::new();
    let mut answered = 0;
    loop {
        let room = ASKED_AT_ONCE - asked.len();
        for (place, node) in waiting.by_ref().take(room) {
            asked.spawn(async move { (place, get_json(node, path).await) });
        }
        let Some(joined) = asked.join_next().await else {
            return;
        };
        // A task ends early only with the whole runtime.
        let Ok((place, answer)) = joined else {
            return;
        };
        answered += 1;
        progress.show(&format!("{answered} of {} nodes answered", nodes.len()));
        tell(place, answer);
    }
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
