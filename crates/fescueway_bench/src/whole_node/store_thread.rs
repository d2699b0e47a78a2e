//! The store stand-in on a thread of its own, with its calls and bytes counted.

use std::{net::SocketAddr, sync::mpsc, thread};

use fescueway_testkit::StoreStub;
use tokio::{runtime::Builder, sync::oneshot};

use super::ByteCounter;

/// The store stand-in on a thread of its own, so that its work is not taken for that of the nodes.
#[derive(Debug)]
pub struct StoreThread {
    /// Where nodes reach it.
    address: SocketAddr,
    /// Where the operator reaches it, whose bytes are not counted.
    operator_address: SocketAddr,
    /// Counts the bytes of the nodes' connections.
    counter: ByteCounter,
    /// Asks for the number of its calls.
    questions: tokio::sync::mpsc::UnboundedSender<oneshot::Sender<u64>>,
}

impl StoreThread {
    /// Starts the store.
    ///
    /// # Panics
    ///
    /// When loopback has no free port.
    #[must_use]
    pub fn start() -> Self {
        let (questions, mut asked) = tokio::sync::mpsc::unbounded_channel();
        let (sender, started) = mpsc::channel();
        let counter = ByteCounter::default();
        let counting = counter.clone();
        thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(async move {
                let stub = StoreStub::start().await.expect("a port");
                let address = counting.start(stub.address()).await.expect("a port");
                let both = (address, stub.address());
                sender.send(both).expect("the starter waits");
                while let Some(question) = asked.recv().await {
                    let question: oneshot::Sender<u64> = question;
                    // Who no longer waits needs no answer.
                    let _ = question.send(stub.tally().total());
                }
            });
        });
        let (address, operator_address) = started.recv().expect("the store starts");
        Self {
            address,
            operator_address,
            counter,
            questions,
        }
    }

    /// Where nodes reach it.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where the operator reaches it.
    #[must_use]
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Bytes of the nodes' connections so far, both ways.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.counter.bytes()
    }

    /// Calls so far, each watch as one.
    ///
    /// # Panics
    ///
    /// When the store ended.
    #[must_use]
    pub fn calls(&self) -> u64 {
        let (sender, receiver) = oneshot::channel();
        self.questions.send(sender).expect("the store runs");
        receiver.blocking_recv().expect("the store answers")
    }
}
