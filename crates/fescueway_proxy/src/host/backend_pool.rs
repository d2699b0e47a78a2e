//! Connections to one backend server, bounded by what it announced.

use std::{
    collections::VecDeque,
    error::Error,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use fescueway_core::Idempotency;
use http::{Request, Response};
use hyper::{
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, timeout},
};

use super::{BackendError, BackendStep};
use crate::{
    body::{BodyError, HostBody},
    idle_sweep::IdleSweep,
    proxy_limits::ProxyLimits,
    socket_options::set_socket_options,
    task_group::TaskGroup,
};

/// The largest read buffer of a connection to a backend server in bytes.
const READ_BUFFER_BYTES: usize = 64 * 1_024;

/// Connections to one backend server. Cheap to clone.
///
/// Invariant: never more connections are open than the backend server announced.
#[derive(Clone, Debug)]
pub struct BackendPool(Arc<PoolState>);

/// What the clones of a [`BackendPool`] share.
#[derive(Debug)]
struct PoolState {
    /// The backend server.
    address: SocketAddr,
    /// A permit for each connection that may be open.
    permits: Arc<Semaphore>,
    /// Connections without a request, the latest used last. Never more than `idle_limit`: fresh
    /// connections of non-idempotent requests would pile up until there is room for no other.
    idle: Mutex<VecDeque<IdleConnection>>,
    /// Connections that are kept without a request at most.
    idle_limit: usize,
    /// Limits.
    limits: Arc<ProxyLimits>,
    /// Runs the connections.
    tasks: TaskGroup,
    /// Closes idle connections.
    sweep: IdleSweep,
}

/// A connection without a request.
#[derive(Debug)]
struct IdleConnection {
    /// Sends the next request.
    sender: SendRequest<HostBody>,
    /// Since when it has none.
    since: Instant,
}

/// A connection that is about to carry a request.
#[derive(Debug)]
pub struct BackendConnection {
    /// Sends the request.
    sender: SendRequest<HostBody>,
    /// Whether it carried a request before, so that the backend server may be closing it.
    is_reused: bool,
}

/// A request that got no answer.
#[derive(Debug)]
struct SendEnd {
    /// Why.
    error: BackendError,
    /// The request, when no byte of it was sent.
    unsent: Option<Request<HostBody>>,
}

impl BackendPool {
    /// A pool of at most `connections` connections to `address`, of which `idle_limit` are kept
    /// without a request.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        connections: u32,
        idle_limit: u32,
        limits: Arc<ProxyLimits>,
        tasks: TaskGroup,
    ) -> Self {
        Self(Arc::new(PoolState {
            address,
            permits: Arc::new(Semaphore::new(connections.max(1) as usize)),
            idle: Mutex::default(),
            idle_limit: idle_limit as usize,
            limits,
            tasks,
            sweep: IdleSweep::default(),
        }))
    }

    /// The backend server.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// A connection for a request.
    ///
    /// A kept-alive connection may be closing while the request is on its way, and then nobody
    /// knows whether it ran. So a non-idempotent request always gets a fresh one.
    ///
    /// # Errors
    ///
    /// When the backend server can't be reached; nothing was sent then.
    pub async fn checkout(&self, kind: Idempotency) -> Result<BackendConnection, BackendError> {
        let reused = match kind {
            Idempotency::Idempotent => self.take_idle(),
            Idempotency::NonIdempotent => None,
        };
        match reused {
            Some(sender) => Ok(BackendConnection {
                sender,
                is_reused: true,
            }),
            None => self.connect().await,
        }
    }

    /// Sends `request` on `connection` and waits for the head of the answer.
    ///
    /// Only idempotent requests get a kept-alive connection. When it closes instead of answering,
    /// a request that can be sent again is, on a fresh one.
    ///
    /// # Errors
    ///
    /// When the backend server is gone; [`BackendError::is_unsent`] tells whether it may have run.
    pub async fn send(
        &self,
        mut connection: BackendConnection,
        request: Request<HostBody>,
    ) -> Result<(Response<Incoming>, BackendConnection), BackendError> {
        if !connection.is_reused {
            let response = self.send_once(&mut connection, request).await;
            return response
                .map(|response| (response, connection))
                .map_err(|end| end.error);
        }
        let replay = replay(&request);
        let end = match self.send_once(&mut connection, request).await {
            Ok(response) => return Ok((response, connection)),
            Err(end) => end,
        };
        match (end.unsent, replay) {
            (Some(request), _) => self.send_fresh(request).await,
            // The first try may have run, so its error stands whatever becomes of the second.
            (None, Some(request)) => self.send_fresh(request).await.map_err(|_second| end.error),
            (None, None) => Err(end.error),
        }
    }

    /// Sends `request` on a fresh connection.
    async fn send_fresh(
        &self,
        request: Request<HostBody>,
    ) -> Result<(Response<Incoming>, BackendConnection), BackendError> {
        let mut connection = self.connect().await?;
        let response = self.send_once(&mut connection, request).await;
        response
            .map(|response| (response, connection))
            .map_err(|end| end.error)
    }

    /// Sends `request` and waits for the head of the answer.
    async fn send_once(
        &self,
        connection: &mut BackendConnection,
        request: Request<HostBody>,
    ) -> Result<Response<Incoming>, SendEnd> {
        let sent = connection.sender.try_send_request(request).await;
        sent.map_err(|mut failure| {
            let unsent = failure.take_message();
            let step = failed_step(unsent.is_some(), failure.error());
            let error = BackendError::new(step, self.0.address, failure.error());
            SendEnd { error, unsent }
        })
    }

    /// Takes back a connection whose answer was read to its end.
    pub fn check_in(&self, connection: BackendConnection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle();
        if idle.len() >= self.0.idle_limit {
            idle.pop_front();
        }
        idle.push_back(IdleConnection {
            sender: connection.sender,
            since: Instant::now(),
        });
        drop(idle);
        self.sweep_later();
    }

    /// The latest used connection that can take a request.
    fn take_idle(&self) -> Option<SendRequest<HostBody>> {
        let mut idle = self.idle();
        while let Some(connection) = idle.pop_back() {
            if connection.sender.is_ready() {
                return Some(connection.sender);
            }
        }
        None
    }

    /// Opens a connection, closing an idle one when the backend server takes no more.
    async fn connect(&self) -> Result<BackendConnection, BackendError> {
        let error =
            |detail: String| BackendError::new(BackendStep::Connect, self.0.address, &detail);
        let connecting = timeout(self.0.limits.connect_timeout, self.handshake());
        match connecting.await {
            Ok(Ok(sender)) => Ok(BackendConnection {
                sender,
                is_reused: false,
            }),
            Ok(Err(detail)) => Err(error(detail)),
            Err(elapsed) => Err(error(elapsed.to_string())),
        }
    }

    /// Opens a connection, however long it takes.
    async fn handshake(&self) -> Result<SendRequest<HostBody>, String> {
        let permit = self.permit().await;
        let socket = TcpStream::connect(self.0.address).await;
        let socket = socket.map_err(|error| error.to_string())?;
        set_socket_options(&socket, self.0.limits.body_idle).map_err(|error| error.to_string())?;
        let (sender, connection) = Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(socket))
            .await
            .map_err(|error| error.to_string())?;
        self.0.tasks.spawn(async move {
            // How it ended is told to the request that it carried.
            let _ = connection.await;
            drop(permit);
        });
        Ok(sender)
    }

    /// The right to open one more connection.
    async fn permit(&self) -> Option<OwnedSemaphorePermit> {
        let permits = &self.0.permits;
        if let Ok(permit) = Arc::clone(permits).try_acquire_owned() {
            return Some(permit);
        }
        drop(self.idle().pop_front());
        Arc::clone(permits).acquire_owned().await.ok()
    }

    /// Runs the task that closes idle connections, while there are any.
    fn sweep_later(&self) {
        let limit = self.0.limits.connection_idle;
        let pool = self.clone();
        let close_idle = move || pool.close_idle(limit);
        self.0.sweep.start(&self.0.tasks, limit, close_idle);
    }

    /// Closes what was not used for `limit`; tells whether nothing is left.
    fn close_idle(&self, limit: Duration) -> bool {
        let mut idle = self.idle();
        idle.retain(|connection| {
            !connection.sender.is_closed() && connection.since.elapsed() < limit
        });
        idle.is_empty()
    }

    /// The idle connections, locked.
    fn idle(&self) -> MutexGuard<'_, VecDeque<IdleConnection>> {
        self.0.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The step at which sending a request failed.
fn failed_step(is_unsent: bool, error: &hyper::Error) -> BackendStep {
    if is_unsent {
        return BackendStep::Send;
    }
    match error.source() {
        Some(cause) if cause.is::<BodyError>() => BackendStep::Body,
        _ => BackendStep::Receive,
    }
}

/// The same request once more, when its body can be read again.
fn replay(request: &Request<HostBody>) -> Option<Request<HostBody>> {
    let mut again = Request::new(request.body().replay()?);
    request.method().clone_into(again.method_mut());
    request.uri().clone_into(again.uri_mut());
    request.headers().clone_into(again.headers_mut());
    Some(again)
}
