//! The store stub: the part of etcd v3's JSON mapping over HTTP that fescueway uses.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Either, Full, channel::Channel};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{AbortHandle, JoinSet},
};

use crate::{
    loopback::unique_loopback,
    store_data::{CallError, StoreData},
    store_faults::{StoreFaults, StoreTally},
    store_watch::{WatchSignal, open_watch},
};

/// Interval between checks for expired leases.
const LEASE_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// A response body: complete, or streamed for a watch.
pub(crate) type StoreBody = Either<Full<Bytes>, Channel<Bytes>>;

/// The store stub. It stops when it is dropped.
#[derive(Debug)]
pub struct StoreStub {
    /// The listening address.
    address: SocketAddr,
    /// The state shared by its connections.
    state: Arc<StoreState>,
    /// The task that accepts connections and expires leases.
    task: AbortHandle,
}

/// The state shared by the connections.
#[derive(Debug)]
pub(crate) struct StoreState {
    inner: Mutex<StoreInner>,
    /// Wakes the watches when keys may have changed, and when watches are to close.
    pub(crate) changed: watch::Sender<WatchSignal>,
}

/// The state that the lock protects.
#[derive(Debug, Default)]
pub(crate) struct StoreInner {
    pub(crate) data: StoreData,
    /// The snapshot that stale reads return.
    stale: StoreData,
    /// The copy that the data can be replaced by.
    copy: StoreData,
    faults: StoreFaults,
    tally: StoreTally,
    second_start: Option<Instant>,
}

impl Drop for StoreStub {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl StoreStub {
    /// Starts a store on a free loopback port.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn start() -> io::Result<Self> {
        Self::start_at(SocketAddr::from((unique_loopback(), 0))).await
    }

    /// Starts a store at `address`.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn start_at(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (changed, _) = watch::channel(WatchSignal::default());
        let state = Arc::new(StoreState {
            inner: Mutex::default(),
            changed,
        });
        let task = tokio::spawn(serve(listener, Arc::clone(&state))).abort_handle();
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// The listening address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the faults. Going down closes all watches.
    pub fn set_faults(&self, faults: StoreFaults) {
        let is_down = faults.is_down;
        let mut inner = self.state.lock();
        if faults.is_stale && !inner.faults.is_stale {
            inner.stale = inner.data.snapshot();
        }
        inner.faults = faults;
        drop(inner);
        if is_down {
            self.close_watches();
        }
    }

    /// The current faults. `lost_answers` counts down.
    #[must_use]
    pub fn faults(&self) -> StoreFaults {
        self.state.lock().faults.clone()
    }

    /// Closes all watches.
    pub fn close_watches(&self) {
        self.state.changed.send_modify(|signal| signal.closes += 1);
    }

    /// Drops the history of changes, so that a watch can't resume from an earlier revision.
    pub fn compact(&self) {
        self.state.lock().data.compact();
    }

    /// Copies the data, without the leases.
    pub fn copy(&self) {
        let mut inner = self.state.lock();
        inner.copy = inner.data.snapshot();
    }

    /// Replaces the data by its last copy. Open watches stay open.
    pub fn restore(&self) {
        let mut inner = self.state.lock();
        inner.data = inner.copy.snapshot();
    }

    /// Expires all leases at once.
    pub fn expire_leases(&self) {
        self.state.lock().data.expire_all();
        self.state.changed.send_modify(|signal| signal.changes += 1);
    }

    /// A copy of its counters.
    #[must_use]
    pub fn tally(&self) -> StoreTally {
        self.state.lock().tally.clone()
    }
}

impl StoreState {
    /// Locks the state, also when a panic in another thread poisoned the lock.
    pub(crate) fn lock(&self) -> MutexGuard<'_, StoreInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StoreInner {
    /// Counts a call. Returns false when it exceeds the rate limit.
    fn count_call(&mut self, path: &str) -> bool {
        let now = Instant::now();
        let is_new_second = self
            .second_start
            .is_none_or(|start| now - start >= Duration::from_secs(1));
        if is_new_second {
            self.second_start = Some(now);
            self.tally.current_second = 0;
        }
        self.tally.current_second += 1;
        self.tally.peak_per_second = self.tally.peak_per_second.max(self.tally.current_second);
        *self.tally.calls.entry(path.to_owned()).or_default() += 1;
        let limit = self.faults.calls_per_second.map_or(u64::MAX, u64::from);
        self.tally.current_second <= limit
    }

    /// Executes a call.
    fn execute(&mut self, path: &str, body: &Value) -> Result<Value, CallError> {
        let now = Instant::now();
        self.data.expire(now);
        match path {
            "/v3/kv/range" if self.faults.is_stale => self.stale.range(body),
            "/v3/kv/range" => self.data.range(body),
            "/v3/kv/txn" => self.data.txn(body),
            "/v3/lease/grant" => self.data.grant(body, now),
            "/v3/lease/keepalive" => Ok(self.data.keep_alive(body, now)),
            "/v3/lease/revoke" => self.data.revoke(body),
            _ => Err(CallError {
                status: 404,
                message: format!("no such call: {path}"),
            }),
        }
    }

    /// Whether to drop this call's response; counts down `lost_answers`.
    fn drops_response(&mut self, path: &str) -> bool {
        let is_dropped = path == "/v3/kv/txn" && self.faults.lost_answers > 0;
        if is_dropped {
            self.faults.lost_answers -= 1;
        }
        is_dropped
    }
}

/// Accepts connections and expires leases.
async fn serve(listener: TcpListener, state: Arc<StoreState>) {
    let mut connections = JoinSet::new();
    let mut lease_checks = tokio::time::interval(LEASE_CHECK_PERIOD);
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve_connection(stream, Arc::clone(&state)));
                }
            }
            _ = lease_checks.tick() => {
                state.lock().data.expire(Instant::now());
                state.changed.send_modify(|signal| signal.changes += 1);
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Serves one connection until it closes.
async fn serve_connection(stream: TcpStream, state: Arc<StoreState>) {
    let service = service_fn(move |request| handle_call(request, Arc::clone(&state)));
    // Faults close connections on purpose, so an error here is expected.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Handles a call. An error closes the connection without a response.
async fn handle_call(
    request: Request<Incoming>,
    state: Arc<StoreState>,
) -> Result<Response<StoreBody>, CallAborted> {
    let path = request.uri().path().to_owned();
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(|_error| CallAborted)?;
    let body = serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null);
    let (is_allowed, faults) = {
        let mut inner = state.lock();
        (inner.count_call(&path), inner.faults.clone())
    };
    if faults.is_down {
        return Err(CallAborted);
    }
    if !is_allowed {
        return Ok(error_response(429, "etcdserver: too many requests"));
    }
    if path == "/v3/watch" {
        tokio::time::sleep(faults.delay).await;
        return Ok(open_watch(&body, &state));
    }
    let (result, is_dropped) = {
        let mut inner = state.lock();
        (inner.execute(&path, &body), inner.drops_response(&path))
    };
    state.changed.send_modify(|signal| signal.changes += 1);
    tokio::time::sleep(faults.delay).await;
    if is_dropped {
        return Err(CallAborted);
    }
    Ok(match result {
        Ok(value) => Response::new(Either::Left(Full::new(value.to_string().into()))),
        Err(error) => error_response(error.status, &error.message),
    })
}

/// An error response.
pub(crate) fn error_response(status: u16, message: &str) -> Response<StoreBody> {
    let body = serde_json::json!({ "error": message, "message": message }).to_string();
    let mut response = Response::new(Either::Left(Full::new(body.into())));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
    response
}

/// An error that makes the server close the connection without a response.
#[derive(Debug)]
struct CallAborted;

impl std::fmt::Display for CallAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the server closed the connection without a response")
    }
}

impl std::error::Error for CallAborted {}

/// Streams of watches never fail.
pub(crate) type StreamError = Infallible;
