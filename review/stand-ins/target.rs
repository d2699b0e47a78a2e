//! Stand-in for a target beside a node: serves requests, and reports to its node.

use std::{
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{call, head_text, read_message, write_message, Message},
    record::Record,
};

const SLOTS: u32 = 9;
const BEAT_PERIOD: Duration = Duration::from_millis(1_500);
/// Pieces in which a slow body is sent.
const PIECES: u64 = 10;

const STEP: Duration = Duration::from_millis(10);

/// What becomes of a request that the target has run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    Answer,
    /// The connection closes without an answer.
    CloseConnection,
}

/// One request that reached the target and wasn't rejected.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub id: String,
    pub path: String,
}

type Policy = dyn Fn(&Target, &Message) -> Ending + Send + Sync;

/// A target. Cheap to clone.
#[derive(Clone)]
pub struct Target(Arc<State>);

struct State {
    service: &'static str,
    zone: &'static str,
    address: SocketAddr,
    node: SocketAddr,
    record: Record,
    policy: Box<Policy>,
    boot: Mutex<Boot>,
    /// Counts the boots, so that threads of an earlier one end.
    serial: AtomicU64,
    is_draining: AtomicBool,
    running: AtomicU32,
    sequence: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    /// Connections with a lower number are silent: nothing passes on them in either direction.
    silent_below: AtomicU64,
    last_connection: AtomicU64,
    arrivals: Mutex<Vec<Arrival>>,
}

#[derive(Clone, Debug)]
struct Boot {
    id: String,
    born_ms: u64,
}

impl Target {
    /// Creates a target that isn't started yet.
    pub fn new(
        service: &'static str,
        zone: &'static str,
        address: SocketAddr,
        node: SocketAddr,
        record: &Record,
        policy: impl Fn(&Target, &Message) -> Ending + Send + Sync + 'static,
    ) -> Self {
        Self(Arc::new(State {
            service,
            zone,
            address,
            node,
            record: record.clone(),
            policy: Box::new(policy),
            boot: Mutex::new(Boot {
                id: String::new(),
                born_ms: 0,
            }),
            serial: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            running: AtomicU32::new(0),
            sequence: AtomicU64::new(0),
            connections: Mutex::default(),
            silent_below: AtomicU64::new(0),
            last_connection: AtomicU64::new(0),
            arrivals: Mutex::default(),
        }))
    }

    pub fn id(&self) -> String {
        self.boot().id
    }

    /// Starts a new boot: listens, and reports from now on.
    pub fn start(&self, id: &str, born_ms: u64) {
        let state = &self.0;
        *state.boot.lock().expect("no panic while it is held") = Boot {
            id: id.to_owned(),
            born_ms,
        };
        let serial = state.serial.fetch_add(1, Ordering::SeqCst) + 1;
        state.is_draining.store(false, Ordering::SeqCst);
        state.sequence.store(0, Ordering::SeqCst);
        state.running.store(0, Ordering::SeqCst);
        let listener = TcpListener::bind(state.address).expect("a free port");
        listener.set_nonblocking(true).expect("a socket");
        state
            .record
            .line(&format!("target {id} starts, born {born_ms}"));
        let target = self.clone();
        thread::spawn(move || target.accept(&listener, serial));
        let target = self.clone();
        thread::spawn(move || target.beat(serial));
    }

    /// Ends without a word: all connections close.
    pub fn crash(&self) {
        let state = &self.0;
        state.record.line(&format!("target {} crashes", self.id()));
        state.serial.fetch_add(1, Ordering::SeqCst);
        let mut connections = state.connections.lock().expect("no panic while it is held");
        for connection in connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// All open connections go silent for good, without a reset. New ones work.
    pub fn silence_connections(&self) {
        let state = &self.0;
        let next = state.last_connection.load(Ordering::SeqCst) + 1;
        state.silent_below.store(next, Ordering::SeqCst);
        let text = format!("the connections of target {} go silent", self.id());
        state.record.line(&text);
    }

    /// Reports that it is leaving. Returns the time of the acknowledgement.
    pub fn drain(&self) -> Option<f64> {
        self.0.is_draining.store(true, Ordering::SeqCst);
        let is_acked = self.report();
        let acked = format!(
            "target {} reports draining, acknowledged: {is_acked}",
            self.id()
        );
        let at = self.0.record.line(&acked);
        is_acked.then_some(at)
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        let arrivals = self.0.arrivals.lock();
        arrivals.expect("no panic while it is held").clone()
    }

    fn boot(&self) -> Boot {
        let boot = self.0.boot.lock();
        boot.expect("no panic while it is held").clone()
    }

    fn is_over(&self, serial: u64) -> bool {
        self.0.serial.load(Ordering::SeqCst) != serial
    }

    fn beat(&self, serial: u64) {
        while !self.is_over(serial) {
            self.report();
            let end = Instant::now() + BEAT_PERIOD;
            while Instant::now() < end && !self.is_over(serial) {
                thread::sleep(STEP);
            }
        }
    }

    /// Sends one liveness report. Returns whether it was acknowledged.
    fn report(&self) -> bool {
        let state = &self.0;
        let Boot { id, born_ms } = self.boot();
        let is_draining = state.is_draining.load(Ordering::SeqCst);
        let word = if is_draining { "draining" } else { "ready" };
        let sequence = state.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let (service, zone, address) = (state.service, state.zone, state.address);
        let body = format!(
            r#"{{"Address":"{address}","NodeInfo":{{"Service":"{service}","Version":"v1","Zone":"{zone}","MaxConcurrency":{SLOTS}}},"Status":{{"State":"{word}","Sequence":{sequence},"WarmupLeftMs":0}},"born":{born_ms}}}"#
        );
        let start = format!("PUT /v1/instances/{id} HTTP/1.1");
        let host = state.node.to_string();
        let fields = [
            ("Host", host.as_str()),
            ("Content-Type", "application/json"),
        ];
        let limit = Duration::from_secs(1);
        let answer = call(state.node, &start, &fields, body.as_bytes(), limit);
        answer.is_ok_and(|answer| (200..300).contains(&answer.status()))
    }

    fn accept(&self, listener: &TcpListener, serial: u64) {
        while !self.is_over(serial) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            if stream.set_nonblocking(false).is_err() || stream.set_nodelay(true).is_err() {
                continue;
            }
            if let Ok(copy) = stream.try_clone() {
                let connections = self.0.connections.lock();
                connections.expect("no panic while it is held").push(copy);
            }
            let target = self.clone();
            thread::spawn(move || target.serve(stream, serial));
        }
    }

    fn serve(&self, mut stream: TcpStream, serial: u64) {
        let number = self.0.last_connection.fetch_add(1, Ordering::SeqCst) + 1;
        while let Ok(Some(request)) = read_message(&mut stream) {
            self.wait_while_silent(number, serial);
            if self.is_over(serial) || !self.answer(&mut stream, &request, serial, number) {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Answers one request. Returns whether the connection stays open.
    fn answer(&self, stream: &mut TcpStream, request: &Message, serial: u64, number: u64) -> bool {
        let state = &self.0;
        let boot_id = self.id();
        let running = state.running.load(Ordering::SeqCst);
        let load = format!("{running},0,{SLOTS},100");
        if request.target() == "/health" {
            let is_draining = state.is_draining.load(Ordering::SeqCst);
            let status = if is_draining { 503 } else { 200 };
            let fields = [
                ("X-Fescueway-Instance-Id", boot_id.as_str()),
                ("X-Fescueway-Server-Load", &load),
            ];
            return write_message(stream, &format!("HTTP/1.1 {status} Health"), &fields, b"")
                .is_ok();
        }
        let id = request.field("x-fescueway-attempt-id").to_owned();
        let expected = request.field("x-fescueway-expect-instance");
        let is_full = running >= SLOTS;
        if (!expected.is_empty() && expected != boot_id) || is_full {
            let status = if is_full { 503 } else { 421 };
            let fields = [
                ("X-Fescueway-Attempt-Id", id.as_str()),
                ("X-Fescueway-Instance-Id", &boot_id),
                ("X-Fescueway-Not-Executed", "1"),
            ];
            state
                .record
                .line(&format!("target {boot_id} rejects {id} with {status}"));
            return write_message(stream, &format!("HTTP/1.1 {status} Rejected"), &fields, b"")
                .is_ok();
        }
        let path = request.target().to_owned();
        let at = state
            .record
            .line(&format!("target {boot_id} runs {id} {}", request.start));
        let arrival = Arrival {
            at,
            id: id.clone(),
            path: path.clone(),
        };
        state
            .arrivals
            .lock()
            .expect("no panic while it is held")
            .push(arrival);
        state.running.fetch_add(1, Ordering::SeqCst);
        let deadline_ms = request.field("x-fescueway-deadline-ms").parse();
        let is_in_time = self.work(stream, &path, deadline_ms.unwrap_or(u64::MAX), serial);
        if !self.is_over(serial) {
            state.running.fetch_sub(1, Ordering::SeqCst);
        }
        let Some(is_in_time) = is_in_time else {
            state.record.line(&format!(
                "target {boot_id} drops {id}: its connection closed"
            ));
            return false;
        };
        let ending = (state.policy)(self, request);
        state
            .record
            .line(&format!("target {boot_id} ends {id}: {ending:?}"));
        match ending {
            Ending::Answer => {}
            Ending::CloseConnection => return false,
        }
        let status = if is_in_time { 200 } else { 504 };
        let seal = format!("seal-{boot_id}-{id}");
        let fields = [
            ("X-Fescueway-Attempt-Id", id.as_str()),
            ("X-Fescueway-Response-Seal", &seal),
            ("X-Fescueway-Server-Load", &load),
        ];
        let body = format!("the answer to {id}\n").repeat(PIECES as usize);
        let start = format!("HTTP/1.1 {status} Ran");
        let stream_ms: u64 = path_number(&path, 's').unwrap_or(0);
        if stream_ms == 0 {
            self.wait_while_silent(number, serial);
            return write_message(stream, &start, &fields, body.as_bytes()).is_ok();
        }
        let head = head_text(&start, &fields, body.len());
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for piece in body.as_bytes().chunks(body.len() / PIECES as usize) {
            thread::sleep(Duration::from_millis(stream_ms / PIECES));
            self.wait_while_silent(number, serial);
            if stream.write_all(piece).is_err() {
                return false;
            }
        }
        true
    }

    /// Returns once the connection isn't silent, which is when this boot of the target is over.
    fn wait_while_silent(&self, number: u64, serial: u64) {
        while number < self.0.silent_below.load(Ordering::SeqCst) && !self.is_over(serial) {
            thread::sleep(STEP);
        }
    }

    /// Works as long as the path says (`/w160/` is 160 ms), at most until the time limit. Returns
    /// whether it was in time, `None` if the connection closed or the target ended.
    fn work(&self, stream: &TcpStream, path: &str, limit_ms: u64, serial: u64) -> Option<bool> {
        let work_ms = path_number(path, 'w').unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(work_ms.min(limit_ms));
        while Instant::now() < end {
            if self.is_over(serial) || is_closed(stream) {
                return None;
            }
            let left = end.saturating_duration_since(Instant::now());
            thread::sleep(left.min(STEP));
        }
        Some(work_ms <= limit_ms)
    }
}

/// The number in a path after `/` and a letter.
fn path_number(path: &str, letter: char) -> Option<u64> {
    let mut parts = path.split('/').filter_map(|part| part.strip_prefix(letter));
    parts.find_map(|part| part.parse().ok())
}

/// Whether the other side has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut byte);
    let is_reset = stream.set_nonblocking(false).is_err();
    match peeked {
        Ok(0) => true,
        Ok(_) => is_reset,
        Err(error) => is_reset || error.kind() != std::io::ErrorKind::WouldBlock,
    }
}
