//! Connection pool of one backend server, limited to the number of connections it announced.

use std::{
    collections::VecDeque,
    error::Error,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use fescueway_core::{Idempotency, RequestTerms};
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

use super::{BackendError, BackendStep, informational_limit::InformationalLimit};
use crate::{
    body::{BodyError, HostBody},
    final_status::final_status,
    idle_sweep::IdleSweep,
    proxy_limits::ProxyLimits,
    socket_options::set_socket_options,
    task_group::TaskGroup,
};

/// Largest read buffer of a connection to a backend server, in bytes.
const READ_BUFFER_BYTES: usize = 64 * 1_024;

/// Connection pool of one backend server. Cheap to clone.
///
/// Invariant: never more connections are open than the backend server announced.
#[derive(Clone, Debug)]
pub struct BackendPool(Arc<PoolState>);

/// State shared by the clones of a [`BackendPool`].
#[derive(Debug)]
struct PoolState {
    /// Address of the backend server.
    address: SocketAddr,
    /// One permit for each connection that may be open.
    permits: Arc<Semaphore>,
    /// Idle connections, the most recently used last, at most `idle_limit`. Without that limit
    /// the new connections of non-idempotent requests would accumulate and use up all permits.
    idle: Mutex<VecDeque<IdleConnection>>,
    /// Largest number of idle connections.
    idle_limit: usize,
    /// Timeouts of the connections.
    limits: Arc<ProxyLimits>,
    /// Runs the connection tasks.
    tasks: TaskGroup,
    /// Closes idle connections.
    sweep: IdleSweep,
}

/// Connection without a request in flight.
#[derive(Debug)]
struct IdleConnection {
    /// Sends the next request.
    sender: SendRequest<HostBody>,
    /// Limits the informational answers.
    informational: InformationalLimit,
    /// Time at which it became idle.
    since: Instant,
}

/// Connection reserved for one request.
#[derive(Debug)]
pub struct BackendConnection {
    /// Sends the request.
    sender: SendRequest<HostBody>,
    /// Limits the informational answers.
    informational: InformationalLimit,
    /// Whether it is a keep-alive connection, which the backend server may be closing.
    is_reused: bool,
}

/// Failure to get a response to a request.
#[derive(Debug)]
struct SendFailure {
    /// Cause of the failure.
    error: BackendError,
    /// The request, if no byte of it was sent.
    unsent: Option<Request<HostBody>>,
}

impl BackendPool {
    /// Creates a pool of at most `connections` connections to `address`, of which at most
    /// `idle_limit` are idle.
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

    /// Address of the backend server.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Reserves a connection for a request.
    ///
    /// The backend server may close a keep-alive connection while a request is being sent on it,
    /// and then it is unknown whether the request ran. A non-idempotent request therefore always
    /// gets a new connection, and so does one whose answer was lost before.
    ///
    /// # Errors
    ///
    /// If the backend server can't be reached. Nothing was sent in this case.
    pub async fn checkout(&self, terms: &RequestTerms) -> Result<BackendConnection, BackendError> {
        let may_reuse = terms.idempotency == Idempotency::Idempotent && terms.lost_runs == 0;
        let reused = may_reuse.then(|| self.take_idle()).flatten();
        match reused {
            Some(idle) => Ok(BackendConnection {
                sender: idle.sender,
                informational: idle.informational,
                is_reused: true,
            }),
            None => self.connect().await,
        }
    }

    /// Sends `request` on `connection` and waits for the head of the response.
    ///
    /// If a keep-alive connection closed before any byte was sent, the request is sent on a new
    /// connection. A request that may have run is never repeated here: that is up to its entry, which
    /// asks the retry budget and the gate again.
    ///
    /// # Errors
    ///
    /// If no response with the status of a final one arrives. [`BackendError::is_unsent`] tells whether the request may have run.
    pub async fn send(
        &self,
        mut connection: BackendConnection,
        request: Request<HostBody>,
    ) -> Result<(Response<Incoming>, BackendConnection), BackendError> {
        match self.send_once(&mut connection, request).await {
            Ok(response) => Ok((response, connection)),
            Err(SendFailure {
                unsent: Some(request),
                ..
            }) if connection.is_reused => self.send_fresh(request).await,
            Err(failure) => Err(failure.error),
        }
    }

    /// Sends `request` on a new connection.
    async fn send_fresh(
        &self,
        request: Request<HostBody>,
    ) -> Result<(Response<Incoming>, BackendConnection), BackendError> {
        let mut connection = self.connect().await?;
        let response = self.send_once(&mut connection, request).await;
        response
            .map(|response| (response, connection))
            .map_err(|failure| failure.error)
    }

    /// Sends `request` once and waits for the head of the response.
    async fn send_once(
        &self,
        connection: &mut BackendConnection,
        mut request: Request<HostBody>,
    ) -> Result<Response<Incoming>, SendFailure> {
        connection.informational.observe(&mut request);
        let sending = connection.sender.try_send_request(request);
        let sent = tokio::select! {
            sent = sending => Some(sent),
            () = connection.informational.exceeded() => None,
        };
        let Some(sent) = sent.filter(|_| !connection.informational.is_exceeded()) else {
            return Err(self.invalid(&"too many informational answers"));
        };
        let response = sent.map_err(|mut failure| {
            let unsent = failure.take_message();
            let step = failed_step(unsent.is_some(), failure.error());
            let error = BackendError::new(step, self.0.address, failure.error());
            SendFailure { error, unsent }
        })?;
        let status = response.status().as_u16();
        if final_status(status).is_none() {
            return Err(self.invalid(&format!("the status {status} is none of a final answer")));
        }
        Ok(response)
    }

    /// The failure of a response that is not valid, to a request that may have run.
    fn invalid(&self, detail: &impl ToString) -> SendFailure {
        let error = BackendError::new(BackendStep::Receive, self.0.address, detail);
        SendFailure {
            error,
            unsent: None,
        }
    }

    /// Returns a connection whose response was read to its end.
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
            informational: connection.informational,
            since: Instant::now(),
        });
        drop(idle);
        self.start_sweep();
    }

    /// Takes the most recently used idle connection that is ready for a request.
    fn take_idle(&self) -> Option<IdleConnection> {
        let mut idle = self.idle();
        while let Some(connection) = idle.pop_back() {
            if connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Opens a connection within the connect timeout.
    async fn connect(&self) -> Result<BackendConnection, BackendError> {
        let error =
            |detail: String| BackendError::new(BackendStep::Connect, self.0.address, &detail);
        let connecting = timeout(self.0.limits.connect_timeout, self.handshake());
        match connecting.await {
            Ok(Ok(sender)) => Ok(BackendConnection {
                sender,
                informational: InformationalLimit::default(),
                is_reused: false,
            }),
            Ok(Err(detail)) => Err(error(detail)),
            Err(elapsed) => Err(error(elapsed.to_string())),
        }
    }

    /// Opens a connection, without a timeout.
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
            // An error of the connection is reported to the request that it carries.
            let _ = connection.await;
            drop(permit);
        });
        Ok(sender)
    }

    /// Waits for the permit to open one more connection. Closes the least recently used idle
    /// connection if no permit is free.
    async fn permit(&self) -> Option<OwnedSemaphorePermit> {
        let permits = &self.0.permits;
        if let Ok(permit) = Arc::clone(permits).try_acquire_owned() {
            return Some(permit);
        }
        drop(self.idle().pop_front());
        Arc::clone(permits).acquire_owned().await.ok()
    }

    /// Starts the task that closes idle connections. It runs while there are any.
    fn start_sweep(&self) {
        let limit = self.0.limits.connection_idle;
        let pool = self.clone();
        let close_idle = move || pool.close_idle(limit);
        self.0.sweep.start(&self.0.tasks, limit, close_idle);
    }

    /// Closes connections that have been idle for `limit`. Returns whether none is left.
    fn close_idle(&self, limit: Duration) -> bool {
        let mut idle = self.idle();
        idle.retain(|connection| {
            !connection.sender.is_closed() && connection.since.elapsed() < limit
        });
        idle.is_empty()
    }

    /// Locks the idle connections.
    fn idle(&self) -> MutexGuard<'_, VecDeque<IdleConnection>> {
        self.0.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Determines the step at which sending a request failed.
fn failed_step(is_unsent: bool, error: &hyper::Error) -> BackendStep {
    if is_unsent {
        return BackendStep::Send;
    }
    match error.source() {
        Some(cause) if cause.is::<BodyError>() => BackendStep::Body,
        _ => BackendStep::Receive,
    }
}
