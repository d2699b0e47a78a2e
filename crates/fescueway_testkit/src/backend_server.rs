//! The backend server stub: an HTTP/1.1 server with slots and service times.
//!
//! It serves `GET /load` as its load path, `GET …/download/N` with `N` bytes, and everything
//! else with a small body that echoes the request's `x-request-id`. A request with the header
//! `x-crash` makes it crash.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    task::AbortHandle,
    time::timeout,
};

use crate::{
    backend_plan::BackendPlan, backend_tally::BackendTally, backend_work::handle_request,
    loopback::unique_loopback,
};

/// The backend server stub. It stops when it is dropped.
#[derive(Debug)]
pub struct BackendStub {
    /// The listening address.
    address: SocketAddr,
    /// The state shared by its connections.
    state: Arc<BackendState>,
    /// The task that accepts connections.
    task: AbortHandle,
}

/// The state shared by the connections.
#[derive(Debug)]
pub(crate) struct BackendState {
    inner: Mutex<BackendInner>,
    /// One permit for each request that may run concurrently.
    pub(crate) slots: Semaphore,
    /// Becomes true when the backend server crashes.
    pub(crate) crashed: watch::Sender<bool>,
}

/// The state that the lock protects.
#[derive(Debug)]
pub(crate) struct BackendInner {
    pub(crate) plan: BackendPlan,
    pub(crate) tally: BackendTally,
    random: Pcg64Mcg,
}

impl Drop for BackendStub {
    fn drop(&mut self) {
        self.crash();
    }
}

impl BackendStub {
    /// Starts a backend server on a free loopback port.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn start(plan: BackendPlan) -> io::Result<Self> {
        Self::start_at(SocketAddr::from((unique_loopback(), 0)), plan).await
    }

    /// Starts a backend server at `address`.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn start_at(address: SocketAddr, plan: BackendPlan) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (crashed, _) = watch::channel(false);
        let slots = Semaphore::new(plan.slots as usize);
        let random = Pcg64Mcg::seed_from_u64(plan.seed);
        let inner = BackendInner {
            plan,
            tally: BackendTally::default(),
            random,
        };
        let state = Arc::new(BackendState {
            inner: Mutex::new(inner),
            slots,
            crashed,
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

    /// Changes its behavior from the next request on, except for the concurrency limit.
    pub fn change(&self, change: impl FnOnce(&mut BackendPlan)) {
        change(&mut self.state.lock().plan);
    }

    /// A copy of its counters.
    #[must_use]
    pub fn tally(&self) -> BackendTally {
        self.state.lock().tally.clone()
    }

    /// Stops listening and closes all connections at once.
    pub fn crash(&self) {
        self.state.crash();
        self.task.abort();
    }

    /// Whether it crashed.
    #[must_use]
    pub fn is_crashed(&self) -> bool {
        *self.state.crashed.borrow()
    }
}

impl BackendState {
    /// Locks the state, also when a panic in another thread poisoned the lock.
    pub(crate) fn lock(&self) -> MutexGuard<'_, BackendInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes all connections and serves no more.
    pub(crate) fn crash(&self) {
        self.crashed.send_replace(true);
    }
}

impl BackendInner {
    /// Samples the service time of the next request: log-normal around the median, times the slowdown.
    pub(crate) fn sample_service_time(&mut self) -> Duration {
        let normal = self.sample_normal();
        let factor = (normal * self.plan.spread).exp() * self.plan.slowdown;
        self.plan.service_time.mul_f64(factor)
    }

    /// Samples the standard normal distribution by the Box-Muller transform.
    fn sample_normal(&mut self) -> f64 {
        let first = self.sample_uniform();
        let second = self.sample_uniform();
        (-2.0 * first.ln()).sqrt() * (std::f64::consts::TAU * second).cos()
    }

    /// Samples the uniform distribution above 0 and up to 1.
    fn sample_uniform(&mut self) -> f64 {
        (f64::from(self.random.next_u32()) + 1.0) / (f64::from(u32::MAX) + 1.0)
    }
}

/// Accepts connections until the backend server crashes, then closes new ones for the exit time.
async fn serve(listener: TcpListener, state: Arc<BackendState>) {
    let mut crashed = state.crashed.subscribe();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    state.lock().tally.connections += 1;
                    tokio::spawn(serve_connection(stream, Arc::clone(&state)));
                }
            }
            _ = crashed.wait_for(|&is_crashed| is_crashed) => break,
        }
    }
    let exit_time = state.lock().plan.exit_time;
    let _ = timeout(exit_time, close_connections(listener)).await;
}

/// Accepts connections and closes them.
async fn close_connections(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        drop(stream);
    }
}

/// Serves one connection until it closes or the backend server crashes.
async fn serve_connection(stream: TcpStream, state: Arc<BackendState>) {
    // Nagle's algorithm would hold back small responses until the peer's acknowledgement.
    let _ = stream.set_nodelay(true);
    let mut crashed = state.crashed.subscribe();
    let shared = Arc::clone(&state);
    let request_count = AtomicU64::new(0);
    let service = service_fn(move |request| {
        let index = request_count.fetch_add(1, Ordering::Relaxed);
        handle_request(request, index, Arc::clone(&shared))
    });
    let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        result = serving => drop::<Result<(), hyper::Error>>(result),
        _ = crashed.wait_for(|&is_crashed| is_crashed) => {}
    }
}
