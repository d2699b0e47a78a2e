//! A backend server that writes the bytes of its answers as a test asks for.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// How the server answers requests for `/windows/bad`. All others it answers with success.
#[derive(Clone, Debug)]
pub enum BadAnswer {
    /// With these bytes, once.
    Once(String),
    /// With these bytes again and again, with a pause between them.
    Endless(String, Duration),
}

#[derive(Debug)]
struct RawState {
    answer: BadAnswer,
    /// Connections on which a bad answer was given and that the node hasn't closed.
    bad_connections: BTreeSet<usize>,
    bad_answers: usize,
    /// Whether a request came on a connection after a bad answer.
    is_reused: bool,
}

/// A backend server that writes the bytes of its answers as a test asks for. Cheap to clone.
#[derive(Clone, Debug)]
pub struct RawBackend {
    state: Arc<Mutex<RawState>>,
    address: SocketAddr,
}

impl RawBackend {
    pub async fn start(answer: BadAnswer) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let backend = Self {
            state: Arc::new(Mutex::new(RawState {
                answer,
                bad_connections: BTreeSet::new(),
                bad_answers: 0,
                is_reused: false,
            })),
            address: listener.local_addr().expect("bound"),
        };
        let serving = backend.clone();
        tokio::spawn(async move {
            for number in 0.. {
                let Ok((socket, _)) = listener.accept().await else {
                    return;
                };
                tokio::spawn(serving.clone().serve(number, socket));
            }
        });
        backend
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of bad answers given.
    pub fn bad_answers(&self) -> usize {
        self.state().bad_answers
    }

    /// Number of open connections on which a bad answer was given.
    pub fn open_bad_connections(&self) -> usize {
        self.state().bad_connections.len()
    }

    /// Whether a request came on a connection after a bad answer.
    pub fn is_reused(&self) -> bool {
        self.state().is_reused
    }

    fn state(&self) -> MutexGuard<'_, RawState> {
        self.state.lock().expect("no panic while locked")
    }

    async fn serve(self, number: usize, mut socket: TcpStream) {
        self.answer_requests(number, &mut socket).await;
        self.state().bad_connections.remove(&number);
    }

    async fn answer_requests(&self, number: usize, socket: &mut TcpStream) {
        let mut received = Vec::new();
        let mut buffer = [0; 4_096];
        loop {
            let Ok(count @ 1..) = socket.read(&mut buffer).await else {
                return;
            };
            received.extend_from_slice(&buffer[..count]);
            let text = String::from_utf8_lossy(&received).into_owned();
            let Some((head, _)) = text.split_once("\r\n\r\n") else {
                continue;
            };
            received.clear();
            let is_bad = head.contains("/windows/bad");
            let answer = {
                let mut state = self.state();
                state.is_reused |= state.bad_connections.contains(&number);
                if is_bad {
                    state.bad_answers += 1;
                    state.bad_connections.insert(number);
                }
                state.answer.clone()
            };
            let (bytes, pause) = match answer {
                _ if !is_bad => (
                    "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nwell".into(),
                    None,
                ),
                BadAnswer::Once(bytes) => (bytes, None),
                BadAnswer::Endless(bytes, pause) => (bytes, Some(pause)),
            };
            loop {
                if socket.write_all(bytes.as_bytes()).await.is_err() {
                    return;
                }
                match pause {
                    None => break,
                    Some(pause) => sleep(pause).await,
                }
            }
        }
    }
}
