//! What the backend server stand-in does with one request.

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

/// Bytes in one piece of a download.
const PIECE_BYTES: usize = 16 << 10;

/// An answer: whole, or a stream.
type WorkBody = Either<Full<Bytes>, Channel<Bytes, WorkError>>;

/// Cuts the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct WorkError;

impl std::fmt::Display for WorkError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the backend server cut the connection")
    }
}

impl std::error::Error for WorkError {}

/// Counts a run as cancelled when it is dropped before its end.
struct RunGuard {
    state: Arc<BackendState>,
    is_finished: bool,
}

impl RunGuard {
    /// Counts the start of a run.
    fn start(state: &Arc<BackendState>, headers: &HeaderMap) -> Self {
        let mut inner = state.lock();
        let tally = &mut inner.tally;
        tally.runs += 1;
        tally.in_flight += 1;
        tally.peak_in_flight = tally.peak_in_flight.max(tally.in_flight);
        if let Some(key) = text(headers, "x-run-key") {
            *tally.runs_by_key.entry(key).or_default() += 1;
        }
        drop(inner);
        Self {
            state: Arc::clone(state),
            is_finished: false,
        }
    }

    /// Counts the end of a run.
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

/// Answers the request that is number `position` on its connection, counted from zero. An error
/// cuts the connection.
pub(crate) async fn answer(
    request: Request<Incoming>,
    position: u64,
    state: Arc<BackendState>,
) -> Result<Response<WorkBody>, WorkError> {
    let path = request.uri().path().to_owned();
    if path == "/load" {
        return Ok(answer_probe(&state).await);
    }
    let plan = state.lock().plan.clone();
    if plan.fault == Some(BackendFault::CloseReusedConnections) && position > 0 {
        return Err(WorkError);
    }
    let headers = request.headers().clone();
    if headers.contains_key("x-crash") {
        let _guard = RunGuard::start(&state, &headers);
        state.crash();
        return Err(WorkError);
    }
    if plan.fault == Some(BackendFault::FailFast) {
        return Ok(whole(
            StatusCode::INTERNAL_SERVER_ERROR,
            "failing fast".to_owned(),
        ));
    }
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(|_error| WorkError)?;
    let trailers = body.trailers().and_then(|fields| text(fields, "x-trailer"));
    let body_bytes = body.to_bytes();
    state.lock().tally.body_bytes += body_bytes.len() as u64;
    let slot = state.slots.acquire().await.map_err(|_error| WorkError)?;
    let guard = RunGuard::start(&state, &headers);
    let service_time = state.lock().draw_service_time();
    tokio::time::sleep(service_time).await;
    drop(slot);
    guard.finish();
    if plan.fault == Some(BackendFault::DropResponses) {
        return Err(WorkError);
    }
    let is_cut = plan.fault == Some(BackendFault::TruncateResponses);
    let mut response = match download_length(&path) {
        Some(length) => stream(length, is_cut),
        None if is_cut => stream(2 * PIECE_BYTES, true),
        None => whole(
            StatusCode::OK,
            echo(&path, &headers, body_bytes.len(), trailers.as_deref()),
        ),
    };
    add_load(&mut response, &state);
    Ok(response)
}

/// Answers a probe at the load path.
async fn answer_probe(state: &Arc<BackendState>) -> Response<WorkBody> {
    let probe_time = state.lock().plan.probe_time;
    tokio::time::sleep(probe_time).await;
    let status = state.lock().plan.probe_status;
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let mut response = whole(status, String::new());
    add_load(&mut response, state);
    let tally = &mut state.lock().tally;
    tally.probes += 1;
    tally.probe_time += probe_time;
    response
}

/// Adds the load report.
fn add_load(response: &mut Response<WorkBody>, state: &Arc<BackendState>) {
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

/// The body of an ordinary answer: what the request was.
fn echo(path: &str, headers: &HeaderMap, length: usize, trailer: Option<&str>) -> String {
    let seen: Vec<_> = headers.keys().map(header::HeaderName::as_str).collect();
    let request_id = text(headers, "x-request-id");
    json!({
        "request_id": request_id,
        "path": path,
        "body_bytes": length,
        "headers": seen,
        "trailer": trailer,
    })
    .to_string()
}

/// A whole answer.
fn whole(status: StatusCode, body: String) -> Response<WorkBody> {
    let mut response = Response::new(Either::Left(Full::new(body.into())));
    *response.status_mut() = status;
    response
}

/// A download of `length` bytes, cut after its half when `is_cut`.
fn stream(length: usize, is_cut: bool) -> Response<WorkBody> {
    let (sender, channel) = Channel::new(2);
    tokio::spawn(send_pieces(sender, length, is_cut));
    let mut response = Response::new(Either::Right(channel));
    response
        .headers_mut()
        .insert(header::CONTENT_LENGTH, length.into());
    response
}

/// Sends a download in pieces.
async fn send_pieces(mut sender: Sender<Bytes, WorkError>, length: usize, is_cut: bool) {
    let piece = Bytes::from(vec![b'.'; PIECE_BYTES]);
    let mut left = if is_cut { length / 2 } else { length };
    while left > 0 {
        let size = left.min(PIECE_BYTES);
        if sender.send_data(piece.slice(..size)).await.is_err() {
            return;
        }
        left -= size;
    }
    if is_cut {
        sender.abort(WorkError);
    }
}

/// The length that a download path asks for: `…/download/N`.
fn download_length(path: &str) -> Option<usize> {
    let (_, length) = path.rsplit_once("/download/")?;
    length.parse().ok()
}

/// A header's value as text.
fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}
