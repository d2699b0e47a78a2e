//! The backend server stand-in: an HTTP/1.1 server with slots and service times.
//!
//! It answers `GET /load` as its load path, `GET …/download/N` with `N` bytes, and everything
//! else with a small body that repeats the request's `x-request-id`. A request with the header
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
    backend_plan::BackendPlan, backend_tally::BackendTally, backend_work::answer,
    loopback::unique_loopback,
};

/// The backend server stand-in. It ends when it is dropped.
#[derive(Debug)]
pub struct BackendStub {
    /// Where it listens.
    address: SocketAddr,
    /// What its connections share.
    state: Arc<BackendState>,
    /// Takes connections.
    task: AbortHandle,
}

/// What the connections share.
#[derive(Debug)]
pub(crate) struct BackendState {
    inner: Mutex<BackendInner>,
    /// A permit for each request that may run.
    pub(crate) slots: Semaphore,
    /// Turns true when the backend server crashes.
    pub(crate) crashed: watch::Sender<bool>,
}

/// The state behind the lock.
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

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how it behaves from the next request on. The number of slots stays.
    pub fn change(&self, change: impl FnOnce(&mut BackendPlan)) {
        change(&mut self.state.lock().plan);
    }

    /// What it counted.
    #[must_use]
    pub fn tally(&self) -> BackendTally {
        self.state.lock().tally.clone()
    }

    /// Stops listening and cuts all connections at once.
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
    /// The state, also after a panic elsewhere.
    pub(crate) fn lock(&self) -> MutexGuard<'_, BackendInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Cuts all connections and takes no more.
    pub(crate) fn crash(&self) {
        self.crashed.send_replace(true);
    }
}

impl BackendInner {
    /// The service time of the next request: log-normal about the median, times the slowdown.
    pub(crate) fn draw_service_time(&mut self) -> Duration {
        let normal = self.draw_normal();
        let factor = (normal * self.plan.spread).exp() * self.plan.slowdown;
        self.plan.service_time.mul_f64(factor)
    }

    /// A standard normal number, by the Box-Muller transform.
    fn draw_normal(&mut self) -> f64 {
        let first = self.draw_uniform();
        let second = self.draw_uniform();
        (-2.0 * first.ln()).sqrt() * (std::f64::consts::TAU * second).cos()
    }

    /// A number above 0 and at most 1.
    fn draw_uniform(&mut self) -> f64 {
        (f64::from(self.random.next_u32()) + 1.0) / (f64::from(u32::MAX) + 1.0)
    }
}

/// Takes connections until the backend server crashes.
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
    let _ = timeout(exit_time, cut_connections(listener)).await;
}

/// Takes connections and cuts them.
async fn cut_connections(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        drop(stream);
    }
}

/// Serves one connection until it ends or the backend server crashes.
async fn serve_connection(stream: TcpStream, state: Arc<BackendState>) {
    // Without this, small answers wait for the peer's acknowledgement.
    let _ = stream.set_nodelay(true);
    let mut crashed = state.crashed.subscribe();
    let shared = Arc::clone(&state);
    let answered = AtomicU64::new(0);
    let service = service_fn(move |request| {
        let position = answered.fetch_add(1, Ordering::Relaxed);
        answer(request, position, Arc::clone(&shared))
    });
    let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        result = serving => drop::<Result<(), hyper::Error>>(result),
        _ = crashed.wait_for(|&is_crashed| is_crashed) => {}
    }
}
