//! Stand-in for the clients of a machine.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::Duration,
};

use crate::{http::call, record::Record};

/// Time beyond its limit after which a client closes its connection.
const GRACE: Duration = Duration::from_millis(100);

/// Sends requests, each on a new connection. Cheap to clone.
#[derive(Clone)]
pub struct Client {
    pub address: SocketAddr,
    pub host: &'static str,
    pub record: Record,
    /// Number of the next request of the script.
    pub numbers: Arc<AtomicU64>,
}

impl Client {
    /// Sends a GET and waits for its answer. Returns the status, `None` without a whole answer.
    pub fn get(&self, path: &str, limit_ms: u64) -> Option<u16> {
        self.send("GET", path, b"", limit_ms)
    }

    /// Sends a request and waits for its answer. Returns the status, `None` without a whole answer.
    pub fn send(&self, method: &str, path: &str, body: &[u8], limit_ms: u64) -> Option<u16> {
        let number = self.numbers.fetch_add(1, Ordering::SeqCst);
        let id = format!("{:016x}", 0x9c41_d07b_0000_0000 + number);
        let limit = limit_ms.to_string();
        let fields = [
            ("Host", self.host),
            ("X-Fescueway-Attempt-Id", id.as_str()),
            ("X-Fescueway-Deadline-Ms", &limit),
        ];
        self.record
            .line(&format!("client sends {id} {method} {path}"));
        let start = format!("{method} {path} HTTP/1.1");
        let time = Duration::from_millis(limit_ms) + GRACE;
        let answer = call(self.address, &start, &fields, body, time).ok();
        let status = answer.map(|answer| answer.status());
        self.record.line(&match status {
            Some(status) => format!("client gets {status} for {id}"),
            None => format!("client gets no answer for {id}"),
        });
        status
    }
}
