//! Request handling of the backend server stub.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::{
    BodyExt, Either, Full,
    channel::{Channel, Sender},
};
use hyper::body::Incoming;
use serde_json::json;

use crate::{
    backend_plan::{BackendFault, ReportForm},
    backend_server::BackendState,
};

/// Bytes in one chunk of a download.
const CHUNK_BYTES: usize = 16 << 10;

/// A response body: complete or streamed.
type ResponseBody = Either<Full<Bytes>, Channel<Bytes, ConnectionClosed>>;

/// An error that makes the server close the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ConnectionClosed;

impl std::fmt::Display for ConnectionClosed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the backend server closed the connection")
    }
}

impl std::error::Error for ConnectionClosed {}

/// Counts a run as cancelled when it is dropped before [`RunGuard::finish`].
struct RunGuard {
    state: Arc<BackendState>,
    is_finished: bool,
}

impl RunGuard {
    /// Counts a run that starts.
    fn start(state: &Arc<BackendState>, headers: &HeaderMap) -> Self {
        let mut inner = state.lock();
        let tally = &mut inner.tally;
        tally.runs += 1;
        tally.in_flight += 1;
        tally.peak_in_flight = tally.peak_in_flight.max(tally.in_flight);
        if let Some(key) = header_text(headers, "x-run-key") {
            *tally.runs_by_key.entry(key).or_default() += 1;
        }
        drop(inner);
        Self {
            state: Arc::clone(state),
            is_finished: false,
        }
    }

    /// Counts the run as finished.
    fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let tally = &mut self.state.lock().tally;
        tally.in_flight -= 1;
        if self.is_finished {
            tally.finished += 1;
        } else {
            tally.cancelled += 1;
        }
    }
}

/// Handles a request. `index` is its number on its connection, counted from zero.
///
/// # Errors
/// When a fault or a failed read is to close the connection.
pub(crate) async fn handle_request(
    request: Request<Incoming>,
    index: u64,
    state: Arc<BackendState>,
) -> Result<Response<ResponseBody>, ConnectionClosed> {
    let path = request.uri().path().to_owned();
    if path == "/load" {
        return Ok(handle_probe(&state).await);
    }
    let plan = state.lock().plan.clone();
    if plan.fault == Some(BackendFault::CloseReusedConnections) && index > 0 {
        return Err(ConnectionClosed);
    }
    let headers = request.headers().clone();
    if headers.contains_key("x-crash") {
        let _guard = RunGuard::start(&state, &headers);
        state.crash();
        return Err(ConnectionClosed);
    }
    if plan.fault == Some(BackendFault::FailFast) {
        return Ok(full_response(
            StatusCode::INTERNAL_SERVER_ERROR,
            "failing fast".to_owned(),
        ));
    }
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(|_error| ConnectionClosed)?;
    let trailer = body
        .trailers()
        .and_then(|fields| header_text(fields, "x-trailer"));
    let body_bytes = body.to_bytes();
    state.lock().tally.body_bytes += body_bytes.len() as u64;
    let slot = state
        .slots
        .acquire()
        .await
        .map_err(|_error| ConnectionClosed)?;
    let guard = RunGuard::start(&state, &headers);
    let service_time = state.lock().sample_service_time();
    tokio::time::sleep(service_time).await;
    drop(slot);
    guard.finish();
    if plan.fault == Some(BackendFault::DropResponses) {
        return Err(ConnectionClosed);
    }
    let is_truncated = plan.fault == Some(BackendFault::TruncateResponses);
    let mut response = match download_length(&path) {
        Some(length) => stream_response(length, is_truncated),
        None if is_truncated => stream_response(2 * CHUNK_BYTES, true),
        None => full_response(
            StatusCode::OK,
            echo_body(&path, &headers, body_bytes.len(), trailer.as_deref()),
        ),
    };
    add_load_report(&mut response, &state);
    Ok(response)
}

/// Handles a probe of the load path.
async fn handle_probe(state: &Arc<BackendState>) -> Response<ResponseBody> {
    let probe_time = state.lock().plan.probe_time;
    tokio::time::sleep(probe_time).await;
    let status = state.lock().plan.probe_status;
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let mut response = full_response(status, String::new());
    add_load_report(&mut response, state);
    let tally = &mut state.lock().tally;
    tally.probes += 1;
    tally.probe_time += probe_time;
    response
}

/// Adds the load report to the response's headers.
fn add_load_report(response: &mut Response<ResponseBody>, state: &Arc<BackendState>) {
    let inner = state.lock();
    let slots = f64::from(inner.plan.slots.max(1));
    let utilization = f64::from(inner.tally.in_flight) / slots;
    let report = json!({ "application_utilization": utilization, "rps_fractional": 0.0 });
    let form = inner.plan.report;
    drop(inner);
    let field = match form {
        ReportForm::Json => format!("JSON {report}"),
        ReportForm::Garbage => "TEXT application_utilization".to_owned(),
        ReportForm::Silent => return,
    };
    if let Ok(value) = field.parse() {
        response
            .headers_mut()
            .insert("endpoint-load-metrics", value);
    }
}

/// The body of an ordinary response, which echoes the request.
fn echo_body(path: &str, headers: &HeaderMap, length: usize, trailer: Option<&str>) -> String {
    let names: Vec<_> = headers.keys().map(header::HeaderName::as_str).collect();
    let request_id = header_text(headers, "x-request-id");
    json!({
        "request_id": request_id,
        "path": path,
        "body_bytes": length,
        "headers": names,
        "trailer": trailer,
    })
    .to_string()
}

/// A response with a complete body.
fn full_response(status: StatusCode, body: String) -> Response<ResponseBody> {
    let mut response = Response::new(Either::Left(Full::new(body.into())));
    *response.status_mut() = status;
    response
}

/// A streamed response of `length` bytes, aborted after half of them when `is_truncated`.
fn stream_response(length: usize, is_truncated: bool) -> Response<ResponseBody> {
    let (sender, channel) = Channel::new(2);
    tokio::spawn(send_chunks(sender, length, is_truncated));
    let mut response = Response::new(Either::Right(channel));
    response
        .headers_mut()
        .insert(header::CONTENT_LENGTH, length.into());
    response
}

/// Streams a download in chunks.
async fn send_chunks(
    mut sender: Sender<Bytes, ConnectionClosed>,
    length: usize,
    is_truncated: bool,
) {
    let chunk = Bytes::from(vec![b'.'; CHUNK_BYTES]);
    let mut remaining = if is_truncated { length / 2 } else { length };
    while remaining > 0 {
        let size = remaining.min(CHUNK_BYTES);
        if sender.send_data(chunk.slice(..size)).await.is_err() {
            return;
        }
        remaining -= size;
    }
    if is_truncated {
        sender.abort(ConnectionClosed);
    }
}

/// The length that a download path asks for: `…/download/N`.
fn download_length(path: &str) -> Option<usize> {
    let (_, length) = path.rsplit_once("/download/")?;
    length.parse().ok()
}

/// The value of a header as text.
fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}
