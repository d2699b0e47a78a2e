//! The connections to the peers in use.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use fescueway_core::MonoTime;
use fescueway_wire::{
    ControlAnswer, ControlKind, ControlRequest, MAX_PAYLOAD_BYTES, StreamHead, encode_frame,
};
use h2::{RecvStream, SendStream, client::ResponseFuture};
use http::{Method, Request};
use tokio::{sync::Mutex as AsyncMutex, time::timeout};

use super::{
    FrameReader, LinkLease, PeerError, PeerStep, peer_error::PeerCause, peer_link::PeerLink,
};
use crate::{
    idle_sweep::IdleSweep, mono_clock::MonoClock, proxy_limits::ProxyLimits, task_group::TaskGroup,
};

/// Every stream is opened with this URI; what it is for stands in its first frame.
const STREAM_URI: &str = "http://fescueway/";

/// The connections to the peers in use. Cheap to clone.
///
/// A peer has one connection, or more while its streams don't fit on one. A connection that is
/// not used closes after a while.
#[derive(Clone, Debug)]
pub struct PeerPool(Arc<PoolState>);

/// What the clones of a [`PeerPool`] share.
#[derive(Debug)]
struct PoolState {
    /// Peers that were used lately.
    peers: Mutex<BTreeMap<SocketAddr, Arc<PeerSlot>>>,
    /// Limits.
    limits: Arc<ProxyLimits>,
    /// Runs the connections.
    tasks: TaskGroup,
    /// Tells the time.
    clock: MonoClock,
    /// Closes idle connections.
    sweep: IdleSweep,
}

/// The connections to one peer.
#[derive(Debug, Default)]
struct PeerSlot {
    /// Open connections.
    links: Mutex<Vec<PeerLink>>,
    /// Held by the one that connects.
    dial: AsyncMutex<()>,
    /// Attempts to connect that failed.
    failures: AtomicU64,
}

/// A stream that was opened and not yet answered.
#[derive(Debug)]
pub(crate) struct OpenStream {
    /// Keeps the stream's place on its link.
    pub lease: LinkLease,
    /// The peer.
    pub peer: SocketAddr,
    /// What is sent.
    pub sender: SendStream<Bytes>,
    /// What is answered.
    pub response: ResponseFuture,
}

impl PeerPool {
    /// A pool without connections.
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

    /// Sends one control message of at most [`fescueway_wire::MAX_CONTROL_BYTES`] and waits
    /// `time_left` for its answer.
    ///
    /// # Errors
    ///
    /// When the peer can't be reached, doesn't answer in time, or has no answer.
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
        let is_open = |slot: &PeerSlot| slot.links().iter().any(|link| !link.is_closed());
        let open = peers.iter().filter(|(_, slot)| is_open(slot));
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
        let mut stream = self.open(peer).await?;
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

    /// Opens a stream to `peer`, over a connection that is open or a new one.
    ///
    /// # Errors
    ///
    /// Nothing was sent then.
    pub(crate) async fn open(&self, peer: SocketAddr) -> Result<OpenStream, PeerError> {
        let mut lease = self.lease(peer).await?;
        let error = |error: h2::Error| PeerError::new(PeerStep::Open, peer, error);
        let mut sender = lease.sender.clone().ready().await.map_err(error)?;
        let mut request = Request::new(());
        *request.method_mut() = Method::POST;
        *request.uri_mut() = http::Uri::from_static(STREAM_URI);
        let (response, stream) = sender.send_request(request, false).map_err(error)?;
        lease.sender = sender;
        Ok(OpenStream {
            lease,
            peer,
            sender: stream,
            response,
        })
    }

    /// A stream's place on a connection to `peer`.
    async fn lease(&self, peer: SocketAddr) -> Result<LinkLease, PeerError> {
        let slot = Arc::clone(self.peers().entry(peer).or_default());
        if let Some(lease) = slot.lease(self.now()) {
            return Ok(lease);
        }
        let failures = slot.failures.load(Ordering::Relaxed);
        let _dial = slot.dial.lock().await;
        if let Some(lease) = slot.lease(self.now()) {
            return Ok(lease);
        }
        // The attempt that was waited for failed: another one would only make the caller late.
        if slot.failures.load(Ordering::Relaxed) != failures {
            return Err(PeerError::new(PeerStep::Connect, peer, PeerCause::Earlier));
        }
        self.connect(peer, &slot).await
    }

    /// Connects to `peer` and takes a place on the new connection.
    async fn connect(&self, peer: SocketAddr, slot: &PeerSlot) -> Result<LinkLease, PeerError> {
        let connected = PeerLink::connect(peer, &self.0.limits, &self.0.tasks, self.now()).await;
        let mut link = connected.inspect_err(|_| {
            slot.failures.fetch_add(1, Ordering::Relaxed);
        })?;
        let lease = link.lease(self.now());
        slot.links().push(link);
        self.sweep_later();
        lease.ok_or_else(|| PeerError::new(PeerStep::Connect, peer, PeerCause::Ended))
    }

    /// Runs the task that closes idle connections, while there are connections.
    fn sweep_later(&self) {
        let idle = self.0.limits.connection_idle;
        let pool = self.clone();
        let close_idle = move || pool.close_idle(idle);
        self.0.sweep.start(&self.0.tasks, idle, close_idle);
    }

    /// Closes what was not used for `idle`; tells whether nothing is left.
    fn close_idle(&self, idle: Duration) -> bool {
        let now = self.now();
        let since = MonoTime::from_micros(now.as_micros().saturating_sub(idle.as_micros() as u64));
        let mut peers = self.peers();
        peers.retain(|_, slot| {
            let mut links = slot.links();
            links.retain(|link| !link.is_closed() && !link.is_idle_since(since));
            !links.is_empty() || Arc::strong_count(slot) > 1
        });
        peers.is_empty()
    }

    /// The time.
    fn now(&self) -> MonoTime {
        self.0.clock.now()
    }

    /// The peers, locked.
    fn peers(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Arc<PeerSlot>>> {
        self.0.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PeerSlot {
    /// A place on one of the open connections.
    fn lease(&self, now: MonoTime) -> Option<LinkLease> {
        let mut links = self.links();
        links.retain(|link| !link.is_closed());
        links.iter_mut().find_map(|link| link.lease(now))
    }

    /// The connections, locked.
    fn links(&self) -> MutexGuard<'_, Vec<PeerLink>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits for the head of the answer, whose status has to be 200.
pub(crate) async fn receive(response: ResponseFuture) -> Result<RecvStream, PeerCause> {
    let response = response.await?;
    let status = response.status().as_u16();
    if status != http::StatusCode::OK.as_u16() {
        return Err(PeerCause::Status(status));
    }
    Ok(response.into_body())
}
