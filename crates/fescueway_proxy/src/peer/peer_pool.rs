//! Connection pool for the other nodes of the fleet.

use std::{
    collections::BTreeMap,
    future::poll_fn,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    task::Poll,
    time::Duration,
};

use bytes::Bytes;
use fescueway_core::MonoTime;
use fescueway_routing::PeerSilence;
use fescueway_telemetry::{emit, events::path};
use fescueway_wire::{
    ControlAnswer, ControlKind, ControlRequest, MAX_PAYLOAD_BYTES, StreamHead, encode_frame,
};
use h2::{RecvStream, SendStream, client::ResponseFuture};
use http::{Method, Request};
use tokio::{sync::Mutex as AsyncMutex, time::timeout};

use super::{
    FrameReader, PeerError, PeerStep, StreamPermit, connection_pulse::ConnectionPulse,
    peer_connection::PeerConnection, peer_error::PeerCause,
};
use crate::{
    idle_sweep::IdleSweep, mono_clock::MonoClock, proxy_limits::ProxyLimits, task_group::TaskGroup,
};

/// Silent connections to a peer from which on the peer counts as unresponsive, so that no further one is
/// opened for a while.
const MAX_SILENT_CONNECTIONS: usize = 2;

/// Time after which another connection is opened to an unresponsive peer, for each one that it has.
const UNRESPONSIVE_TIME: Duration = Duration::from_millis(500);

/// URI of every stream. The first frame of a stream states its purpose.
const STREAM_URI: &str = "http://fescueway/";

/// Connection pool for the other nodes of the fleet. Cheap to clone.
///
/// The pool holds one connection per peer and opens another one when all of them are at their
/// stream limit. Idle connections are closed after a timeout.
#[derive(Clone, Debug)]
pub struct PeerPool(Arc<PoolState>);

/// State shared by the clones of a [`PeerPool`].
#[derive(Debug)]
struct PoolState {
    /// Connections by the address of the peer.
    peers: Mutex<BTreeMap<SocketAddr, Arc<PeerState>>>,
    /// Timeouts of the connections.
    limits: Arc<ProxyLimits>,
    /// Runs the connection tasks.
    tasks: TaskGroup,
    /// Clock of the idle timeout.
    clock: MonoClock,
    /// Closes idle connections.
    sweep: IdleSweep,
}

/// Connections to one peer and its failed attempts to connect.
#[derive(Debug, Default)]
struct PeerState {
    /// Open connections.
    connections: Mutex<Vec<PeerConnection>>,
    /// Locked while a connection is opened, so that only one is opened at a time.
    connect_lock: AsyncMutex<()>,
    /// Number of failed attempts to connect.
    failures: AtomicU64,
    /// When the newest connection was opened, in microseconds of the pool's clock.
    connected_at: AtomicU64,
}

/// Whether the connection of a stream is checked for silence before it is used, which takes a round trip
/// if the peer was not heard lately.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConnectionUse {
    /// Not checked: the message is sent again if the connection turns out to be silent.
    Unchecked,
    /// Checked: the message can't be sent again, or has a short time limit.
    Checked,
}

/// Open stream without an answer yet.
#[derive(Debug)]
pub(crate) struct OpenStream {
    /// Permit for the stream on its connection.
    pub permit: StreamPermit,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Sends the message.
    pub sender: SendStream<Bytes>,
    /// Resolves to the head of the answer.
    pub response: ResponseFuture,
}

impl PeerPool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(limits: Arc<ProxyLimits>, tasks: TaskGroup, clock: MonoClock) -> Self {
        Self(Arc::new(PoolState {
            peers: Mutex::default(),
            limits,
            tasks,
            clock,
            sweep: IdleSweep::default(),
        }))
    }

    /// Sends a control message of at most [`fescueway_wire::MAX_CONTROL_BYTES`] bytes and waits for
    /// its answer for at most `time_left`.
    ///
    /// # Errors
    ///
    /// If the peer can't be reached or doesn't answer in time, or its handler fails.
    pub async fn call(
        &self,
        peer: SocketAddr,
        kind: ControlKind,
        body: Vec<u8>,
        time_left: Duration,
    ) -> Result<Vec<u8>, PeerError> {
        let calling = self.call_untimed(peer, kind, body);
        match timeout(time_left, calling).await {
            Ok(answer) => answer,
            Err(_elapsed) => Err(PeerError::new(PeerStep::Receive, peer, PeerCause::TimedOut)),
        }
    }

    /// Addresses of the peers with an open connection.
    #[must_use]
    pub fn connected(&self) -> Vec<SocketAddr> {
        let peers = self.peers();
        let is_open = |peer: &PeerState| peer.connections().iter().any(|conn| !conn.is_closed());
        let open = peers.iter().filter(|(_, peer_state)| is_open(peer_state));
        open.map(|(address, _)| *address).collect()
    }

    /// [`PeerPool::call`] without its timeout.
    async fn call_untimed(
        &self,
        peer: SocketAddr,
        kind: ControlKind,
        body: Vec<u8>,
    ) -> Result<Vec<u8>, PeerError> {
        let message = StreamHead::Control(ControlRequest { kind, body });
        let frame =
            encode_frame(&message).map_err(|error| PeerError::new(PeerStep::Open, peer, error))?;
        let mut stream = self.open(peer, ConnectionUse::Checked).await?;
        stream
            .sender
            .send_data(frame.into(), true)
            .map_err(|error| PeerError::new(PeerStep::Send, peer, error))?;
        let error = |cause| PeerError::new(PeerStep::Receive, peer, cause);
        let received = receive(stream.response).await.map_err(error)?;
        let answer = FrameReader::new(received).read(MAX_PAYLOAD_BYTES).await;
        match answer.map_err(error)? {
            ControlAnswer::Done(bytes) => Ok(bytes),
            ControlAnswer::NoHandler => {
                Err(error(PeerCause::Handler(format!("none for {kind:?}"))))
            }
            ControlAnswer::Failed(detail) => Err(error(PeerCause::Handler(detail))),
        }
    }

    /// Opens a stream to `peer`, on an open connection or a new one.
    ///
    /// # Errors
    ///
    /// If no stream can be opened. Nothing was sent in this case.
    pub(crate) async fn open(
        &self,
        peer: SocketAddr,
        connection_use: ConnectionUse,
    ) -> Result<OpenStream, PeerError> {
        let mut permit = self.acquire(peer).await?;
        if connection_use == ConnectionUse::Checked && !permit.pulse.check().await {
            permit = self.acquire(peer).await?;
            if !permit.pulse.check().await {
                let cause = PeerCause::Unresponsive;
                return Err(PeerError::new(PeerStep::Open, peer, cause));
            }
        }
        let error = |error: h2::Error| PeerError::new(PeerStep::Open, peer, error);
        let mut sender = permit.sender.clone().ready().await.map_err(error)?;
        let mut request = Request::new(());
        *request.method_mut() = Method::POST;
        *request.uri_mut() = http::Uri::from_static(STREAM_URI);
        let (response, stream) = sender.send_request(request, false).map_err(error)?;
        permit.sender = sender;
        Ok(OpenStream {
            permit,
            peer,
            sender: stream,
            response,
        })
    }

    /// Acquires a permit for a stream to `peer`, and connects if no open connection has one left.
    async fn acquire(&self, peer: SocketAddr) -> Result<StreamPermit, PeerError> {
        let peer_state = Arc::clone(self.peers().entry(peer).or_default());
        if let Some(permit) = peer_state.try_acquire(self.now()) {
            return Ok(permit);
        }
        if peer_state.is_unresponsive(self.now()) {
            let cause = PeerCause::Unresponsive;
            return Err(PeerError::new(PeerStep::Connect, peer, cause));
        }
        let failures = peer_state.failures.load(Ordering::Relaxed);
        let _guard = peer_state.connect_lock.lock().await;
        if let Some(permit) = peer_state.try_acquire(self.now()) {
            return Ok(permit);
        }
        // The attempt that held the lock failed. Another attempt would only delay the caller.
        if peer_state.failures.load(Ordering::Relaxed) != failures {
            return Err(PeerError::new(
                PeerStep::Connect,
                peer,
                PeerCause::EarlierAttempt,
            ));
        }
        self.connect(peer, &peer_state).await
    }

    /// Connects to `peer` and acquires a permit on the new connection.
    async fn connect(
        &self,
        peer: SocketAddr,
        peer_state: &Arc<PeerState>,
    ) -> Result<StreamPermit, PeerError> {
        let (limits, tasks) = (&self.0.limits, &self.0.tasks);
        let on_dead = self.replacement_at(peer, peer_state);
        let connecting = PeerConnection::connect(peer, limits, tasks, self.0.clock, on_dead);
        let mut connection = connecting.await.inspect_err(|_| {
            peer_state.failures.fetch_add(1, Ordering::Relaxed);
        })?;
        let now = self.now();
        peer_state
            .connected_at
            .store(now.as_micros(), Ordering::Relaxed);
        let permit = connection.try_acquire(now);
        peer_state.connections().push(connection);
        self.start_sweep();
        permit.ok_or_else(|| PeerError::new(PeerStep::Connect, peer, PeerCause::Ended))
    }

    /// What to do from time to time while a connection to `peer` is dead: it is closed once another one
    /// works, which is opened if there is none.
    fn replacement_at(
        &self,
        peer: SocketAddr,
        peer_state: &Arc<PeerState>,
    ) -> impl Fn(&ConnectionPulse) + Send + 'static {
        let pool = self.clone();
        let peer_state = Arc::downgrade(peer_state);
        move |dead| {
            let Some(peer_state) = peer_state.upgrade() else {
                return;
            };
            if peer_state.is_heard_after_ping_on(dead) {
                emit(&path::PEER_SILENT, &[&peer, &dead.streams()]);
                dead.close();
                return;
            }
            let (pool, peer_state) = (pool.clone(), Arc::clone(&peer_state));
            let tasks = pool.0.tasks.clone();
            tasks.spawn(async move {
                if peer_state.is_unresponsive(pool.now()) {
                    return;
                }
                if let Ok(permit) = pool.acquire(peer).await {
                    // The result is read from the connection by the next call.
                    let _is_heard = permit.pulse.check().await;
                }
            });
        }
    }

    /// Starts the task that closes idle connections. It runs while there are connections.
    fn start_sweep(&self) {
        let idle = self.0.limits.connection_idle;
        let pool = self.clone();
        let close_idle = move || pool.close_idle(idle);
        self.0.sweep.start(&self.0.tasks, idle, close_idle);
    }

    /// Closes connections that have been idle for `idle`. Returns whether none is left.
    fn close_idle(&self, idle: Duration) -> bool {
        let now = self.now();
        let since = MonoTime::from_micros(now.as_micros().saturating_sub(idle.as_micros() as u64));
        let mut peers = self.peers();
        peers.retain(|_, peer_state| {
            let mut connections = peer_state.connections();
            connections
                .retain(|connection| !connection.is_closed() && !connection.is_idle_since(since));
            !connections.is_empty() || Arc::strong_count(peer_state) > 1
        });
        peers.is_empty()
    }

    /// Current time.
    fn now(&self) -> MonoTime {
        self.0.clock.now()
    }

    /// Locks the map of the peers.
    fn peers(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Arc<PeerState>>> {
        self.0.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PeerState {
    /// Whether all connections are silent, the newest of them for long enough that another one would be
    /// too.
    fn is_unresponsive(&self, now: MonoTime) -> bool {
        let connected_at = MonoTime::from_micros(self.connected_at.load(Ordering::Relaxed));
        let connections = self.connections();
        let is_silent =
            |connection: &PeerConnection| connection.pulse().silence() != PeerSilence::None;
        connections.len() >= MAX_SILENT_CONNECTIONS
            && connections.iter().all(is_silent)
            && now.since(connected_at) < UNRESPONSIVE_TIME * connections.len() as u32
    }

    /// Whether the peer was heard on another connection after it was pinged on a silent one.
    fn is_heard_after_ping_on(&self, silent: &ConnectionPulse) -> bool {
        let connections = self.connections();
        let mut pulses = connections.iter().map(PeerConnection::pulse);
        pulses.any(|pulse| pulse.is_heard_after_ping_on(silent))
    }

    /// Acquires a permit on an open connection, `None` if all of them are at their stream limit.
    fn try_acquire(&self, now: MonoTime) -> Option<StreamPermit> {
        let mut connections = self.connections();
        connections.retain(|connection| !connection.is_closed());
        connections
            .iter_mut()
            .find_map(|connection| connection.try_acquire(now))
    }

    /// Locks the connections.
    fn connections(&self) -> MutexGuard<'_, Vec<PeerConnection>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits for the head of the answer. Any status but 200 is an error, also an informational one: no node
/// sends any, and a faulty one could send them without end.
pub(crate) async fn receive(mut response: ResponseFuture) -> Result<RecvStream, PeerCause> {
    let received = poll_fn(|context| match response.poll_informational(context) {
        Poll::Ready(Some(Ok(informational))) => {
            let status = informational.status().as_u16();
            Poll::Ready(Err(PeerCause::Status(status)))
        }
        Poll::Ready(Some(Err(error))) => Poll::Ready(Err(error.into())),
        Poll::Ready(None) | Poll::Pending => {
            let response = Pin::new(&mut response).poll(context);
            response.map_err(PeerCause::from)
        }
    });
    let response = received.await?;
    let status = response.status().as_u16();
    if status != http::StatusCode::OK.as_u16() {
        return Err(PeerCause::Status(status));
    }
    Ok(response.into_body())
}
