//! The store stand-in: etcd v3's JSON mapping over HTTP, as far as fescueway uses it.

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
    store_core::{CallError, StoreCore},
    store_faults::{StoreFaults, StoreTally},
    store_watch::{WatchOrder, follow},
};

/// How often lapsed leases are looked for.
const LEASE_PERIOD: Duration = Duration::from_millis(50);

/// An answer: whole, or a stream for a watch.
pub(crate) type StoreBody = Either<Full<Bytes>, Channel<Bytes>>;

/// The store stand-in. It ends when it is dropped.
#[derive(Debug)]
pub struct StoreStub {
    /// Where it listens.
    address: SocketAddr,
    /// What its connections share.
    state: Arc<StoreState>,
    /// Its tasks.
    task: AbortHandle,
}

/// What the connections share.
#[derive(Debug)]
pub(crate) struct StoreState {
    inner: Mutex<StoreInner>,
    /// Rises with every change of a key, and when watches are cut.
    pub(crate) changed: watch::Sender<WatchOrder>,
}

/// The state behind the lock.
#[derive(Debug, Default)]
pub(crate) struct StoreInner {
    pub(crate) core: StoreCore,
    /// The state that stale reads are answered from.
    stale: StoreCore,
    faults: StoreFaults,
    tally: StoreTally,
    second: Option<Instant>,
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
        let (changed, _) = watch::channel(WatchOrder::default());
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

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Switches faults on or off. Going down cuts all watches.
    pub fn set_faults(&self, faults: StoreFaults) {
        let is_down = faults.is_down;
        let mut inner = self.state.lock();
        if faults.is_stale && !inner.faults.is_stale {
            inner.stale = inner.core.snapshot();
        }
        inner.faults = faults;
        drop(inner);
        if is_down {
            self.cut_watches();
        }
    }

    /// The faults that are on. Lost answers count down.
    #[must_use]
    pub fn faults(&self) -> StoreFaults {
        self.state.lock().faults.clone()
    }

    /// Ends all watches.
    pub fn cut_watches(&self) {
        self.state.changed.send_modify(|order| order.cuts += 1);
    }

    /// Forgets past changes, so that a watch can't resume from before now.
    pub fn compact(&self) {
        self.state.lock().core.compact();
    }

    /// Lets all leases lapse at once.
    pub fn expire_leases(&self) {
        self.state.lock().core.expire_all();
        self.state.changed.send_modify(|order| order.changes += 1);
    }

    /// How often it was called.
    #[must_use]
    pub fn tally(&self) -> StoreTally {
        self.state.lock().tally.clone()
    }
}

impl StoreState {
    /// The state, also after a panic elsewhere.
    pub(crate) fn lock(&self) -> MutexGuard<'_, StoreInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StoreInner {
    /// Counts a call; false when the rate limit refuses it.
    fn count(&mut self, path: &str) -> bool {
        let now = Instant::now();
        let is_new = self
            .second
            .is_none_or(|start| now - start >= Duration::from_secs(1));
        if is_new {
            self.second = Some(now);
            self.tally.this_second = 0;
        }
        self.tally.this_second += 1;
        self.tally.peak_per_second = self.tally.peak_per_second.max(self.tally.this_second);
        *self.tally.calls.entry(path.to_owned()).or_default() += 1;
        let limit = self.faults.calls_per_second.map_or(u64::MAX, u64::from);
        self.tally.this_second <= limit
    }

    /// Runs one call.
    fn run(&mut self, path: &str, body: &Value) -> Result<Value, CallError> {
        let now = Instant::now();
        self.core.expire(now);
        match path {
            "/v3/kv/range" if self.faults.is_stale => self.stale.range(body),
            "/v3/kv/range" => self.core.range(body),
            "/v3/kv/txn" => self.core.txn(body),
            "/v3/lease/grant" => self.core.grant(body, now),
            "/v3/lease/keepalive" => Ok(self.core.keep_alive(body, now)),
            "/v3/lease/revoke" => self.core.revoke(body),
            _ => Err(CallError {
                status: 404,
                message: format!("no such call: {path}"),
            }),
        }
    }

    /// Whether this call's answer is to be lost.
    fn loses_answer(&mut self, path: &str) -> bool {
        let is_lost = path == "/v3/kv/txn" && self.faults.lost_answers > 0;
        if is_lost {
            self.faults.lost_answers -= 1;
        }
        is_lost
    }
}

/// Takes connections and ends lapsed leases.
async fn serve(listener: TcpListener, state: Arc<StoreState>) {
    let mut connections = JoinSet::new();
    let mut leases = tokio::time::interval(LEASE_PERIOD);
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve_connection(stream, Arc::clone(&state)));
                }
            }
            _ = leases.tick() => {
                state.lock().core.expire(Instant::now());
                state.changed.send_modify(|order| order.changes += 1);
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Serves one connection until it ends.
async fn serve_connection(stream: TcpStream, state: Arc<StoreState>) {
    let service = service_fn(move |request| answer(request, Arc::clone(&state)));
    // A cut connection is one of the faults, and no error here.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Answers one call. An error cuts the connection without an answer.
async fn answer(
    request: Request<Incoming>,
    state: Arc<StoreState>,
) -> Result<Response<StoreBody>, CallCut> {
    let path = request.uri().path().to_owned();
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(|_error| CallCut)?;
    let body = serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null);
    let (is_counted, faults) = {
        let mut inner = state.lock();
        (inner.count(&path), inner.faults.clone())
    };
    if faults.is_down {
        return Err(CallCut);
    }
    if !is_counted {
        return Ok(refuse(429, "etcdserver: too many requests"));
    }
    if path == "/v3/watch" {
        tokio::time::sleep(faults.delay).await;
        return Ok(follow(&body, &state));
    }
    let (result, is_lost) = {
        let mut inner = state.lock();
        (inner.run(&path, &body), inner.loses_answer(&path))
    };
    state.changed.send_modify(|order| order.changes += 1);
    tokio::time::sleep(faults.delay).await;
    if is_lost {
        return Err(CallCut);
    }
    Ok(match result {
        Ok(value) => Response::new(Either::Left(Full::new(value.to_string().into()))),
        Err(error) => refuse(error.status, &error.message),
    })
}

/// An answer that refuses the call.
pub(crate) fn refuse(status: u16, message: &str) -> Response<StoreBody> {
    let body = serde_json::json!({ "error": message, "message": message }).to_string();
    let mut response = Response::new(Either::Left(Full::new(body.into())));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
    response
}

/// The connection is cut without an answer.
#[derive(Debug)]
struct CallCut;

impl std::fmt::Display for CallCut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the call was cut")
    }
}

impl std::error::Error for CallCut {}

/// The streams of watches never fail by themselves.
pub(crate) type StreamError = Infallible;
