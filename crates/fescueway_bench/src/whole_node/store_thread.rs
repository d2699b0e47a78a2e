//! Test store on a dedicated thread, with its calls and bytes counted.

use std::{net::SocketAddr, sync::mpsc, thread};

use fescueway_testkit::StoreStub;
use tokio::{runtime::Builder, sync::oneshot};

use super::CountingProxy;

/// Test store on a dedicated thread, so that its CPU time is not counted as the nodes'.
#[derive(Debug)]
pub struct StoreThread {
    /// Address for the nodes.
    address: SocketAddr,
    /// Address for the operator, whose bytes are not counted.
    operator_address: SocketAddr,
    /// Proxy that counts the bytes of the nodes' connections.
    proxy: CountingProxy,
    /// Requests the number of calls.
    call_count_requests: tokio::sync::mpsc::UnboundedSender<oneshot::Sender<u64>>,
}

impl StoreThread {
    /// Starts the store.
    ///
    /// # Panics
    ///
    /// Panics if loopback has no free port.
    #[must_use]
    pub fn start() -> Self {
        let (call_count_requests, mut requests) = tokio::sync::mpsc::unbounded_channel();
        let (sender, started) = mpsc::channel();
        let proxy = CountingProxy::default();
        let thread_proxy = proxy.clone();
        thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(async move {
                let stub = StoreStub::start().await.expect("a port");
                let address = thread_proxy.start(stub.address()).await.expect("a port");
                let addresses = (address, stub.address());
                sender.send(addresses).expect("the starter waits");
                while let Some(reply_to) = requests.recv().await {
                    let reply_to: oneshot::Sender<u64> = reply_to;
                    // The requester may have stopped waiting.
                    let _ = reply_to.send(stub.tally().total());
                }
            });
        });
        let (address, operator_address) = started.recv().expect("the store starts");
        Self {
            address,
            operator_address,
            proxy,
            call_count_requests,
        }
    }

    /// Returns the address for the nodes.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address for the operator.
    #[must_use]
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Returns the bytes of the nodes' connections so far, both ways.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.proxy.bytes()
    }

    /// Returns the calls so far; each watch counts as one.
    ///
    /// # Panics
    ///
    /// Panics if the store has ended.
    #[must_use]
    pub fn calls(&self) -> u64 {
        let (sender, receiver) = oneshot::channel();
        self.call_count_requests
            .send(sender)
            .expect("the store runs");
        receiver.blocking_recv().expect("the store answers")
    }
}
