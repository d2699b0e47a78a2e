//! Stand-in for the platform's store: keys, leases and watches.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{read_message, write_message, Message};

struct Item {
    /// In base64.
    value: String,
    revision: u64,
    lease: u64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revisions and events, as JSON, of all keys.
    history: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

/// The store. Cheap to clone.
#[derive(Clone)]
pub struct Store {
    data: Arc<(Mutex<Data>, Condvar)>,
}

impl Store {
    /// Starts the store at `address`.
    pub fn start(address: SocketAddr) -> Self {
        let store = Self {
            data: Arc::default(),
        };
        let listener = TcpListener::bind(address).expect("a free port");
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        store
    }

    /// Writes a key like the operator, without a lease.
    pub fn write(&self, key: &str, value: &str) {
        let mut data = self.data.0.lock().expect("no panic while it is held");
        data.put(key, base64(value.as_bytes()), 0);
        self.data.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Ok(Some(request)) = read_message(&mut stream) {
            let (status, body) = self.answer(&request);
            let start = format!("HTTP/1.1 {status} Status");
            let fields = [("Content-Type", "application/json")];
            if write_message(&mut stream, &start, &fields, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(known, _)| *known == name);
            found.map_or_else(String::new, |(_, value)| percent_decoded(value))
        };
        if path == "/v1/kv-watch" {
            let after = value("after").parse().unwrap_or(0);
            let wait = Duration::from_millis(value("WaitMs").parse().unwrap_or(0));
            return (200, self.watch(&value("Prefix"), after, wait));
        }
        let mut data = self.data.0.lock().expect("no panic while it is held");
        data.expire();
        let answer = match (request.method(), path) {
            ("GET", "/v1/kv-key") => data.key(&value("Key")),
            ("GET", "/v1/kv-range") => (200, data.range(&value("Prefix"), &value("after"))),
            ("POST", "/v1/kv-txn") => data.commit(&String::from_utf8_lossy(&request.body)),
            ("POST", "/v1/kv-lease") => data.grant(&String::from_utf8_lossy(&request.body)),
            ("POST", path) if path.starts_with("/v1/kv-keep/") => data.renew(path),
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => data.end(path),
            _ => (404, "{}".to_owned()),
        };
        self.data.1.notify_all();
        answer
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut data = self.data.0.lock().expect("no panic while it is held");
        loop {
            data.expire();
            let is_new = |entry: &&(u64, String, String)| entry.0 > after;
            let new = data.history.iter().filter(is_new);
            let new = new.filter(|(_, key, _)| key.starts_with(prefix));
            let events: Vec<_> = new.map(|(_, _, event)| event.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = data.revision.max(after);
                return format!(r#"{{"events":[{}],"At":{at}}}"#, events.join(","));
            }
            let step = left.min(Duration::from_millis(200));
            let waited = self.data.1.wait_timeout(data, step);
            data = waited.expect("no panic while it is held").0;
        }
    }
}

impl Data {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let item = Item {
            value,
            revision,
            lease,
        };
        self.history
            .push((revision, key.to_owned(), json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let ended: Vec<_> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.remove_lease(lease);
        }
    }

    fn remove_lease(&mut self, lease: u64) -> bool {
        let bound = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<_> = bound.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.items.remove(&key);
            self.revision += 1;
            let revision = self.revision;
            let event = format!(r#"{{"Key":"{key}","Revision":{revision},"Deleted":true}}"#);
            self.history.push((revision, key, event));
        }
        self.leases.remove(&lease).is_some()
    }

    fn key(&self, key: &str) -> (u16, String) {
        let at = self.revision;
        match self.items.get(key) {
            Some(item) => {
                let text = json(key, item);
                (200, format!(r#"{},"At":{at}}}"#, &text[..text.len() - 1]))
            }
            None => (404, format!(r#"{{"At":{at}}}"#)),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let items = self.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<_> = items.map(|(key, item)| json(key, item)).collect();
        let at = self.revision;
        format!(
            r#"{{"items":[{}],"HasMore":false,"At":{at}}}"#,
            items.join(",")
        )
    }

    /// Nodes write their addresses without a condition, one key a transaction.
    fn commit(&mut self, body: &str) -> (u16, String) {
        let writes = body.split("\"Writes\"").nth(1).unwrap_or_default();
        let key = text_after(writes, "\"Key\":\"");
        let value = text_after(writes, "\"Value\":\"");
        let lease = number_after(writes, "\"LeaseId\":");
        if lease != 0 && !self.leases.contains_key(&lease) {
            return (404, "{}".to_owned());
        }
        self.put(&key, value, lease);
        (200, format!(r#"{{"Revision":{}}}"#, self.revision))
    }

    fn grant(&mut self, body: &str) -> (u16, String) {
        let ttl_ms = number_after(body, "\"TtlMs\":").clamp(1_000, 600_000);
        let ttl = Duration::from_millis(ttl_ms);
        self.last_lease += 1;
        let lease = self.last_lease;
        self.leases.insert(lease, (ttl, Instant::now() + ttl));
        (200, format!(r#"{{"LeaseId":{lease},"TtlMs":{ttl_ms}}}"#))
    }

    fn renew(&mut self, path: &str) -> (u16, String) {
        match self.leases.get_mut(&last_number(path)) {
            Some((ttl, end)) => {
                *end = Instant::now() + *ttl;
                (200, format!(r#"{{"TtlMs":{}}}"#, ttl.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn end(&mut self, path: &str) -> (u16, String) {
        let is_known = self.remove_lease(last_number(path));
        (if is_known { 200 } else { 404 }, "{}".to_owned())
    }
}

fn json(key: &str, item: &Item) -> String {
    let Item {
        value,
        revision,
        lease,
    } = item;
    format!(
        r#"{{"Key":"{key}","Value":"{value}","Revision":{revision},"Created":{revision},"LeaseId":{lease}}}"#
    )
}

fn text_after(text: &str, mark: &str) -> String {
    let rest = text.split(mark).nth(1).unwrap_or_default();
    rest.split('"').next().unwrap_or_default().to_owned()
}

fn number_after(text: &str, mark: &str) -> u64 {
    let rest = text.split(mark).nth(1).unwrap_or_default();
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

fn last_number(path: &str) -> u64 {
    let last = path.rsplit('/').next().unwrap_or_default();
    last.parse().unwrap_or(0)
}

fn percent_decoded(text: &str) -> String {
    let mut decoded = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let digits: String = bytes.by_ref().take(2).map(char::from).collect();
            decoded.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            decoded.push(byte);
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let padded = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let word = padded
            .iter()
            .fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        for digit in 0..4 {
            if digit > chunk.len() {
                text.push('=');
            } else {
                let index = word >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[index as usize]));
            }
        }
    }
    text
}
