//! Accepts connections up to a limit.

use std::{
    io::Result as IoResult,
    net::{SocketAddr, TcpListener as StdTcpListener},
    sync::Arc,
    time::Duration,
};

use fescueway_telemetry::{SourceRateLimit, events::path};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::sleep,
};
use tokio_util::sync::CancellationToken;

use crate::{mono_clock::MonoClock, task_group::TaskGroup};

/// Delay after a failed accept: a shortage, for example of file descriptors, lasts for a while.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections of one listener up to a limit.
#[derive(Clone, Debug)]
pub struct AcceptLoop {
    /// Name of the listener in events.
    pub name: &'static str,
    /// Maximum number of open connections. At least one.
    pub limit: usize,
    /// Ends the loop when cancelled, after the connections that wait already were accepted. Open
    /// connections continue.
    pub closing: CancellationToken,
}

impl AcceptLoop {
    /// Accepts connections of `listener` and spawns `serve` for each of them in `tasks`.
    pub async fn run<F>(
        self,
        tasks: &TaskGroup,
        listener: TcpListener,
        serve: impl Fn(TcpStream, SocketAddr) -> F,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        let permits = Arc::new(Semaphore::new(self.limit));
        let failures = SourceRateLimit::new(&path::ACCEPT_FAILED);
        let clock = MonoClock::start();
        let spawn = |permit, socket, peer| {
            let serving = serve(socket, peer);
            tasks.spawn(async move {
                serving.await;
                drop(permit);
            });
        };
        loop {
            let accepting = async {
                let permit = Arc::clone(&permits).acquire_owned().await;
                (permit, listener.accept().await)
            };
            let (permit, accepted) = tokio::select! {
                biased;
                () = self.closing.cancelled() => break,
                accepted = accepting => accepted,
            };
            match accepted {
                Ok((socket, peer)) => spawn(permit, socket, peer),
                Err(error) => {
                    failures.emit(clock.now(), self.name, &[&self.name, &error]);
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        // Closing the listener resets the connections that wait to be accepted, with the requests that
        // their callers have sent.
        let Ok(listener) = listener.into_std() else {
            return;
        };
        while let Ok(permit) = Arc::clone(&permits).try_acquire_owned()
            && let Ok((socket, peer)) = accept_waiting(&listener)
        {
            spawn(Ok(permit), socket, peer);
        }
    }
}

/// Accepts a connection that waits already. A listener without one fails.
fn accept_waiting(listener: &StdTcpListener) -> IoResult<(TcpStream, SocketAddr)> {
    let (socket, peer) = listener.accept()?;
    socket.set_nonblocking(true)?;
    Ok((TcpStream::from_std(socket)?, peer))
}
